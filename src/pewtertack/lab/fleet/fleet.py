"""A running fleet: starts, kills, pauses and stops its processes, and waits on the history."""

from __future__ import annotations

import signal
import time
from collections.abc import Iterable
from pathlib import Path
from types import TracebackType

import anyio
import anyio.abc

from pewtertack.lab.errors import FleetInterruptedError, ProcessFailedError
from pewtertack.lab.fleet.backends import BackendControl
from pewtertack.lab.fleet.control import ControlClient
from pewtertack.lab.fleet.history import HistoryRecorder
from pewtertack.lab.fleet.links import LinkControl
from pewtertack.lab.fleet.plan import FleetPlan
from pewtertack.lab.fleet.platform import PlatformControl
from pewtertack.lab.fleet.process import LabProcess
from pewtertack.lab.fleet.processes import ProcessFactory
from pewtertack.lab.fleet.settings import write_files
from pewtertack.lab.load.caller import Caller, Target
from pewtertack.lab.load.mix import CallKind
from pewtertack.lab.records import (
    BackendFault,
    BackendLeaveCancelled,
    BackendLeaving,
    CallResult,
    NodeExit,
    NodeKill,
    NodePause,
    NodeReload,
    NodeResume,
    NodeStart,
    NodeStop,
)

SERVING_SECONDS = 40.0
STOP_SECONDS = 40.0
STARTS_AT_ONCE = 6


async def _raise_on_sigterm(task_status: anyio.abc.TaskStatus[None]) -> None:
    """Wait for SIGTERM.

    Raises:
        FleetInterruptedError: it came.
    """
    with anyio.open_signal_receiver(signal.SIGTERM) as signals:
        task_status.started()
        async for _ in signals:
            raise FleetInterruptedError("the lab was asked to stop")


