"""Node cores with store readers around one stand-in of the store, in virtual time."""

from __future__ import annotations

from random import Random

import msgspec

from pewtertack.core.effects import BringIntoForce, Effect, Log, ReadDocument, Send, UseMachineList
from pewtertack.core.identity import NodeIdentity
from pewtertack.core.inputs import Input, MessageReceived, Ticked
from pewtertack.core.machines import MachineList, MachineState
from pewtertack.core.node import NodeCore, NodePhase
from pewtertack.core.profile import LEASED, SourceProperties, TimingProfile
from pewtertack.errors import ReadFailure
from pewtertack.lab.asgi import Request
from pewtertack.lab.metadata_store.application import MetadataStore
from pewtertack.node.http.client import ServiceResponse, ServiceUnreachableError
from pewtertack.platform.store import StoreReader
from pewtertack.wire.messages import Message
from tests.platform.test_documents import CONFIGURATION, ENTRY, encoded

ZONE = "garia"
SINGLE_READER_PROFILE = msgspec.structs.replace(LEASED, reads_alone_below=1)
"""A single node per zone reads, even in a small fleet."""


def entry(number: int, **fields: object) -> bytes:
    """Return the entry of a back end with a distinct address."""
    return encoded({**ENTRY, "Address": f"10.1.2.{number}:8080", **fields})


def configuration(version: int) -> bytes:
    return encoded({**CONFIGURATION, "Version": f"r{version}"})


class StoreClient:
    """Replaces `HttpClient` with direct calls of the stand-in."""

    def __init__(self, store: MetadataStore) -> None:
        self._store = store
        self.disconnected = False
        self.new_connection = True

    def close(self) -> None:
        self.new_connection = True

    async def get(self, target: str, *_: object) -> ServiceResponse:
        if self.disconnected:
            self.new_connection = True
            raise ServiceUnreachableError("disconnected", ReadFailure.NO_CONNECTION)
        path, query = target.split("?")
        parameters = dict(part.split("=", 1) for part in query.split("&"))
        answer = await self._store.application.answer(Request("GET", path, parameters, {}))
        headers = [(name.encode(), value.encode()) for name, value in answer.headers.items()]
        new_connection, self.new_connection = self.new_connection, False
        return ServiceResponse(answer.status, headers, answer.body, new_connection)


class FleetNode:
    """One node: its core, its reader, and the effects of the core."""

    def __init__(self, fleet: RestoredFleet, name: str, number: int) -> None:
        self.address = f"127.0.0.1:{number}"
        identity = NodeIdentity(name, self.address, ZONE, "", 1000 + number)
        source = SourceProperties(durable=True, hold_after_return=fleet.hold_after_return)
        self.name = name
        self.client = StoreClient(fleet.store)
        hold, now = fleet.hold_after_return, fleet.clock
        self.reader = StoreReader("127.0.0.1:1", 8146, 7380, hold, now)
        self.reader._client = self.client  # type: ignore[assignment]
        seeds = tuple(node.address for node in fleet.nodes)
        self.core = NodeCore(identity, fleet.profile, Random(number), fleet.now, seeds, source)
        self.machines = MachineList(0, ())
        self.versions: list[int] = []
        self.list_numbers: list[int] = []
        self.ever_ready: set[str] = set()
        self.ready_while_serving: set[str] = set()
        """Back ends that were ready at any time while the node served."""
        self.logged: list[Log] = []
        self.reads: list[ReadDocument] = []

    @property
    def serving(self) -> bool:
        return self.core.phase is NodePhase.SERVING

    @property
    def ready(self) -> list[str]:
        """Back ends that get new requests."""
        return sorted(
            machine.name
            for machine in self.machines.machines
            if machine.service and machine.state is MachineState.LIVE
        )

    @property
    def version(self) -> int:
        return self.versions[-1] if self.versions else 0

    @property
    def evacuated(self) -> frozenset[str]:
        in_force = self.core.replication.replica.in_force
        return frozenset(in_force.evacuated) if in_force is not None else frozenset()


class RestoredFleet:
    """Steps nodes with a common clock; messages arrive one step after they were sent."""

    hold_after_return = 6.0

    def __init__(self, era: int | None = 0, profile: TimingProfile = SINGLE_READER_PROFILE) -> None:
        self.store = MetadataStore(era)
        self.profile = profile
        self.now = 100.0
        self.nodes: list[FleetNode] = []
        self._started_count = 0
        self.isolated: set[str] = set()
        """Names of nodes whose messages are lost."""
        self.sent: list[Message] = []
        self._in_flight: list[tuple[FleetNode, Send]] = []

    def clock(self) -> float:
        return self.now

    def start_node(self) -> FleetNode:
        self._started_count += 1
        node = FleetNode(self, f"n{self._started_count}", 7000 + self._started_count)
        self.nodes.append(node)
        return node

    async def run(self, seconds: float) -> None:
        for _ in range(round(seconds / self.profile.tick)):
            await self.step()

    async def step(self) -> None:
        self.now += self.profile.tick
        delivered, self._in_flight = self._in_flight, []
        for sender, send in delivered:
            await self._deliver(sender, send)
        for node in self.nodes:
            await self._feed(node, Ticked())

    async def _deliver(self, sender: FleetNode, send: Send) -> None:
        for node in self.nodes:
            if node.address == send.address and not {node.name, sender.name} & self.isolated:
                identity = sender.core.identity
                core_input = MessageReceived(
                    identity.name, identity.address, identity.incarnation, send.message
                )
                await self._feed(node, core_input)

    async def _feed(self, node: FleetNode, core_input: Input) -> None:
        for effect in node.core.handle(self.now, core_input):
            await self._execute(node, effect)
        if node.serving:
            node.ready_while_serving.update(node.ready)

    async def _execute(self, node: FleetNode, effect: Effect) -> None:
        match effect:
            case Send():
                self._in_flight.append((node, effect))
                self.sent.append(effect.message)
            case ReadDocument():
                node.reads.append(effect)
                answer = await node.reader.read(msgspec.structs.replace(effect, wait=0.0))
                await self._feed(node, answer)
            case UseMachineList(machines):
                node.machines = machines
                node.list_numbers.append(machines.number)
                node.ever_ready.update(node.ready)
            case BringIntoForce(configuration):
                node.versions.append(configuration.revision.number // 10**9)
            case Log():
                node.logged.append(effect)
