"""A simulated network with latency, loss, duplication, reordering and cuts between zones."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from pewtertack.lab.relay.machine_links import MachineLinks
from pewtertack.lab.simulation.codec import bytes_on_link
from pewtertack.lab.simulation.scheduler import Timer
from pewtertack.wire.messages import (
    Announce,
    DeltaAnswer,
    Message,
    PackedAnswer,
    SnapshotAnswer,
)

MAX_REORDER_DELAY_SECONDS = 0.2
"""Upper bound of the extra delay of a reordered message, in seconds."""


@dataclass(frozen=True, slots=True)
class Location:
    """Zone and region that a process runs in."""

    zone: str
    region: str


@dataclass(frozen=True, slots=True)
class Latencies:
    """One-way latencies in seconds; each message takes longer by a fraction up to ``jitter``."""

    same_zone: float = 0.0003
    same_region: float = 0.0015
    between_regions: float = 0.04
    jitter: float = 0.3


@dataclass(slots=True)
class NetworkImpairments:
    """Probabilities, from 0 to 1, that a message is lost, duplicated or reordered."""

    loss: float = 0.0
    duplication: float = 0.0
    reordering: float = 0.0


@dataclass(slots=True)
class Traffic:
    """Messages and bytes that one node sent and received, by kind of message."""

    sent_messages: Counter[str] = field(default_factory=Counter)
    sent_bytes: Counter[str] = field(default_factory=Counter)
    received_messages: Counter[str] = field(default_factory=Counter)
    received_bytes: Counter[str] = field(default_factory=Counter)


@dataclass(frozen=True, slots=True)
class Packet:
    """A message in transit, with its encoded frame if the fleet uses frames."""

    sender: str
    sender_address: str
    incarnation: int
    target_address: str
    message: Message
    frame: bytes | None = None


Deliver = Callable[[Packet], None]


def message_kind(message: Message) -> str:
    """Return the type of ``message``, with the kind of its document or a delta that it carries."""
    name = type(message).__name__
    if isinstance(message, DeltaAnswer | SnapshotAnswer | PackedAnswer):
        return f"{name}:{message.kind.name.lower()}"
    if isinstance(message, Announce) and message.delta is not None:
        return f"{name}:delta"
    return name


class SimulatedNetwork:
    """Carries packets between addresses whose locations are known.

    Packets with frames are counted in ``traffic``, by the address of the node.

    Args:
        scheduler: virtual time.
        random: decides latency, loss, duplication and reordering.
        deliver: called with each packet when it arrives.
        latencies: one-way latencies.
        link_rate: bound of what each node's machine sends and receives, in bytes of frames
            per second; 0 for no bound.
    """

    def __init__(
        self,
        scheduler: Timer,
        random: Random,
        deliver: Deliver,
        latencies: Latencies | None = None,
        link_rate: float = 0.0,
    ) -> None:
        self._scheduler = scheduler
        self._random = random
        self._deliver = deliver
        self._latencies = latencies or Latencies()
        self._links = MachineLinks(link_rate)
        self._locations: dict[str, Location] = {}
        self._cuts: set[tuple[str, str]] = set()
        self.impairments = NetworkImpairments()
        self.traffic: defaultdict[str, Traffic] = defaultdict(Traffic)

    def set_location(self, address: str, location: Location) -> None:
        """Set the location of the process at ``address``."""
        self._locations[address] = location

    def cut(self, from_zone: str, to_zone: str) -> None:
        """Drop all messages from one zone to another."""
        self._cuts.add((from_zone, to_zone))

    def heal(self) -> None:
        """End every cut."""
        self._cuts.clear()

    def send(self, packet: Packet) -> None:
        """Send ``packet``, which may be lost or duplicated."""
        if packet.frame is not None:
            traffic = self.traffic[packet.sender_address]
            kind = message_kind(packet.message)
            traffic.sent_messages[kind] += 1
            traffic.sent_bytes[kind] += bytes_on_link(packet.frame)
        self._carry(packet)
        if self.impairments.duplication and self._random.random() < self.impairments.duplication:
            self._carry(packet)

    def _carry(self, packet: Packet) -> None:
        source = self._locations[packet.sender_address]
        target = self._locations.get(packet.target_address)
        if target is None or self._is_lost():
            return
        if (source.zone, target.zone) in self._cuts:
            return
        delay = self._delay(source, target)
        if packet.frame is not None and self._links.has_rate_limit:
            sender, to, size = packet.sender_address, packet.target_address, len(packet.frame)
            now = self._scheduler.now
            delay = self._links.transfer(now, sender, to, size, delay) - now
        self._scheduler.after(delay, lambda: self._arrive(packet, target.zone))

    def _is_lost(self) -> bool:
        return bool(self.impairments.loss) and self._random.random() < self.impairments.loss

    def _delay(self, source: Location, target: Location) -> float:
        if source.zone == target.zone:
            base = self._latencies.same_zone
        elif source.region == target.region:
            base = self._latencies.same_region
        else:
            base = self._latencies.between_regions
        delay = base * (1 + self._latencies.jitter * self._random.random())
        if self.impairments.reordering and self._random.random() < self.impairments.reordering:
            delay += MAX_REORDER_DELAY_SECONDS * self._random.random()
        return delay

    def _arrive(self, packet: Packet, target_zone: str) -> None:
        """Deliver ``packet`` unless the zones were cut from each other while it was in transit."""
        source = self._locations[packet.sender_address]
        if (source.zone, target_zone) in self._cuts:
            return
        if packet.frame is not None:
            traffic = self.traffic[packet.target_address]
            kind = message_kind(packet.message)
            traffic.received_messages[kind] += 1
            traffic.received_bytes[kind] += bytes_on_link(packet.frame)
        self._deliver(packet)