class Fleet:
    """The processes of one plan. Use as an asynchronous context manager.

    Entering starts the stand-ins; nodes are started by `start_nodes`. Leaving
    ends every process that is still running, by its own id; SIGTERM and SIGINT
    to the lab lead there as well.

    Args:
        plan: what to run.
        directory: takes settings files and standard error.
        recorder: takes the history.
    """

    def __init__(self, plan: FleetPlan, directory: Path, recorder: HistoryRecorder) -> None:
        self.plan = plan
        self.recorder = recorder
        self.client = ControlClient()
        self.platform = PlatformControl(plan, self.client, recorder)
        self.links = LinkControl(plan, self.client, recorder)
        self.backends = BackendControl(plan, self.client, recorder)
        self._directory = directory
        self._factory = ProcessFactory(plan, directory, recorder.record_line)
        self._processes: list[LabProcess] = []
        self._nodes: dict[str, LabProcess] = {}
        self._backend_processes: dict[str, LabProcess] = {}
        self._tasks = anyio.create_task_group()

    async def __aenter__(self) -> Fleet:
        await self._tasks.__aenter__()
        try:
            await self._tasks.start(_raise_on_sigterm)
            write_files(self.plan, self._directory)
            await self._start_stand_ins()
        except BaseException:
            await self._end_all()
            raise
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool | None:
        await self._end_all()
        return await self._tasks.__aexit__(kind, error, traceback)

    async def _end_all(self) -> None:
        with anyio.CancelScope(shield=True):
            for process in self._processes:
                await process.kill()
            await self.client.close()
        self._tasks.cancel_scope.cancel()

    async def _start_stand_ins(self) -> None:
        processes = self._factory.stand_ins()
        for process in processes:
            if process.name in self.plan.backend_controls:
                self._backend_processes[process.name] = process
        await self._start(processes)
        self.platform.record_first_tree()

    async def _start(self, processes: list[LabProcess]) -> None:
        """Start processes a few at once and wait until each is ready."""
        limiter = anyio.CapacityLimiter(STARTS_AT_ONCE)
        async with anyio.create_task_group() as starts:
            for process in processes:
                starts.start_soon(self._start_one, process, limiter)

    async def _start_one(self, process: LabProcess, limiter: anyio.CapacityLimiter) -> None:
        async with limiter:
            self._processes.append(process)
            await process.start(self._tasks)
            await process.wait_ready()
            self._tasks.start_soon(self._guard, process)

    async def _guard(self, process: LabProcess) -> None:
        """Record a node that ends by itself.

        Raises:
            ProcessFailedError: a stand-in ended by itself.
        """
        code = await process.wait_for_exit()
        if process.exit_expected:
            return
        if process.name not in self.plan.nodes:
            raise ProcessFailedError(f"{process.name} ended: {process.stderr_tail()}")
        self.recorder.record(NodeExit(time=time.time(), node=process.name, code=code))

    async def start_nodes(self, names: Iterable[str] | None = None) -> None:
        """Start nodes, all by default, and wait until each is ready (not yet serving)."""
        chosen = list(self.plan.nodes if names is None else names)
        processes = [self._factory.node(name) for name in chosen]
        for process in processes:
            self._nodes[process.name] = process
            self.recorder.record(self._start_of(process.name))
        await self._start(processes)

    def _start_of(self, node: str) -> NodeStart:
        zone, beside = self.plan.nodes[node].zone, self.plan.local_backend_name(node)
        return NodeStart(time=time.time(), node=node, zone=zone, beside=beside)

    async def wait_serving(
        self, names: Iterable[str] | None = None, seconds: float = SERVING_SECONDS
    ) -> None:
        """Wait until nodes, all by default, accept requests."""
        chosen = list(self.plan.nodes if names is None else names)
        await self.recorder.wait_until(
            lambda view: all(view.nodes[name].is_serving for name in chosen),
            seconds,
            f"all of {', '.join(chosen)} serve",
        )

    async def wait_in_force(
        self, revision: int, names: Iterable[str] | None = None, seconds: float = SERVING_SECONDS
    ) -> None:
        """Wait until nodes, all that run by default, have ``revision`` or a newer one in force."""
        chosen = self.running_nodes() if names is None else list(names)
        await self.recorder.wait_until(
            lambda view: all(view.nodes[name].revision >= revision for name in chosen),
            seconds,
            f"revision {revision} in force on {', '.join(chosen)}",
        )

    def running_nodes(self) -> list[str]:
        """Return the names of the nodes whose processes run, paused or not."""
        return [name for name, process in self._nodes.items() if process.is_running]

    def node_pids(self) -> list[int]:
        """Return the process ids of the nodes that run."""
        return [self._nodes[name].pid for name in self.running_nodes()]

    def node_pid(self, name: str) -> int:
        """Return the process id of a node that was started."""
        return self._nodes[name].pid

    async def kill_nodes(self, names: Iterable[str]) -> None:
        """Kill nodes at once (SIGKILL) and wait for their ends."""
        processes = [self._nodes[name] for name in names]
        for process in processes:
            self.recorder.record(NodeKill(time=time.time(), node=process.name))
            process.send_signal(signal.SIGKILL)
        for process in processes:
            await process.wait_for_exit()

    def pause_node(self, name: str) -> None:
        """Pause a node (SIGSTOP)."""
        self.recorder.record(NodePause(time=time.time(), node=name))
        self._nodes[name].send_signal(signal.SIGSTOP)

    def resume_node(self, name: str) -> None:
        """Let a paused node run on (SIGCONT)."""
        self._nodes[name].send_signal(signal.SIGCONT)
        self.recorder.record(NodeResume(time=time.time(), node=name))

    def reload_node(self, name: str) -> None:
        """Ask a node to read its settings again (SIGHUP)."""
        self.recorder.record(NodeReload(time=time.time(), node=name))
        self._nodes[name].send_signal(signal.SIGHUP)

    async def stop_node(self, name: str, seconds: float = STOP_SECONDS) -> int:
        """Ask a node to stop by plan (SIGTERM) and return its exit code.

        Raises:
            TimeoutError: it did not end within ``seconds``.
        """
        process = self._nodes[name]
        self.recorder.record(NodeStop(time=time.time(), node=name))
        process.send_signal(signal.SIGTERM)
        with anyio.fail_after(seconds):
            code = await process.wait_for_exit()
        self.recorder.record(NodeExit(time=time.time(), node=name, code=code))
        return code

    async def mark_backend_leaving(self, backend: str) -> None:
        """Mark a back end as leaving in the machine list only; it does not say so itself."""
        async with self.platform.write_lock:
            self.recorder.record(BackendLeaving(time=time.time(), backend=backend))
            await self.platform.mark_leaving(backend)

    async def mark_backend_live(self, backend: str) -> None:
        """Mark a back end that was leaving as live again in the machine list."""
        async with self.platform.write_lock:
            self.recorder.record(BackendLeaveCancelled(time=time.time(), backend=backend))
            await self.platform.add_machine(backend)

    async def kill_backend_process(self, name: str) -> None:
        """Kill the process of a back end (SIGKILL)."""
        self._signal_backend(name, signal.SIGKILL, "killed")
        await self._backend_processes[name].wait_for_exit()

    def pause_backend_process(self, name: str) -> None:
        """Freeze the process of a back end (SIGSTOP)."""
        self._signal_backend(name, signal.SIGSTOP, "frozen")

    def resume_backend_process(self, name: str) -> None:
        """Let a frozen back end run on (SIGCONT)."""
        self._signal_backend(name, signal.SIGCONT, "none")

    def _signal_backend(self, name: str, number: signal.Signals, fault: str) -> None:
        for backend in self.plan.backends_of(name):
            self.recorder.record(BackendFault(time=time.time(), backend=backend.name, fault=fault))
        self._backend_processes[name].send_signal(number)

    async def start_backend_process(self, name: str) -> None:
        """Start the process of a back end again after its kill."""
        process = self._factory.backend(name)
        self._backend_processes[name] = process
        await self._start([process])

    async def start_load(
        self, name: str, rate: float, seed: int = 0, nodes: Iterable[str] | None = None
    ) -> LabProcess:
        """Start callers of nodes, all by default; requests' ids begin with ``name``."""
        chosen = list(self.plan.nodes if nodes is None else nodes)
        proxies = {node: self.plan.nodes[node].proxy for node in chosen}
        process = self._factory.load(name, rate, seed, proxies)
        await self._start([process])
        return process

    async def start_persistent_callers(
        self, name: str, seed: int, callers: int, downloads: bool = False
    ) -> LabProcess:
        """Start callers that keep their connections, with ``downloads`` for long answers only."""
        proxies = {node: plan.proxy for node, plan in self.plan.nodes.items()}
        process = self._factory.persistent_callers(name, seed, callers, proxies, downloads)
        await self._start([process])
        return process

    async def send_request(self, node: str, kind: CallKind, request_id: str) -> CallResult:
        """Send one request to a node and record what the caller was told."""
        caller = Caller(Target(node, self.plan.nodes[node].proxy))
        told = await caller.call(kind, request_id)
        await caller.close()
        self.recorder.record(told)
        return told

    async def stop_load(self, process: LabProcess) -> int:
        """Begin no more requests, wait for those in flight, return the exit code."""
        process.send_signal(signal.SIGTERM)
        return await process.wait_for_exit()
