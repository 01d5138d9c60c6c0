"""One measurement on a fleet of real node processes."""

from __future__ import annotations

import tempfile
import time
from pathlib import Path

import anyio
import anyio.abc
import msgspec

from pewtertack.events import Event
from pewtertack.lab.convergence import timing
from pewtertack.lab.convergence.options import Point
from pewtertack.lab.convergence.recording import PointResult, Recording
from pewtertack.lab.convergence.store import EditedStore, zone_of
from pewtertack.lab.errors import FleetTimeoutError
from pewtertack.lab.fleet.plan import FLEET_KEY
from pewtertack.lab.fleet.ports import PortAllocator
from pewtertack.lab.fleet.process import LabProcess
from pewtertack.lab.relay.links import LinkSettings, RelayedNode
from pewtertack.lab.relay.service import Relay
from pewtertack.lab.serving import Listener
from pewtertack.settings import Address

FIRST_HOST = 41
LISTEN_NET = "127.0.0"
ADVERTISED_NET = "127.0.1"
"""Nodes are known by addresses at the relay, where their links have a rate."""
SEEDS = 3
STARTS_AT_ONCE = 3
POLL = 0.05
CONTROL_HOST = "127.0.0.1"
SETTINGS = """
node = {{name = "{name}", zone = "{zone}", region = "r"{link}}}
source = {{url = "http://{store}", durable = true}}
machines = {{url = "http://{store}"}}
peers = {{key = "{key}", seeds = [{seeds}]}}
profile = {{name = "leased"}}

[listen]
proxy = "{host}:{proxy}"
admin = "{host}:0"
peer = "{host}:{peer}"

[advertise]
peer = "{name}:{peer}"
"""


class _Line(msgspec.Struct):
    event: str = ""
    revision: int = 0
    reason: str = ""


class ProcessFleet:
    """A store and its nodes.

    Args:
        point: what to measure.
        without: a mechanism that is switched off in all nodes.
        directory: takes settings and standard error.
    """

    def __init__(self, point: Point, without: str, directory: Path) -> None:
        self._point = point
        self._without = without
        self._directory = directory
        numbers = range(FIRST_HOST, FIRST_HOST + point.nodes)
        self._hosts = [f"{LISTEN_NET}.{number}" for number in numbers]
        net = ADVERTISED_NET if point.link_mbps else LISTEN_NET
        self._names = [f"{net}.{number}" for number in numbers]
        self._written = EditedStore(self._names)
        self._store = self._written.store
        self._listener = Listener(self._store.application, Address(CONTROL_HOST, 0))
        self._listeners = [self._listener]
        self._recording = Recording(self._names)
        self._nodes: list[LabProcess] = []
        allocator = PortAllocator()
        self._proxy, self._peer = (allocator.allocate(self._hosts[0]).port for _ in range(2))

    async def measure(self, seed: int) -> PointResult:
        """Start, edit, watch, and end all processes.

        Raises:
            LabError: a process did not start, or the fleet did not form.
        """
        async with anyio.create_task_group() as tasks:
            await self._listener.open(tasks)
            await self._open_relay(tasks)
            try:
                result = await self._measure(tasks, seed)
            finally:
                with anyio.CancelScope(shield=True):
                    for node in self._nodes:
                        await node.end()
                for listener in self._listeners:
                    listener.close()
                tasks.cancel_scope.cancel()
        return result

    async def _measure(self, tasks: anyio.abc.TaskGroup, seed: int) -> PointResult:
        await self._start_nodes(tasks)
        await self._form()
        self._store.faults = self._point.faults
        calls, began = self._store.calls, time.monotonic()
        self._recording.watch()
        await anyio.sleep(self._point.slow_before)
        self._edit()
        await anyio.sleep(timing.WATCHED_AFTER)
        with anyio.move_on_after(timing.GIVEN_UP_AFTER - timing.WATCHED_AFTER):
            while not self._recording.all_in_force:
                await anyio.sleep(POLL)
        seconds = time.monotonic() - began
        calls = self._store.calls - calls
        return self._recording.result(self._point, False, seed, seconds, calls)

    async def _open_relay(self, tasks: anyio.abc.TaskGroup) -> None:
        if not self._point.link_mbps:
            return
        nodes = [self._relayed(index) for index in range(len(self._hosts))]
        relay = Relay(tuple(nodes), Address(CONTROL_HOST, 0))
        relay.set_links(LinkSettings(rate=self._point.link_rate))
        await relay.open(tasks)
        self._listeners.append(relay.control)

    def _relayed(self, index: int) -> RelayedNode:
        listen = Address(self._hosts[index], self._peer)
        name = self._names[index]
        return RelayedNode(name, zone_of(index), listen, Address(name, self._peer))

    async def _form(self) -> None:
        with anyio.move_on_after(timing.FORMATION):
            while not self._recording.all_serve:
                await anyio.sleep(POLL)
        if not self._recording.all_serve:
            raise FleetTimeoutError(f"not all nodes serve after {timing.FORMATION:g} s")
        await anyio.sleep(timing.SETTLE)

    def _edit(self) -> None:
        version = self._written.add_routes(self._point.routes)
        self._recording.edited(version, time.monotonic())

    async def _start_nodes(self, tasks: anyio.abc.TaskGroup) -> None:
        limiter = anyio.CapacityLimiter(STARTS_AT_ONCE)

        async def start(index: int) -> None:
            async with limiter:
                await self._start_node(tasks, index)

        async with anyio.create_task_group() as starts:
            for index in range(len(self._hosts)):
                starts.start_soon(start, index)

    async def _start_node(self, tasks: anyio.abc.TaskGroup, index: int) -> None:
        name = self._names[index]
        path = self._directory / f"{name}.toml"
        path.write_text(self._settings_of(index))
        without = ["--without", self._without] if self._without else []
        is_ready = Event.NODE_READY.name.encode()
        node = LabProcess(
            name,
            ["lab", "store-node", "--settings", str(path), *without],
            self._directory,
            self._take_line,
            lambda line: is_ready in line,
        )
        self._nodes.append(node)
        await node.start(tasks)
        await node.wait_ready()

    def _settings_of(self, index: int) -> str:
        name, link = self._names[index], self._point.link_mbps
        seeds = [f'"{seed}:{self._peer}"' for seed in self._names[:SEEDS] if seed != name]
        return SETTINGS.format(
            name=name,
            host=self._hosts[index],
            link=f", link_mbps = {link}" if link else "",
            zone=zone_of(index),
            store=self._listener.address,
            key=FLEET_KEY,
            seeds=", ".join(seeds),
            proxy=self._proxy,
            peer=self._peer,
        )

    def _take_line(self, name: str, line: bytes) -> None:
        event = msgspec.json.decode(line, type=_Line)
        now = time.monotonic()
        self._recording.take(name, event.event, now, event.revision, event.reason)


async def measure_processes(point: Point, seed: int, without: str) -> PointResult:
    """Measure one point on real processes.

    Raises:
        LabError: a process did not start, or the fleet did not form.
    """
    with tempfile.TemporaryDirectory(prefix="pewtertack-convergence-") as name:
        return await ProcessFleet(point, without, Path(name)).measure(seed)
