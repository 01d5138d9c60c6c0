"""What requests cost two nodes in processor time, by what they make the nodes do.

Proxy and gateway run in this process, in one event loop, and nothing else does: back end and
caller are processes of their own. So this process's clock of processor time tells what both
nodes together need for a call, the system's part of it included.
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
from pewtertack.lab.hop.targets import ANY_PORT, KEEP_ALIVE, SERVICE, ZONE, measured_configuration
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

MICROSECONDS = 1_000_000
LOG_LINES = 20_000
STOP_SECONDS = 0.2
"""For what is held at the back end when the measurement ends."""
LOG_PART = "log line"
LINE_SECONDS = 0.005
"""So many pass with each line of the log: four lines a hop, 50 hops a second."""
PROFILED_FUNCTIONS = 45


class PartCost(msgspec.Struct, frozen=True):
    """Processor time of one part, in microseconds: of both nodes together, for one call."""

    part: str
    microseconds: float
    function_calls: float | None = None
    """Calls of functions, where they were counted; that lengthens the processor time."""


class RequestCostSettings(msgspec.Struct, frozen=True):
    """What to measure. ``rate`` in calls per second, 0 for one after the other."""

    calls: int = 2000
    rate: float = 0.0
    kinds: tuple[CallKind, ...] = tuple(CallKind)
    profile: bool = False


class MeasuredCallsFailedError(LabError):
    """The caller's process ended without making all its calls."""

    code = "measured-calls-failed"


class _LineClock:
    """The log's time, which passes by its lines.

    By the machine's time lines would be left out where calls are made fast, and be written one
    by one where they are slow; so none is left out, and the lines of two hops leave together.
    """

    def __init__(self) -> None:
        self._now = 0.0

    def __call__(self) -> float:
        self._now += LINE_SECONDS
        return self._now


class _ConnectingProxy:
    """A proxy whose idle connections to gateways, and theirs to back ends, are closed first."""

    def __init__(self, proxy: ProxyApplication, gateway: GatewayApplication) -> None:
        self.leaving = False
        self.closing = False
        self._proxy = proxy
        self._gateway = gateway

    def may_run_beside(self, scope: Scope) -> bool:
        return self._proxy.may_run_beside(scope)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        if self.closing:
            self._proxy.connections.keep_only(())
            self._gateway.connections.keep_only(())
        await self._proxy(scope, receive, send)


class _Nodes:
    """The two nodes in this process, and the one back end."""

    def __init__(self, backend: str) -> None:
        self._nowhere = Path(os.devnull).open("w")  # noqa: SIM115 - as long as the log
        with contextlib.redirect_stdout(self._nowhere):
            self.log = EventLog("measured", 1, clock=_LineClock())
        self._gateway = GatewayApplication(
            clock.now, GatewaySettings(backend, SERVICE, ZONE), DEFAULT_EDGE, self.log.record
        )
        self._proxy = ProxyApplication(clock.now, Random(1), log=self.log.record)
        self.front = _ConnectingProxy(self._proxy, self._gateway)
        self._sockets = [socket.create_server((ANY_PORT.host, ANY_PORT.port)) for _ in range(2)]
        self.proxy, self.gateway = (_address_of(bound) for bound in self._sockets)
        self._backend = backend
        self._servers = [
            HttpServer(self.front, KEEP_ALIVE, typed_refusal),
            HttpServer(self._gateway, KEEP_ALIVE, typed_refusal),
        ]

    def configure(self) -> None:
        """Give both nodes the configuration and the list."""
        machine = Machine(
            "b0", MachineRole.BACKEND, ZONE, self._backend, SERVICE, gateway=self.gateway, slots=1
        )
        machines = MachineList(1, (machine,))
        for application in (self._gateway, self._proxy):
            application.use_configuration(measured_configuration())
            application.use_machines(machines)
        self._proxy.set_serving(True)

    def stop(self) -> None:
        """Accept no more, and end what is open."""
        for server in self._servers:
            server.shutdown_seconds = STOP_SECONDS
            server.should_exit = True
        for application in (self._gateway, self._proxy):
            application.connections.keep_only(())

    def serve(self) -> list[asyncio.Task[None]]:
        """Accept calls until told to stop."""
        pairs = zip(self._servers, self._sockets, strict=True)
        return [asyncio.ensure_future(server.serve([bound])) for server, bound in pairs]


