"""A running fleet: starts, stops, pauses and kills its processes, and waits for events."""

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

SERVING_TIMEOUT_SECONDS = 40.0
STOP_TIMEOUT_SECONDS = 40.0
MAX_CONCURRENT_STARTS = 6


async def _raise_on_sigterm(task_status: anyio.abc.TaskStatus[None]) -> None:
    """Wait for SIGTERM.

    Raises:
        FleetInterruptedError: the signal was received.
    """
    with anyio.open_signal_receiver(signal.SIGTERM) as signals:
        task_status.started()
        async for _ in signals:
            raise FleetInterruptedError("the lab received SIGTERM")


class Fleet:
    """The processes of one plan. Use as an asynchronous context manager.

    Entering starts the simulated services; `start_nodes` starts nodes. Exiting kills every
    process that still runs, by its own process id, also after SIGTERM or SIGINT to the lab.

    Args:
        plan: the processes to run.
        directory: the directory for settings files and standard error.
        recorder: records the history.
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
        self._left_backends: set[str] = set()
        """Back ends that have been marked as leaving since their latest start."""
        self._backend_starts: dict[str, int] = {}
        """Latest start in Unix milliseconds of back ends that started again after leaving."""
        self._task_group = anyio.create_task_group()

    async def __aenter__(self) -> Fleet:
        await self._task_group.__aenter__()
        try:
            await self._task_group.start(_raise_on_sigterm)
            write_files(self.plan, self._directory)
            await self._start_services()
        except BaseException:
            await self._kill_all()
            raise
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool | None:
        await self._kill_all()
        return await self._task_group.__aexit__(kind, error, traceback)

    async def _kill_all(self) -> None:
        with anyio.CancelScope(shield=True):
            for process in self._processes:
                await process.kill()
            await self.client.close()
        self._task_group.cancel_scope.cancel()

    async def _start_services(self) -> None:
        processes = self._factory.services()
        for process in processes:
            if process.name in self.plan.backend_controls:
                self._backend_processes[process.name] = process
        await self._start(processes)
        self.platform.record_first_tree()

    async def _start(self, processes: list[LabProcess]) -> None:
        """Start processes, ``MAX_CONCURRENT_STARTS`` at a time, and wait until all are ready."""
        limiter = anyio.CapacityLimiter(MAX_CONCURRENT_STARTS)
        async with anyio.create_task_group() as starts:
            for process in processes:
                starts.start_soon(self._start_one, process, limiter)

    async def _start_one(self, process: LabProcess, limiter: anyio.CapacityLimiter) -> None:
        async with limiter:
            self._processes.append(process)
            await process.start(self._task_group)
            await process.wait_ready()
            self._task_group.start_soon(self._monitor_exit, process)

    async def _monitor_exit(self, process: LabProcess) -> None:
        """Record the unexpected exit of a node.

        Raises:
            ProcessFailedError: a process other than a node exited unexpectedly.
        """
        exit_code = await process.wait_for_exit()
        if process.exit_expected:
            return
        if process.name not in self.plan.nodes:
            raise ProcessFailedError(f"{process.name} exited unexpectedly: {process.stderr_tail()}")
        self.recorder.record(NodeExit(time=time.time(), node=process.name, code=exit_code))

    async def start_nodes(self, names: Iterable[str] | None = None) -> None:
        """Start nodes, all by default, and wait until each is ready, though not yet serving."""
        selected = list(self.plan.nodes if names is None else names)
        processes = [self._factory.node(name) for name in selected]
        for process in processes:
            self._nodes[process.name] = process
            self.recorder.record(self._make_start_record(process.name))
        await self._start(processes)

    def _make_start_record(self, node: str) -> NodeStart:
        zone, backend = self.plan.nodes[node].zone, self.plan.local_backend_name(node)
        return NodeStart(time=time.time(), node=node, zone=zone, beside=backend)

    async def wait_serving(
        self, names: Iterable[str] | None = None, seconds: float = SERVING_TIMEOUT_SECONDS
    ) -> None:
        """Wait until nodes, all by default, accept requests."""
        selected = list(self.plan.nodes if names is None else names)
        await self.recorder.wait_until(
            lambda view: all(view.nodes[name].is_serving for name in selected),
            seconds,
            f"all of {', '.join(selected)} serve",
        )

    async def wait_in_force(
        self,
        revision: int,
        names: Iterable[str] | None = None,
        seconds: float = SERVING_TIMEOUT_SECONDS,
    ) -> None:
        """Wait until ``revision`` or a newer one is in force on nodes, by default all that run."""
        selected = self.running_nodes() if names is None else list(names)
        await self.recorder.wait_until(
            lambda view: all(view.nodes[name].revision >= revision for name in selected),
            seconds,
            f"revision {revision} in force on {', '.join(selected)}",
        )

    def running_nodes(self) -> list[str]:
        """Return the names of the nodes whose processes run, including paused ones."""
        return [name for name, process in self._nodes.items() if process.is_running]

    def node_pids(self) -> list[int]:
        """Return the process ids of the nodes that run."""
        return [self._nodes[name].pid for name in self.running_nodes()]

    def node_pid(self, name: str) -> int:
        """Return the process id of a node that has been started."""
        return self._nodes[name].pid

    async def kill_nodes(self, names: Iterable[str]) -> None:
        """Kill nodes with SIGKILL, all at once, and wait until they have exited."""
        processes = [self._nodes[name] for name in names]
        for process in processes:
            self.recorder.record(NodeKill(time=time.time(), node=process.name))
            process.send_signal(signal.SIGKILL)
        for process in processes:
            await process.wait_for_exit()

    def pause_node(self, name: str) -> None:
        """Pause a node with SIGSTOP."""
        self.recorder.record(NodePause(time=time.time(), node=name))
        self._nodes[name].send_signal(signal.SIGSTOP)

    def resume_node(self, name: str) -> None:
        """Resume a paused node with SIGCONT."""
        self._nodes[name].send_signal(signal.SIGCONT)
        self.recorder.record(NodeResume(time=time.time(), node=name))

    def reload_node(self, name: str) -> None:
        """Make a node reload its settings with SIGHUP."""
        self.recorder.record(NodeReload(time=time.time(), node=name))
        self._nodes[name].send_signal(signal.SIGHUP)

    async def stop_node(self, name: str, seconds: float = STOP_TIMEOUT_SECONDS) -> int:
        """Shut a node down gracefully with SIGTERM and return its exit code.

        Raises:
            TimeoutError: the node did not exit within ``seconds``.
        """
        process = self._nodes[name]
        self.recorder.record(NodeStop(time=time.time(), node=name))
        process.send_signal(signal.SIGTERM)
        with anyio.fail_after(seconds):
            exit_code = await process.wait_for_exit()
        self.recorder.record(NodeExit(time=time.time(), node=name, code=exit_code))
        return exit_code

    async def mark_backend_leaving(self, backend: str) -> None:
        """Mark a back end as leaving in the machine list only; it does not report that itself."""
        async with self.platform.write_lock:
            self.recorder.record(BackendLeaving(time=time.time(), backend=backend))
            self._left_backends.add(backend)
            await self.platform.mark_leaving(backend)

    async def restart_backend(self, backend: str) -> None:
        """List a back end that left by its answers only as started again; clear its reports."""
        await self.backends.clear_reports(backend)
        self._left_backends.add(backend)
        await self.mark_backend_live(backend)

    async def mark_backend_live(self, backend: str) -> None:
        """Mark a back end as live in the machine list.

        One that was leaving gets a new start, as nodes send the former incarnation nothing more.
        """
        async with self.platform.write_lock:
            self.recorder.record(BackendLeaveCancelled(time=time.time(), backend=backend))
            if backend in self._left_backends:
                self._left_backends.discard(backend)
                self._backend_starts[backend] = int(time.time() * 1000)
            await self.platform.add_machine(backend, self._backend_starts.get(backend, 0))

    async def kill_backend_process(self, name: str) -> None:
        """Kill a process that hosts back ends with SIGKILL."""
        self._signal_backend(name, signal.SIGKILL, "killed")
        await self._backend_processes[name].wait_for_exit()

    def pause_backend_process(self, name: str) -> None:
        """Freeze a process that hosts back ends with SIGSTOP."""
        self._signal_backend(name, signal.SIGSTOP, "frozen")

    def resume_backend_process(self, name: str) -> None:
        """Resume a frozen process that hosts back ends with SIGCONT."""
        self._signal_backend(name, signal.SIGCONT, "none")

    def _signal_backend(self, name: str, signal_number: signal.Signals, fault: str) -> None:
        for backend in self.plan.backends_of(name):
            self.recorder.record(BackendFault(time=time.time(), backend=backend.name, fault=fault))
        self._backend_processes[name].send_signal(signal_number)

    async def start_backend_process(self, name: str) -> None:
        """Start a killed process that hosts back ends again."""
        process = self._factory.backend(name)
        self._backend_processes[name] = process
        await self._start([process])

    async def start_load(
        self, name: str, rate: float, seed: int = 0, nodes: Iterable[str] | None = None
    ) -> LabProcess:
        """Start callers of nodes, all by default; request ids begin with ``name``."""
        selected = list(self.plan.nodes if nodes is None else nodes)
        proxies = {node: self.plan.nodes[node].proxy for node in selected}
        process = self._factory.load(name, rate, seed, proxies)
        await self._start([process])
        return process

    async def start_persistent_callers(
        self, name: str, seed: int, callers: int, traffic: str
    ) -> LabProcess:
        """Start callers with persistent connections.

        ``traffic`` is the kind of their requests (`lab.soak.mix.GENERATORS`).
        """
        proxies = {node: plan.proxy for node, plan in self.plan.nodes.items()}
        process = self._factory.persistent_callers(name, seed, callers, proxies, traffic)
        await self._start([process])
        return process

    async def send_request(self, node: str, kind: CallKind, request_id: str) -> CallResult:
        """Send one request to a node and record its result."""
        caller = Caller(Target(node, self.plan.nodes[node].proxy))
        result = await caller.call(kind, request_id)
        await caller.close()
        self.recorder.record(result)
        return result

    async def stop_load(self, process: LabProcess) -> int:
        """Stop callers after their requests in flight and return the exit code."""
        process.send_signal(signal.SIGTERM)
        return await process.wait_for_exit()
