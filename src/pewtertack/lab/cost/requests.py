"""Processor time that two nodes need for a request, by kind of request.

Proxy and gateway run in this process, in one event loop, and nothing else does: back end and
caller are separate processes. The processor time of this process is therefore the time that both
nodes together need for a call, including time in the kernel.
"""

from __future__ import annotations

import asyncio
import contextlib
import cProfile
import gc
import io
import os
import pstats
import socket
import subprocess
import time
from collections.abc import Iterator
from pathlib import Path
from random import Random

import msgspec

from pewtertack.core.machines import Machine, MachineList, MachineRole
from pewtertack.errors import LabError
from pewtertack.events import Event
from pewtertack.lab.cost.calls import CallKind, CallPlan, CallStep
from pewtertack.lab.fleet.process import COMMAND
from pewtertack.lab.hop.targets import (
    ANY_PORT,
    KEEP_ALIVE_SECONDS,
    SERVICE,
    ZONE,
    measured_configuration,
)
from pewtertack.lab.report.table import format_table
from pewtertack.log import EventLog
from pewtertack.node import clock
from pewtertack.node.event_loop import BoottimeEventLoop
from pewtertack.node.gateway.application import GatewayApplication, GatewaySettings
from pewtertack.node.http.cycle import Scope
from pewtertack.node.http.server import HttpServer
from pewtertack.node.proxy.application import ProxyApplication
from pewtertack.node.proxy.edge import DEFAULT_EDGE
from pewtertack.node.proxy.failure_responses import Receive, Send
from pewtertack.node.proxy.refusals import typed_refusal

MICROSECONDS_PER_SECOND = 1_000_000
LOG_LINE_COUNT = 20_000
SHUTDOWN_SECONDS = 0.2
"""Time limit for requests that are still held at the back end when the measurement ends."""
LOG_LINE_PART = "log line"
CLOCK_STEP_SECONDS = 0.005
"""Time by which the log's clock advances per line: 50 hops per second with four lines each."""
SHOWN_FUNCTION_COUNT = 45


class PartCost(msgspec.Struct, frozen=True):
    """Processor time per call of one kind, or per log line, on both nodes together."""

    part: str
    microseconds: float
    functions: float | None = None
    """Number of function calls, if they were counted; counting increases the processor time."""


class RequestCostSettings(msgspec.Struct, frozen=True):
    """What to measure. ``rate`` is in calls per second; 0 makes the calls without pauses."""

    calls: int = 2000
    rate: float = 0.0
    kinds: tuple[CallKind, ...] = tuple(CallKind)
    profile: bool = False


class MeasuredCallsFailedError(LabError):
    """The caller's process ended before it had made all its calls."""

    code = "measured-calls-failed"


class _SteppingClock:
    """A clock for the log that advances by a fixed time whenever it is read, once per line.

    With the real time, the log would drop lines where calls are fast, and write lines one by one
    where calls are slow. With this clock no line is dropped, and the lines of two hops are written
    together.
    """

    def __init__(self) -> None:
        self._now = 0.0

    def __call__(self) -> float:
        self._now += CLOCK_STEP_SECONDS
        return self._now


class _ReconnectingProxy:
    """The proxy, which can be made to use new connections for each call.

    If ``closes_connections`` is set, the idle connections of proxy and gateway are closed first.
    """

    def __init__(self, proxy: ProxyApplication, gateway: GatewayApplication) -> None:
        self.leaving = False
        self.closes_connections = False
        self._proxy = proxy
        self._gateway = gateway

    def may_run_beside(self, scope: Scope) -> bool:
        return self._proxy.may_run_beside(scope)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        if self.closes_connections:
            self._proxy.connections.keep_only(())
            self._gateway.connections.keep_only(())
        await self._proxy(scope, receive, send)


class _Nodes:
    """The two nodes in this process, with one back end."""

    def __init__(self, backend: str) -> None:
        self._null_stream = Path(os.devnull).open("w")  # noqa: SIM115 - open as long as the log
        with contextlib.redirect_stdout(self._null_stream):
            self.log = EventLog("measured", 1, clock=_SteppingClock())
        self._gateway = GatewayApplication(
            clock.now, GatewaySettings(backend, SERVICE, ZONE), DEFAULT_EDGE, self.log.record
        )
        self._proxy = ProxyApplication(clock.now, Random(1), log=self.log.record)
        self.proxy_application = _ReconnectingProxy(self._proxy, self._gateway)
        self._sockets = [socket.create_server((ANY_PORT.host, ANY_PORT.port)) for _ in range(2)]
        self.proxy, self.gateway = (_address_of(listener) for listener in self._sockets)
        self._backend_address = backend
        self._servers = [
            HttpServer(self.proxy_application, KEEP_ALIVE_SECONDS, typed_refusal),
            HttpServer(self._gateway, KEEP_ALIVE_SECONDS, typed_refusal),
        ]

    def configure(self) -> None:
        """Set the configuration and the machine list of both nodes."""
        machine = Machine(
            "b0",
            MachineRole.BACKEND,
            ZONE,
            self._backend_address,
            SERVICE,
            gateway=self.gateway,
            slots=1,
        )
        machines = MachineList(1, (machine,))
        for application in (self._gateway, self._proxy):
            application.use_configuration(measured_configuration())
            application.use_machines(machines)
        self._proxy.set_serving(True)

    def stop(self) -> None:
        """Stop accepting connections and close the idle ones."""
        for server in self._servers:
            server.shutdown_seconds = SHUTDOWN_SECONDS
            server.should_exit = True
        for application in (self._gateway, self._proxy):
            application.connections.keep_only(())

    def close(self) -> None:
        """Close the log's stream; nothing may be logged any more."""
        self._null_stream.close()

    def serve(self) -> list[asyncio.Task[None]]:
        """Start serving calls until ``stop`` is called."""
        pairs = zip(self._servers, self._sockets, strict=True)
        return [asyncio.ensure_future(server.serve([listener])) for server, listener in pairs]