def measure_request_costs(settings: RequestCostSettings) -> tuple[list[PartCost], str]:
    """Measure every kind; return the costs and, where one was asked for, the profile."""
    with asyncio.Runner(debug=False, loop_factory=BoottimeEventLoop) as runner:
        return runner.run(_measure(settings))


async def _measure(settings: RequestCostSettings) -> tuple[list[PartCost], str]:
    costs, profiles = [], []
    for kind in settings.kinds:
        profiler = cProfile.Profile() if settings.profile else None
        with _backend() as backend:
            nodes = _Nodes(backend)
            nodes.configure()
            nodes.front.closing = kind is CallKind.SERVED_NEW_CONNECTIONS
            tasks = nodes.serve()
            plan = CallPlan(kind, nodes.proxy, nodes.gateway, settings.calls, settings.rate)
            costs.append(await _cost_of(plan, profiler))
            nodes.stop()
            await asyncio.gather(*tasks)
        if profiler is not None:
            profiles.append(f"{kind.value}\n{_profile_text(profiler)}")
    costs.append(PartCost(LOG_PART, _log_cost(nodes.log)))
    return costs, "\n".join(profiles)


async def _cost_of(plan: CallPlan, profiler: cProfile.Profile | None) -> PartCost:
    """Have the planned calls made; return what one costs this process."""
    text = msgspec.json.encode(plan).decode()
    caller = await asyncio.create_subprocess_exec(
        *COMMAND, "lab", "cost-caller", text, stdout=subprocess.PIPE
    )
    assert caller.stdout is not None
    await _next_step(caller.stdout)
    with _counted_by(profiler):
        began = time.process_time()
        await _next_step(caller.stdout)
        used = time.process_time() - began
    await caller.wait()
    functions = None
    if profiler is not None:
        functions = sum(entry.callcount for entry in profiler.getstats()) / plan.calls
    return PartCost(plan.kind.value, used / plan.calls * MICROSECONDS, functions)


@contextlib.contextmanager
def _counted_by(profiler: cProfile.Profile | None) -> Iterator[None]:
    """Count calls of functions, where asked for, without those that what was left before ends with.

    The collector would find objects of other work of this process, whose ends are calls too.
    """
    if profiler is None:
        yield
        return
    collects = gc.isenabled()
    gc.collect()
    gc.disable()
    profiler.enable()
    try:
        yield
    finally:
        profiler.disable()
        if collects:
            gc.enable()


async def _next_step(steps: asyncio.StreamReader) -> CallStep:
    line = await steps.readline()
    if not line:
        raise MeasuredCallsFailedError("the caller ended early")
    return msgspec.json.decode(line, type=CallStep)


def _log_cost(log: EventLog) -> float:
    """Return the microseconds of one line of an answered request, its writing included."""
    began = time.process_time()
    for _ in range(LOG_LINES):
        log.record(
            Event.REQUEST_ANSWERED,
            request="0123456789abcdef0123456789abcdef",
            backend="b0",
            attempt=1,
            status=200,
            took=12.3,
            queued=0.0,
        )
    return (time.process_time() - began) / LOG_LINES * MICROSECONDS


@contextlib.contextmanager
def _backend() -> Iterator[str]:
    """Run the back end's process; yield its address."""
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


def _address_of(bound: socket.socket) -> str:
    host, port = bound.getsockname()
    return f"{host}:{port}"


def _profile_text(profiler: cProfile.Profile) -> str:
    written = io.StringIO()
    statistics = pstats.Stats(profiler, stream=written)
    statistics.strip_dirs().sort_stats("tottime").print_stats(PROFILED_FUNCTIONS)
    return written.getvalue()


def format_request_costs(costs: list[PartCost]) -> str:
    """Return the costs as a table."""
    rows = [
        (
            cost.part,
            f"{cost.microseconds:.1f}",
            f"{cost.function_calls:.0f}" if cost.function_calls is not None else "",
        )
        for cost in costs
    ]
    return format_table(("part", "µs of processor time", "calls of functions"), rows)
