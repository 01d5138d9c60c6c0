"""Direct and proxied calls in alternation, so that the same machine load affects both."""

from __future__ import annotations

import tempfile
import threading
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

import anyio
import msgspec

from pewtertack.lab.address import parse_address
from pewtertack.lab.fleet.process import LabProcess
from pewtertack.lab.fleet.processes import READY_PREFIX
from pewtertack.lab.hop.caller import BlockingCaller
from pewtertack.lab.process_statistics import read_process
from pewtertack.settings import Address

WARM_UP_CALLS = 50
MILLISECONDS_PER_SECOND = 1000
SATURATING_CALLER_COUNT = 8


@dataclass(frozen=True, slots=True)
class Quantiles:
    """Median and 99th percentile of a series, in milliseconds."""

    p50: float
    p99: float


class HopResult(msgspec.Struct, frozen=True):
    """Quantiles and processor times in milliseconds; ``added`` is proxied minus direct."""

    calls: int
    rate: float
    direct: Quantiles
    proxied: Quantiles
    added: Quantiles
    processor_per_call: float
    """Processor time of the proxy process per call at this rate."""
    saturated_rate: float
    """Calls per second with several concurrent callers."""
    saturated_processor_per_call: float


class HopSamples(msgspec.Struct, frozen=True):
    """Durations of all calls in milliseconds, in the order in which they were made."""

    direct: tuple[float, ...]
    proxied: tuple[float, ...]


class HopMeasurement(msgspec.Struct, frozen=True):
    """The result and the samples that it summarizes."""

    result: HopResult
    samples: HopSamples


@dataclass(frozen=True, slots=True)
class TargetProcesses:
    """The running processes of a measurement."""

    backend: Address
    proxy: Address
    proxy_pid: int


class _ReadyLine(msgspec.Struct):
    ready: dict[str, str]


async def measure_hop(calls: int, rate: float, saturated_seconds: float) -> HopMeasurement:
    """Measure ``calls`` pairs of calls, ``rate`` per second, then the proxy at saturation."""
    async with _run_targets() as targets:
        return await anyio.to_thread.run_sync(_measure, targets, calls, rate, saturated_seconds)


def _measure(
    targets: TargetProcesses, calls: int, rate: float, saturated_seconds: float
) -> HopMeasurement:
    direct, proxied = BlockingCaller(targets.backend), BlockingCaller(targets.proxy)
    _alternate_calls(direct, proxied, WARM_UP_CALLS, rate)
    processor_seconds_before = read_process(targets.proxy_pid).processor_seconds
    direct_times, proxied_times = _alternate_calls(direct, proxied, calls, rate)
    used_seconds = read_process(targets.proxy_pid).processor_seconds - processor_seconds_before
    direct.close()
    proxied.close()
    saturated_rate, saturated_processor_ms = _saturate(targets, saturated_seconds)
    direct_quantiles, proxied_quantiles = _quantiles(direct_times), _quantiles(proxied_times)
    result = HopResult(
        calls=calls,
        rate=rate,
        direct=direct_quantiles,
        proxied=proxied_quantiles,
        added=Quantiles(
            round(proxied_quantiles.p50 - direct_quantiles.p50, 3),
            round(proxied_quantiles.p99 - direct_quantiles.p99, 3),
        ),
        processor_per_call=round(used_seconds / calls * MILLISECONDS_PER_SECOND, 3),
        saturated_rate=round(saturated_rate, 1),
        saturated_processor_per_call=round(saturated_processor_ms, 3),
    )
    samples = HopSamples(_to_milliseconds(direct_times), _to_milliseconds(proxied_times))
    return HopMeasurement(result, samples)


def _to_milliseconds(seconds: list[float]) -> tuple[float, ...]:
    return tuple(round(item * MILLISECONDS_PER_SECOND, 4) for item in seconds)


def _alternate_calls(
    direct: BlockingCaller, proxied: BlockingCaller, calls: int, rate: float
) -> tuple[list[float], list[float]]:
    """Make a proxied call every ``1 / rate`` s, and a direct one halfway between two of them."""
    started_at = time.perf_counter()
    direct_times, proxied_times = [], []
    for index in range(calls):
        _sleep_until(started_at + index / rate)
        proxied_times.append(proxied.call())
        _sleep_until(started_at + (index + 0.5) / rate)
        direct_times.append(direct.call())
    return direct_times, proxied_times


def _sleep_until(due_time: float) -> None:
    time.sleep(max(0.0, due_time - time.perf_counter()))


def _saturate(targets: TargetProcesses, seconds: float) -> tuple[float, float]:
    """Return the calls per second, and the proxy's processor time per call in milliseconds."""
    counts = [0] * SATURATING_CALLER_COUNT
    end_time = time.perf_counter() + seconds

    def make_calls(index: int) -> None:
        caller = BlockingCaller(targets.proxy)
        while time.perf_counter() < end_time:
            caller.call()
            counts[index] += 1
        caller.close()

    processor_seconds_before = read_process(targets.proxy_pid).processor_seconds
    threads = [threading.Thread(target=make_calls, args=(index,)) for index in range(len(counts))]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    used_seconds = read_process(targets.proxy_pid).processor_seconds - processor_seconds_before
    call_count = max(1, sum(counts))
    return call_count / seconds, used_seconds / call_count * MILLISECONDS_PER_SECOND


def _quantiles(seconds: list[float]) -> Quantiles:
    sorted_seconds = sorted(seconds)
    p50, p99 = (sorted_seconds[int(len(sorted_seconds) * share)] for share in (0.5, 0.99))
    return Quantiles(
        round(p50 * MILLISECONDS_PER_SECOND, 3), round(p99 * MILLISECONDS_PER_SECOND, 3)
    )


@asynccontextmanager
async def _run_targets() -> AsyncIterator[TargetProcesses]:
    """Run the back end and the proxy until the context ends."""
    addresses: dict[str, str] = {}

    def read_ready_line(_: str, line: bytes) -> None:
        addresses.update(msgspec.json.decode(line, type=_ReadyLine).ready)

    with tempfile.TemporaryDirectory() as name:
        directory = Path(name)

        def make_process(role: str, *arguments: str) -> LabProcess:
            command = ["lab", "hop-target", role, *arguments]
            return LabProcess(
                role,
                command,
                directory,
                read_ready_line,
                lambda line: line.startswith(READY_PREFIX),
            )

        async with anyio.create_task_group() as tasks:
            backend = make_process("backend")
            await backend.start(tasks)
            await backend.wait_ready()
            proxy = make_process("proxy", f"--backend={addresses['backend']}")
            try:
                await proxy.start(tasks)
                await proxy.wait_ready()
                yield TargetProcesses(
                    parse_address(addresses["backend"]),
                    parse_address(addresses["proxy"]),
                    proxy.pid,
                )
            finally:
                await proxy.kill()
                await backend.kill()
