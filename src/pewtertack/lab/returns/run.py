"""Restores the store repeatedly amid edits, graceful shutdowns of nodes and leaving back ends."""

from __future__ import annotations

import random
import signal
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any

import anyio
import anyio.abc
import httpcore
import msgspec

from pewtertack.core.eras import split_tree_number
from pewtertack.events import Event
from pewtertack.lab.fleet.plan import FLEET_KEY
from pewtertack.lab.fleet.ports import PortAllocator
from pewtertack.lab.fleet.process import LabProcess
from pewtertack.lab.returns.edit_checks import late_edits
from pewtertack.lab.returns.store_environment import (
    CALLER_HEADER,
    HOST_NAME,
    PATH,
    SERVICE,
    ZONE,
    Backend,
    StoreEnvironment,
)

HOSTS = tuple(f"127.0.0.{number}" for number in range(41, 45))
OUTAGE_SECONDS = (0.2, 1.0)
VACANT_SECONDS = 2.0
"""Time for which no back end runs at an address after its back end has left."""
CALL_INTERVAL_SECONDS = 0.02
CALL_TIMEOUT_SECONDS = 6.0
STATUS_OK = 200
SERVING_TIMEOUT_SECONDS = 30.0
SETTLE_SECONDS = 8.0
SETTINGS = """
node = {{name = "{host}", zone = "{zone}", region = "r"}}
source = {{url = "http://{store}", durable = true, hold_after_return = "{hold}"}}
machines = {{url = "http://{store}"}}
peers = {{key = "{key}", seeds = [{seeds}]}}
profile = {{name = "leased"}}
backend = {{address = "{backend}", service = "{service}"}}

[listen]
proxy = "{host}:{proxy}"
admin = "{host}:0"
peer = "{host}:{peer}"
gateway = "{host}:{gateway}"

[limits]
drain_notice = "300ms"
stop_within = "3s"
"""


class RestoreRunResult(msgspec.Struct, kw_only=True):
    """Result of one run. ``returns`` counts restores and ``replaced`` back ends that left."""

    seed: int
    returns: int
    edits: int
    stops: int
    replaced: int
    statuses: dict[str, int]
    """Number of requests by status of the response; ``none`` without a response."""
    offences: list[str]


class _LogLine(msgspec.Struct):
    event: str = ""
    revision: int = 0


class NodeObserver:
    """State of one node according to the log of its processes."""

    def __init__(self, host: str) -> None:
        self.host = host
        self.process: LabProcess | None = None
        self.serving_since = 0.0
        """Monotonic seconds; 0 while the node does not serve."""
        self.version = 0
        """The highest version that has been in force."""
        self.in_force: list[tuple[float, int]] = []
        """When versions came into force, in monotonic seconds, with the versions."""
        self.offences: list[str] = []

    def record_line(self, _: str, line: bytes) -> None:
        """Update the state by one line of the node's log."""
        event = msgspec.json.decode(line, type=_LogLine)
        now = time.monotonic()
        if event.event == Event.NODE_SERVING.name:
            self.serving_since = now
        if event.event == Event.REVISION_IN_FORCE.name:
            version = split_tree_number(event.revision)[0]
            if version < self.version:
                self.offences.append(
                    f"{self.host}: version {version} in force after {self.version}"
                )
            self.version = max(version, self.version)
            self.in_force.append((now, version))


