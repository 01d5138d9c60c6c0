"""Returns of the store in series, beside edits, stops of nodes and back ends that leave."""

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
AWAY_SECONDS = (0.2, 1.0)
EMPTY_SECONDS = 2.0
"""For how long nobody lives at an address whose back end has left."""
CALL_GAP = 0.02
CALL_SECONDS = 6.0
STATUS_OK = 200
ALL_SERVE_SECONDS = 30.0
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
    """What one series found."""

    seed: int
    returns: int
    edits: int
    stops: int
    replaced: int
    statuses: dict[str, int]
    """Callers' answers by status; ``none`` where there was none."""
    offences: list[str]


class _Line(msgspec.Struct):
    event: str = ""
    revision: int = 0


class NodeRecord:
    """What the processes under one node's name have said."""

    def __init__(self, host: str) -> None:
        self.host = host
        self.process: LabProcess | None = None
        self.serving_since = 0.0
        """Monotonic seconds; 0 while the node does not serve."""
        self.version = 0
        self.in_force: list[tuple[float, int]] = []
        self.offences: list[str] = []

    def take_line(self, _: str, line: bytes) -> None:
        """Take in one line of the node's log."""
        event = msgspec.json.decode(line, type=_Line)
        now = time.monotonic()
        if event.event == Event.NODE_SERVING.name:
            self.serving_since = now
        if event.event == Event.REVISION_IN_FORCE.name:
            version = split_tree_number(event.revision)[0]
            if version < self.version:
                self.offences.append(f"{self.host}: version {version} after {self.version}")
            self.version = max(version, self.version)
            self.in_force.append((now, version))


