"""A store, its nodes as processes, and the links between them."""

from __future__ import annotations

import signal
from collections.abc import Callable
from pathlib import Path
from typing import Protocol

import anyio
import anyio.abc
import msgspec

from pewtertack.events import Event
from pewtertack.lab.fleet.plan import FLEET_KEY
from pewtertack.lab.fleet.ports import PortAllocator
from pewtertack.lab.fleet.process import LabProcess
from pewtertack.lab.metadata_store.application import WATCH_PATH, MetadataStore
from pewtertack.lab.relay.links import LinkSettings, RelayedNode
from pewtertack.lab.relay.service import Relay
from pewtertack.lab.serving import Listener
from pewtertack.lab.store_fleet.edited_store import EditedStore, zone_of
from pewtertack.settings import Address

FIRST_HOST = 41
LISTEN_NET = "127.0.0"
ADVERTISED_NET = "127.0.1"
"""Nodes are known by addresses at the relay, where their links have a rate."""
CONTROL_HOST = "127.0.0.1"
SEEDS = 3
STARTS_AT_ONCE = 3
BYTES_PER_MEGABIT = 125_000
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

[limits]
drain_notice = "300ms"
stop_within = "3s"
"""


class NodeLogLine(msgspec.Struct):
    """What the lab reads of a line that a node logs."""

    event: str = ""
    revision: int = 0
    reason: str = ""


EventHandler = Callable[[str, NodeLogLine], None]
"""Takes the name of a node and an event of it."""


class NodeFleet(Protocol):
    """Nodes that read one store: processes, or simulated on an event loop in virtual time."""

    @property
    def names(self) -> list[str]:
        """The nodes."""

    @property
    def edited_store(self) -> EditedStore:
        """The store with its writers."""

    @property
    def store(self) -> MetadataStore:
        """The store."""

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start all nodes."""

    async def end(self) -> None:
        """Kill all nodes."""

    async def start_node(self, tasks: anyio.abc.TaskGroup, name: str) -> None:
        """Start a process for a node that has none."""

    async def stop_node(self, name: str, how: signal.Signals) -> None:
        """Stop or kill the process of a node and wait for its end."""

    def cut_watches(self) -> int:
        """Cut all watches that wait; return how many there were."""

    def received_bytes(self) -> int | None:
        """Return how many bytes the nodes have received of one another, where that is known."""


class StoreFleet:
    """Nodes in three zones that read one store.

    Args:
        nodes: how many.
        without: a mechanism that is switched off in all nodes.
        directory: takes settings and standard error.
        handle_event: gets every event of the nodes.
        link_mbps: of each node's machine, each way; 0 for no bound.
    """

    def __init__(
        self,
        nodes: int,
        without: str,
        directory: Path,
        handle_event: EventHandler,
        link_mbps: float = 0.0,
    ) -> None:
        self._without = without
        self._directory = directory
        self._handle_event = handle_event
        self._link_mbps = link_mbps
        numbers = range(FIRST_HOST, FIRST_HOST + nodes)
        self._hosts = [f"{LISTEN_NET}.{number}" for number in numbers]
        net = ADVERTISED_NET if link_mbps else LISTEN_NET
        self.names = [f"{net}.{number}" for number in numbers]
        self.edited_store = EditedStore(self.names)
        self.store = self.edited_store.store
        self._listener = Listener(self.store.application, Address(CONTROL_HOST, 0))
        self._relay: Relay | None = None
        self._processes: dict[str, LabProcess] = {}
        self._allocator = PortAllocator()
        self._proxy, self._peer = (self._allocator.allocate(*self._hosts).port for _ in range(2))

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start the store, the relay where links have a rate, and all nodes.

        Raises:
            LabError: a process did not start.
        """
        await self._listener.open(tasks)
        if self._link_mbps:
            await self._open_relay(tasks)
        limiter = anyio.CapacityLimiter(STARTS_AT_ONCE)

        async def start_node(name: str) -> None:
            async with limiter:
                await self.start_node(tasks, name)

        async with anyio.create_task_group() as starts:
            for name in self.names:
                starts.start_soon(start_node, name)

    async def end(self) -> None:
        """Kill all nodes and close the listeners."""
        with anyio.CancelScope(shield=True):
            for process in self._processes.values():
                await process.kill()
        self._listener.close()
        if self._relay is not None:
            self._relay.control.close()

    async def start_node(self, tasks: anyio.abc.TaskGroup, name: str) -> None:
        """Start the process of a node that has none, and wait until it listens.

        Raises:
            LabError: it did not start.
        """
        path = self._directory / f"{name}.toml"
        path.write_text(self._settings_of(name))
        without = ["--without", self._without] if self._without else []
        is_ready = Event.NODE_READY.name.encode()
        process = LabProcess(
            name,
            ["lab", "store-node", "--settings", str(path), *without],
            self._directory,
            self._take_line,
            lambda line: is_ready in line,
        )
        self._processes[name] = process
        await process.start(tasks)
        await process.wait_ready()

    async def stop_node(self, name: str, how: signal.Signals) -> None:
        """Signal the process of a node and wait for its end."""
        process = self._processes[name]
        process.send_signal(how)
        await process.wait_for_exit()

    def received_bytes(self) -> None:
        """Return nothing: what processes send one another is not counted."""

    def cut_watches(self) -> int:
        """Reset the connections of all watches that wait; return how many there were."""
        return self._listener.abort_unanswered(WATCH_PATH)

    async def _open_relay(self, tasks: anyio.abc.TaskGroup) -> None:
        nodes = [self._relayed(index) for index in range(len(self._hosts))]
        self._relay = Relay(tuple(nodes), Address(CONTROL_HOST, 0))
        self._relay.set_links(LinkSettings(rate=self._link_mbps * BYTES_PER_MEGABIT))
        await self._relay.open(tasks)

    def _relayed(self, index: int) -> RelayedNode:
        listen = Address(self._hosts[index], self._peer)
        name = self.names[index]
        return RelayedNode(name, zone_of(index), listen, Address(name, self._peer))

    def _settings_of(self, name: str) -> str:
        index, link = self.names.index(name), self._link_mbps
        seeds = [f'"{seed}:{self._peer}"' for seed in self.names[:SEEDS] if seed != name]
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
        self._handle_event(name, msgspec.json.decode(line, type=NodeLogLine))