class RestoreRun:
    """One run with a fleet of real nodes.

    Args:
        seconds: how long faults are injected.
        seed: determines the faults.
        hold: ``source.hold_after_return`` of the nodes.
        directory: the directory for settings and standard error.
    """

    def __init__(self, seconds: float, seed: int, hold: str, directory: Path) -> None:
        self._seconds = seconds
        self._seed = seed
        self._hold = hold
        self._directory = directory
        self._backends = [Backend(host) for host in HOSTS]
        self._environment = StoreEnvironment(self._backends, seed)
        self._nodes = [NodeObserver(host) for host in HOSTS]
        self._allocator = PortAllocator()
        self._ports = [self._allocator.allocate(*HOSTS).port for _ in range(3)]
        self._stops = 0
        self._replaced = 0
        self._calls = 0
        self._statuses: Counter[str] = Counter()
        self._outages: list[tuple[float, float]] = []
        self._faults_end = 0.0

    async def run(self) -> RestoreRunResult:
        """Run to the end and return the result."""
        async with anyio.create_task_group() as tasks:
            await self._environment.open(tasks)
            try:
                await self._run(tasks)
            finally:
                with anyio.CancelScope(shield=True):
                    for node in self._nodes:
                        if node.process is not None:
                            await node.process.kill()
                tasks.cancel_scope.cancel()
        return self._result()

    async def _run(self, tasks: anyio.abc.TaskGroup) -> None:
        for node in self._nodes:
            await self._start_node(tasks, node)
        with anyio.fail_after(SERVING_TIMEOUT_SECONDS):
            while not all(node.serving_since for node in self._nodes):
                await anyio.sleep(0.05)
        self._faults_end = time.monotonic() + self._seconds
        async with anyio.create_task_group() as callers:
            for node in self._nodes:
                callers.start_soon(self._run_caller, node)
            async with anyio.create_task_group() as faults:
                lanes = (self._return, self._edit, self._stop, self._replace, self._replace_other)
                for lane in lanes:
                    faults.start_soon(lane, tasks, random.Random(f"{lane.__name__}:{self._seed}"))
            await anyio.sleep(SETTLE_SECONDS)
            callers.cancel_scope.cancel()

    async def _start_node(self, tasks: anyio.abc.TaskGroup, node: NodeObserver) -> None:
        index = HOSTS.index(node.host)
        proxy, peer, gateway = self._ports
        seeds = ", ".join(f'"{host}:{peer}"' for host in HOSTS if host != node.host)
        path = self._directory / f"{node.host}.toml"
        path.write_text(
            SETTINGS.format(
                host=node.host,
                zone=ZONE,
                store=self._environment.listener.address,
                hold=self._hold,
                key=FLEET_KEY,
                seeds=seeds,
                backend=self._backends[index].listener.address,
                service=SERVICE,
                proxy=proxy,
                peer=peer,
                gateway=gateway,
            )
        )
        arguments = ["lab", "store-node", "--settings", str(path)]
        is_ready = Event.NODE_READY.name.encode()
        node.process = LabProcess(
            node.host, arguments, self._directory, node.record_line, lambda line: is_ready in line
        )
        await node.process.start(tasks)
        await node.process.wait_ready()

    # Lanes of faults, which run concurrently until the time for faults is over. Their names are
    # part of their seeds.

    async def _pause(self, chooser: random.Random, shortest: float, longest: float) -> bool:
        """Wait for a random time; return whether there is time for another fault."""
        await anyio.sleep(chooser.uniform(shortest, longest))
        return time.monotonic() < self._faults_end

    async def _return(self, tasks: anyio.abc.TaskGroup, chooser: random.Random) -> None:
        while await self._pause(chooser, 1.0, 5.0):
            outage_start = time.monotonic()
            age = chooser.randint(0, 10)
            await self._environment.restore(tasks, chooser.uniform(*OUTAGE_SECONDS), age)
            self._outages.append((outage_start, time.monotonic()))

    async def _edit(self, _: Any, chooser: random.Random) -> None:
        while await self._pause(chooser, 0.5, 3.0):
            self._environment.edit()

    async def _stop(self, tasks: anyio.abc.TaskGroup, chooser: random.Random) -> None:
        while await self._pause(chooser, 3.0, 8.0):
            node = chooser.choice(self._nodes)
            assert node.process is not None
            node.serving_since = 0.0
            node.process.send_signal(signal.SIGTERM)
            await node.process.wait_for_exit()
            self._stops += 1
            await anyio.sleep(chooser.uniform(0.0, 1.0))
            await self._start_node(tasks, node)
            with anyio.fail_after(SERVING_TIMEOUT_SECONDS):
                while not node.serving_since:
                    await anyio.sleep(0.05)

    async def _replace(self, tasks: anyio.abc.TaskGroup, chooser: random.Random) -> None:
        await self._replace_backends(tasks, chooser, self._backends[::2])

    async def _replace_other(self, tasks: anyio.abc.TaskGroup, chooser: random.Random) -> None:
        await self._replace_backends(tasks, chooser, self._backends[1::2])

    async def _replace_backends(
        self, tasks: anyio.abc.TaskGroup, chooser: random.Random, backends: list[Backend]
    ) -> None:
        while await self._pause(chooser, 0.2, 1.5):
            announces = chooser.random() < 0.3
            await self._environment.replace(
                tasks, chooser.choice(backends), announces, VACANT_SECONDS
            )
            self._replaced += 1

    # Callers and the result.

    async def _run_caller(self, node: NodeObserver) -> None:
        url = f"http://{node.host}:{self._ports[0]}{PATH}1"
        async with httpcore.AsyncConnectionPool() as pool:
            while True:
                await anyio.sleep(CALL_INTERVAL_SECONDS)
                if not node.serving_since:
                    continue
                status = "none"
                with anyio.move_on_after(CALL_TIMEOUT_SECONDS):
                    status = await self._send_request(pool, url, node.host)
                if node.serving_since:
                    self._statuses[status] += 1

    async def _send_request(self, pool: httpcore.AsyncConnectionPool, url: str, node: str) -> str:
        self._calls += 1
        request_id = f"{node}/{self._calls}".encode()
        headers = [(b"host", HOST_NAME.encode()), (CALLER_HEADER, request_id)]
        try:
            response = await pool.request("GET", url, headers=headers)
        except (httpcore.NetworkError, httpcore.ProtocolError, OSError):
            return "none"
        return str(response.status)

    def _result(self) -> RestoreRunResult:
        late = [request for backend in self._backends for request in backend.late_requests]
        offences = [text for node in self._nodes for text in node.offences]
        offences += map(str, late)
        for node in self._nodes:
            late_edit_texts = late_edits(
                self._environment.edits, node.in_force, node.serving_since, self._outages
            )
            offences += [f"{node.host}: {text}" for text in late_edit_texts]
        return RestoreRunResult(
            seed=self._seed,
            returns=self._environment.restore_count,
            edits=len(self._environment.edits),
            stops=self._stops,
            replaced=self._replaced,
            statuses=dict(sorted(self._statuses.items())),
            offences=offences,
        )


async def run_restores(seconds: float, seed: int, hold: str) -> RestoreRunResult:
    """Perform one run in a temporary directory.

    Raises:
        LabError: a process did not start.
    """
    with tempfile.TemporaryDirectory(prefix="pewtertack-returns-") as name:
        return await RestoreRun(seconds, seed, hold, Path(name)).run()
