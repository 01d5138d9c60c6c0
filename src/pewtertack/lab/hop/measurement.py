"""Direct calls and calls through the proxy, taken in turn, so that both see the same machine."""

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
MILLISECONDS = 1000
SATURATING_CALLERS = 8


@dataclass(frozen=True, slots=True)
class Quantiles:
    """Middle and tail of a series, in milliseconds."""

    p50: float
    p99: float


class HopResult(msgspec.Struct, frozen=True):
    """All times in milliseconds. ``added`` is the difference of the quantiles."""

    calls: int
    rate: float
    direct: Quantiles
    proxied: Quantiles
    added: Quantiles
    processor_per_call: float
    """Processor time of the proxy's process for one call at this rate."""
    saturated_rate: float
    """Calls per second with many callers at once."""
    saturated_processor_per_call: float


class HopSamples(msgspec.Struct, frozen=True):
    """Times of all calls in milliseconds, in the order of their turns."""

    direct: tuple[float, ...]
    proxied: tuple[float, ...]


class HopMeasurement(msgspec.Struct, frozen=True):
    """The result and the times that it sums up."""

    result: HopResult
    samples: HopSamples


@dataclass(frozen=True, slots=True)
class Targets:
    """The running processes of a measurement."""

    backend: Address
    proxy: Address
    proxy_pid: int


class _ReadyLine(msgspec.Struct):
    ready: dict[str, str]


async def measure_hop(calls: int, rate: float, saturated_seconds: float) -> HopMeasurement:
    """Measure ``calls`` pairs, ``rate`` per second, then the proxy at saturation."""
    async with _targets() as targets:
        return await anyio.to_thread.run_sync(_measure, targets, calls, rate, saturated_seconds)


def _measure(targets: Targets, calls: int, rate: float, saturated_seconds: float) -> HopMeasurement:
    direct, proxied = BlockingCaller(targets.backend), BlockingCaller(targets.proxy)
    _take_turns(direct, proxied, WARM_UP_CALLS, rate)
    before = read_process(targets.proxy_pid).processor_seconds
    direct_times, proxied_times = _take_turns(direct, proxied, calls, rate)
    used = read_process(targets.proxy_pid).processor_seconds - before
    direct.close()
    proxied.close()
    saturated_rate, saturated_cost = _saturate(targets, saturated_seconds)
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
        processor_per_call=round(used / calls * MILLISECONDS, 3),
        saturated_rate=round(saturated_rate, 1),
        saturated_processor_per_call=round(saturated_cost, 3),
    )
    samples = HopSamples(_milliseconds(direct_times), _milliseconds(proxied_times))
    return HopMeasurement(result, samples)


def _milliseconds(seconds: list[float]) -> tuple[float, ...]:
    return tuple(round(item * MILLISECONDS, 4) for item in seconds)


def _take_turns(
    direct: BlockingCaller, proxied: BlockingCaller, calls: int, rate: float
) -> tuple[list[float], list[float]]:
    """Make a proxied call every ``1 / rate`` s and a direct one half-way between."""
    began = time.perf_counter()
    direct_times, proxied_times = [], []
    for turn in range(calls):
        _sleep_until(began + turn / rate)
        proxied_times.append(proxied.call())
        _sleep_until(began + (turn + 0.5) / rate)
        direct_times.append(direct.call())
    return direct_times, proxied_times


def _sleep_until(moment: float) -> None:
    time.sleep(max(0.0, moment - time.perf_counter()))


def _saturate(targets: Targets, seconds: float) -> tuple[float, float]:
    """Return calls per second and the proxy's processor time for one, in milliseconds."""
    counts = [0] * SATURATING_CALLERS
    end = time.perf_counter() + seconds

    def call_on(index: int) -> None:
        caller = BlockingCaller(targets.proxy)
        while time.perf_counter() < end:
            caller.call()
            counts[index] += 1
        caller.close()

    before = read_process(targets.proxy_pid).processor_seconds
    threads = [threading.Thread(target=call_on, args=(index,)) for index in range(len(counts))]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    used = read_process(targets.proxy_pid).processor_seconds - before
    total = max(1, sum(counts))
    return total / seconds, used / total * MILLISECONDS


def _quantiles(seconds: list[float]) -> Quantiles:
    ordered = sorted(seconds)
    p50, p99 = (ordered[int(len(ordered) * share)] for share in (0.5, 0.99))
    return Quantiles(round(p50 * MILLISECONDS, 3), round(p99 * MILLISECONDS, 3))


@asynccontextmanager
async def _targets() -> AsyncIterator[Targets]:
    """Run the back end and the proxy."""
    ready: dict[str, str] = {}

    def read_line(_: str, line: bytes) -> None:
        ready.update(msgspec.json.decode(line, type=_ReadyLine).ready)

    with tempfile.TemporaryDirectory() as name:
        directory = Path(name)

        def process(role: str, *arguments: str) -> LabProcess:
            command = ["lab", "hop-target", role, *arguments]
            return LabProcess(
                role, command, directory, read_line, lambda line: line.startswith(READY_PREFIX)
            )

        async with anyio.create_task_group() as tasks:
            backend = process("backend")
            await backend.start(tasks)
            await backend.wait_ready()
            proxy = process("proxy", f"--backend={ready['backend']}")
            try:
                await proxy.start(tasks)
                await proxy.wait_ready()
                yield Targets(
                    parse_address(ready["backend"]), parse_address(ready["proxy"]), proxy.pid
                )
            finally:
                await proxy.kill()
                await backend.kill()