class RestoreRun:
    """One series on a fleet of real nodes.

    Args:
        seconds: for how long faults go on.
        seed: decides the faults.
        hold: ``source.hold_after_return`` of the nodes.
        directory: takes settings and standard error.
    """

    def __init__(self, seconds: float, seed: int, hold: str, directory: Path) -> None:
        self._seconds = seconds
        self._seed = seed
        self._hold = hold
        self._directory = directory
        self._backends = [Backend(host) for host in HOSTS]
        self._world = StoreEnvironment(self._backends, seed)
        self._nodes = [NodeRecord(host) for host in HOSTS]
        self._allocator = PortAllocator()
        self._ports = [self._allocator.allocate(*HOSTS).port for _ in range(3)]
        self._stops = 0
        self._replaced = 0
        self._calls = 0
        self._statuses: Counter[str] = Counter()
        self._away: list[tuple[float, float]] = []
        self._end = 0.0

    async def run(self) -> RestoreRunResult:
        """Run to the end."""
        async with anyio.create_task_group() as tasks:
            await self._world.open(tasks)
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
        with anyio.fail_after(ALL_SERVE_SECONDS):
            while not all(node.serving_since for node in self._nodes):
                await anyio.sleep(0.05)
        self._end = time.monotonic() + self._seconds
        async with anyio.create_task_group() as callers:
            for node in self._nodes:
                callers.start_soon(self._call, node)
            async with anyio.create_task_group() as faults:
                lanes = (self._return, self._edit, self._stop, self._replace, self._replace_other)
                for lane in lanes:
                    faults.start_soon(lane, tasks, random.Random(f"{lane.__name__}:{self._seed}"))
            await anyio.sleep(SETTLE_SECONDS)
            callers.cancel_scope.cancel()

    async def _start_node(self, tasks: anyio.abc.TaskGroup, node: NodeRecord) -> None:
        number = HOSTS.index(node.host)
        proxy, peer, gateway = self._ports
        seeds = ", ".join(f'"{host}:{peer}"' for host in HOSTS if host != node.host)
        path = self._directory / f"{node.host}.toml"
        path.write_text(
            SETTINGS.format(
                host=node.host,
                zone=ZONE,
                store=self._world.listener.address,
                hold=self._hold,
                key=FLEET_KEY,
                seeds=seeds,
                backend=self._backends[number].listener.address,
                service=SERVICE,
                proxy=proxy,
                peer=peer,
                gateway=gateway,
            )
        )
        arguments = ["lab", "store-node", "--settings", str(path)]
        is_ready = Event.NODE_READY.name.encode()
        node.process = LabProcess(
            node.host, arguments, self._directory, node.take_line, lambda line: is_ready in line
        )
        await node.process.start(tasks)
        await node.process.wait_ready()

    # Lanes of faults; each ends with the time for faults.

    async def _pause(self, chooser: random.Random, shortest: float, longest: float) -> bool:
        """Wait; return whether there is time for another fault."""
        await anyio.sleep(chooser.uniform(shortest, longest))
        return time.monotonic() < self._end

    async def _return(self, tasks: anyio.abc.TaskGroup, chooser: random.Random) -> None:
        while await self._pause(chooser, 1.0, 5.0):
            began = time.monotonic()
            age = chooser.randint(0, 10)
            await self._world.restore(tasks, chooser.uniform(*AWAY_SECONDS), age)
            self._away.append((began, time.monotonic()))

    async def _edit(self, _: Any, chooser: random.Random) -> None:
        while await self._pause(chooser, 0.5, 3.0):
            self._world.edit()

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
            with anyio.fail_after(ALL_SERVE_SECONDS):
                while not node.serving_since:
                    await anyio.sleep(0.05)

    async def _replace(self, tasks: anyio.abc.TaskGroup, chooser: random.Random) -> None:
        await self._replace_some(tasks, chooser, self._backends[::2])

    async def _replace_other(self, tasks: anyio.abc.TaskGroup, chooser: random.Random) -> None:
        await self._replace_some(tasks, chooser, self._backends[1::2])

    async def _replace_some(
        self, tasks: anyio.abc.TaskGroup, chooser: random.Random, backends: list[Backend]
    ) -> None:
        while await self._pause(chooser, 0.2, 1.5):
            says_so = chooser.random() < 0.3
            await self._world.replace(tasks, chooser.choice(backends), says_so, EMPTY_SECONDS)
            self._replaced += 1

    # Callers, and what they are told.

    async def _call(self, node: NodeRecord) -> None:
        url = f"http://{node.host}:{self._ports[0]}{PATH}1"
        async with httpcore.AsyncConnectionPool() as pool:
            while True:
                await anyio.sleep(CALL_GAP)
                if not node.serving_since:
                    continue
                status = "none"
                with anyio.move_on_after(CALL_SECONDS):
                    status = await self._ask(pool, url, node.host)
                if node.serving_since:
                    self._statuses[status] += 1

    async def _ask(self, pool: httpcore.AsyncConnectionPool, url: str, node: str) -> str:
        self._calls += 1
        number = f"{node}/{self._calls}".encode()
        headers = [(b"host", HOST_NAME.encode()), (CALLER_HEADER, number)]
        try:
            answer = await pool.request("GET", url, headers=headers)
        except (httpcore.NetworkError, httpcore.ProtocolError, OSError):
            return "none"
        return str(answer.status)

    def _result(self) -> RestoreRunResult:
        late = [asked for backend in self._backends for asked in backend.late_requests]
        offences = [text for node in self._nodes for text in node.offences]
        offences += map(str, late)
        for node in self._nodes:
            found = late_edits(self._world.edits, node.in_force, node.serving_since, self._away)
            offences += [f"{node.host}: {text}" for text in found]
        return RestoreRunResult(
            seed=self._seed,
            returns=self._world.returns,
            edits=len(self._world.edits),
            stops=self._stops,
            replaced=self._replaced,
            statuses=dict(sorted(self._statuses.items())),
            offences=offences,
        )


async def run_restores(seconds: float, seed: int, hold: str) -> RestoreRunResult:
    """Run one series.

    Raises:
        LabError: a process did not start.
    """
    with tempfile.TemporaryDirectory(prefix="pewtertack-returns-") as name:
        return await RestoreRun(seconds, seed, hold, Path(name)).run()
