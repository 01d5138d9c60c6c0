"""A fleet of node processes, the store that they read, and the links between them."""

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

FIRST_HOST_NUMBER = 41
LISTEN_NETWORK = "127.0.0"
ADVERTISED_NETWORK = "127.0.1"
"""Network of the addresses at the relay, which nodes advertise if their links have a rate."""
CONTROL_HOST = "127.0.0.1"
SEED_COUNT = 3
MAX_CONCURRENT_STARTS = 3
BYTES_PER_MEGABIT = 125_000
SETTINGS_TEMPLATE = """
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
    """The fields of a node's log line that the lab reads."""

    event: str = ""
    revision: int = 0
    reason: str = ""


EventHandler = Callable[[str, NodeLogLine], None]
"""Called with the name of a node and an event that it logged."""


class NodeFleet(Protocol):
    """Nodes that read one store: processes, or simulated nodes in virtual time."""

    @property
    def names(self) -> list[str]:
        """The names of the nodes."""

    @property
    def edited_store(self) -> EditedStore:
        """The store and the writes to it."""

    @property
    def store(self) -> MetadataStore:
        """The store."""

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start all nodes."""

    async def end(self) -> None:
        """Kill all nodes."""

    async def start_node(self, tasks: anyio.abc.TaskGroup, name: str) -> None:
        """Start the process of a node that has none."""

    async def stop_node(self, name: str, stop_signal: signal.Signals) -> None:
        """Send a signal to the process of a node and wait for its end."""

    def cut_watches(self) -> int:
        """Cut all waiting watches and return their number."""

    def received_bytes(self) -> int | None:
        """Return the number of bytes that nodes received from each other, if it is known."""


class StoreFleet:
    """Node processes in three zones that read one store.

    Args:
        nodes: number of nodes.
        without: a mechanism that is disabled in all nodes.
        directory: directory for settings files and standard error.
        handle_event: called with every event of the nodes.
        link_mbps: rate of each node's machine in each direction; 0 for no limit.
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
        numbers = range(FIRST_HOST_NUMBER, FIRST_HOST_NUMBER + nodes)
        self._hosts = [f"{LISTEN_NETWORK}.{number}" for number in numbers]
        network = ADVERTISED_NETWORK if link_mbps else LISTEN_NETWORK
        self.names = [f"{network}.{number}" for number in numbers]
        self.edited_store = EditedStore(self.names)
        self.store = self.edited_store.store
        self._listener = Listener(self.store.application, Address(CONTROL_HOST, 0))
        self._relay: Relay | None = None
        self._processes: dict[str, LabProcess] = {}
        self._ports = PortAllocator()
        self._proxy_port, self._peer_port = (
            self._ports.allocate(*self._hosts).port for _ in range(2)
        )

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start the store, the relay if links have a rate, and all nodes.

        Raises:
            LabError: a process did not start.
        """
        await self._listener.open(tasks)
        if self._link_mbps:
            await self._open_relay(tasks)
        limiter = anyio.CapacityLimiter(MAX_CONCURRENT_STARTS)

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
        """Start the process of a node that has none, and wait until it is ready.

        Raises:
            LabError: the process did not start.
        """
        path = self._directory / f"{name}.toml"
        path.write_text(self._format_settings(name))
        without = ["--without", self._without] if self._without else []
        ready_event = Event.NODE_READY.name.encode()
        process = LabProcess(
            name,
            ["lab", "store-node", "--settings", str(path), *without],
            self._directory,
            self._handle_line,
            lambda line: ready_event in line,
        )
        self._processes[name] = process
        await process.start(tasks)
        await process.wait_ready()

    async def stop_node(self, name: str, stop_signal: signal.Signals) -> None:
        """Send a signal to the process of a node and wait for its end."""
        process = self._processes[name]
        process.send_signal(stop_signal)
        await process.wait_for_exit()

    def received_bytes(self) -> None:
        """Return ``None``: traffic between processes is not counted."""

    def cut_watches(self) -> int:
        """Reset the connections of all waiting watches and return their number."""
        return self._listener.abort_unanswered(WATCH_PATH)

    async def _open_relay(self, tasks: anyio.abc.TaskGroup) -> None:
        nodes = [self._relayed_node(index) for index in range(len(self._hosts))]
        self._relay = Relay(tuple(nodes), Address(CONTROL_HOST, 0))
        self._relay.set_links(LinkSettings(rate=self._link_mbps * BYTES_PER_MEGABIT))
        await self._relay.open(tasks)

    def _relayed_node(self, index: int) -> RelayedNode:
        listen = Address(self._hosts[index], self._peer_port)
        name = self.names[index]
        return RelayedNode(name, zone_of(index), listen, Address(name, self._peer_port))

    def _format_settings(self, name: str) -> str:
        index, link = self.names.index(name), self._link_mbps
        seeds = [f'"{seed}:{self._peer_port}"' for seed in self.names[:SEED_COUNT] if seed != name]
        return SETTINGS_TEMPLATE.format(
            name=name,
            host=self._hosts[index],
            link=f", link_mbps = {link}" if link else "",
            zone=zone_of(index),
            store=self._listener.address,
            key=FLEET_KEY,
            seeds=", ".join(seeds),
            proxy=self._proxy_port,
            peer=self._peer_port,
        )

    def _handle_line(self, name: str, line: bytes) -> None:
        self._handle_event(name, msgspec.json.decode(line, type=NodeLogLine))