def measure_request_costs(settings: RequestCostSettings) -> tuple[list[PartCost], str]:
    """Measure every kind of call and a log line; return the costs, and profiles if requested."""
    with asyncio.Runner(debug=False, loop_factory=BoottimeEventLoop) as runner:
        return runner.run(_measure(settings))


async def _measure(settings: RequestCostSettings) -> tuple[list[PartCost], str]:
    costs, profiles = [], []
    streams = contextlib.ExitStack()
    for kind in settings.kinds:
        profiler = cProfile.Profile() if settings.profile else None
        with _running_backend() as backend:
            nodes = _Nodes(backend)
            streams.callback(nodes.close)
            nodes.configure()
            nodes.proxy_application.closes_connections = kind is CallKind.SERVED_NEW_CONNECTIONS
            tasks = nodes.serve()
            plan = CallPlan(kind, nodes.proxy, nodes.gateway, settings.calls, settings.rate)
            costs.append(await _measure_calls(plan, profiler))
            nodes.stop()
            await asyncio.gather(*tasks)
        if profiler is not None:
            profiles.append(f"{kind.value}\n{_format_profile(profiler)}")
    costs.append(PartCost(LOG_LINE_PART, _measure_log_line(nodes.log)))
    streams.close()
    return costs, "\n".join(profiles)


async def _measure_calls(plan: CallPlan, profiler: cProfile.Profile | None) -> PartCost:
    """Have the planned calls made; return the processor time of this process per call."""
    text = msgspec.json.encode(plan).decode()
    caller = await asyncio.create_subprocess_exec(
        *COMMAND, "lab", "cost-caller", text, stdout=subprocess.PIPE
    )
    assert caller.stdout is not None
    await _read_step(caller.stdout)
    with _counting_function_calls(profiler):
        started_at = time.process_time()
        await _read_step(caller.stdout)
        used_seconds = time.process_time() - started_at
    await caller.wait()
    function_calls = None
    if profiler is not None:
        function_calls = sum(entry.callcount for entry in profiler.getstats()) / plan.calls
    return PartCost(
        plan.kind.value, used_seconds / plan.calls * MICROSECONDS_PER_SECOND, function_calls
    )


@contextlib.contextmanager
def _counting_function_calls(profiler: cProfile.Profile | None) -> Iterator[None]:
    """Count function calls with ``profiler``, if there is one, with the garbage collector disabled.

    The collector would finalize objects left over from earlier work of this process, and their
    finalizers would be counted as well.
    """
    if profiler is None:
        yield
        return
    collector_enabled = gc.isenabled()
    gc.collect()
    gc.disable()
    profiler.enable()
    try:
        yield
    finally:
        profiler.disable()
        if collector_enabled:
            gc.enable()


async def _read_step(stream: asyncio.StreamReader) -> CallStep:
    line = await stream.readline()
    if not line:
        raise MeasuredCallsFailedError("the caller process ended before it had made all its calls")
    return msgspec.json.decode(line, type=CallStep)


def _measure_log_line(log: EventLog) -> float:
    """Return the microseconds to log one ``REQUEST_ANSWERED`` line, including the write."""
    started_at = time.process_time()
    for _ in range(LOG_LINE_COUNT):
        log.record(
            Event.REQUEST_ANSWERED,
            request="0123456789abcdef0123456789abcdef",
            backend="b0",
            attempt=1,
            status=200,
            took=12.3,
            queued=0.0,
        )
    return (time.process_time() - started_at) / LOG_LINE_COUNT * MICROSECONDS_PER_SECOND


@contextlib.contextmanager
def _running_backend() -> Iterator[str]:
    """Run the back end process and yield its address."""
    process = subprocess.Popen(
        (*COMMAND, "lab", "hop-target", "backend"), stdout=subprocess.PIPE, stdin=subprocess.DEVNULL
    )
    assert process.stdout is not None
    try:
        ready = msgspec.json.decode(process.stdout.readline(), type=dict[str, dict[str, str]])
        yield ready["ready"]["backend"]
    finally:
        process.kill()
        process.wait()
        process.stdout.close()


def _address_of(listener: socket.socket) -> str:
    host, port = listener.getsockname()
    return f"{host}:{port}"


def _format_profile(profiler: cProfile.Profile) -> str:
    output = io.StringIO()
    statistics = pstats.Stats(profiler, stream=output)
    statistics.strip_dirs().sort_stats("tottime").print_stats(SHOWN_FUNCTION_COUNT)
    return output.getvalue()


def format_request_costs(costs: list[PartCost]) -> str:
    """Return the costs as a table."""
    rows = [
        (
            cost.part,
            f"{cost.microseconds:.1f}",
            f"{cost.functions:.0f}" if cost.functions is not None else "",
        )
        for cost in costs
    ]
    return format_table(("part", "µs of processor time", "function calls"), rows)
