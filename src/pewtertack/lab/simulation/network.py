"""A simulated network: latency, loss, repetition, reordering and cuts between zones."""

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

REORDER_DELAY = 0.2
"""Greatest extra delay of a message while the network reorders, in seconds."""


@dataclass(frozen=True, slots=True)
class Place:
    """Where a process runs."""

    zone: str
    region: str


@dataclass(frozen=True, slots=True)
class Latencies:
    """One-way delays in seconds; each message takes up to ``jitter`` (a share) longer."""

    same_zone: float = 0.0003
    same_region: float = 0.0015
    between_regions: float = 0.04
    jitter: float = 0.3


@dataclass(slots=True)
class Weather:
    """How badly the network behaves now. The values are probabilities, 0 to 1."""

    loss: float = 0.0
    duplication: float = 0.0
    reordering: float = 0.0


@dataclass(slots=True)
class Traffic:
    """What one node sent and received: messages and bytes, by type of message."""

    sent_messages: Counter[str] = field(default_factory=Counter)
    sent_bytes: Counter[str] = field(default_factory=Counter)
    received_messages: Counter[str] = field(default_factory=Counter)
    received_bytes: Counter[str] = field(default_factory=Counter)


@dataclass(frozen=True, slots=True)
class Packet:
    """A message on its way, with its frame where real frames are used."""

    sender: str
    sender_address: str
    incarnation: int
    target_address: str
    message: Message
    frame: bytes | None = None


Deliver = Callable[[Packet], None]


def kind_of(message: Message) -> str:
    """Return the type of ``message``, with what distinguishes its size."""
    name = type(message).__name__
    if isinstance(message, DeltaAnswer | SnapshotAnswer | PackedAnswer):
        return f"{name}:{message.kind.name.lower()}"
    if isinstance(message, Announce) and message.delta is not None:
        return f"{name}:delta"
    return name


class SimulatedNetwork:
    """Carries packets between addresses whose places are known.

    ``deliver`` gets each packet when it arrives. Packets with frames are counted
    in ``traffic``, by the address of the node. ``link_rate`` bounds what each node's
    machine sends and receives, in bytes a second of frames; 0 for no bound.
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
        self._lines = MachineLinks(link_rate)
        self._places: dict[str, Place] = {}
        self._cut: set[tuple[str, str]] = set()
        self.weather = Weather()
        self.traffic: defaultdict[str, Traffic] = defaultdict(Traffic)

    def place(self, address: str, place: Place) -> None:
        """Tell where the process behind ``address`` runs."""
        self._places[address] = place

    def cut(self, from_zone: str, to_zone: str) -> None:
        """Lose every message from one zone to another."""
        self._cut.add((from_zone, to_zone))

    def heal(self) -> None:
        """End every cut."""
        self._cut.clear()

    def send(self, packet: Packet) -> None:
        """Carry ``packet``, unless it is lost."""
        if packet.frame is not None:
            traffic = self.traffic[packet.sender_address]
            kind = kind_of(packet.message)
            traffic.sent_messages[kind] += 1
            traffic.sent_bytes[kind] += bytes_on_link(packet.frame)
        self._carry(packet)
        if self.weather.duplication and self._random.random() < self.weather.duplication:
            self._carry(packet)

    def _carry(self, packet: Packet) -> None:
        source = self._places[packet.sender_address]
        target = self._places.get(packet.target_address)
        if target is None or self._is_lost():
            return
        if (source.zone, target.zone) in self._cut:
            return
        delay = self._delay(source, target)
        if packet.frame is not None and self._lines.has_rate_limit:
            sender, to, size = packet.sender_address, packet.target_address, len(packet.frame)
            now = self._scheduler.now
            delay = self._lines.transfer(now, sender, to, size, delay) - now
        self._scheduler.after(delay, lambda: self._arrive(packet, target.zone))

    def _is_lost(self) -> bool:
        return bool(self.weather.loss) and self._random.random() < self.weather.loss

    def _delay(self, source: Place, target: Place) -> float:
        if source.zone == target.zone:
            base = self._latencies.same_zone
        elif source.region == target.region:
            base = self._latencies.same_region
        else:
            base = self._latencies.between_regions
        delay = base * (1 + self._latencies.jitter * self._random.random())
        if self.weather.reordering and self._random.random() < self.weather.reordering:
            delay += REORDER_DELAY * self._random.random()
        return delay

    def _arrive(self, packet: Packet, target_zone: str) -> None:
        """Deliver unless the link was cut while the packet was on its way."""
        source = self._places[packet.sender_address]
        if (source.zone, target_zone) in self._cut:
            return
        if packet.frame is not None:
            traffic = self.traffic[packet.target_address]
            kind = kind_of(packet.message)
            traffic.received_messages[kind] += 1
            traffic.received_bytes[kind] += bytes_on_link(packet.frame)
        self._deliver(packet)
