"""Cuts, delays, losses and rates of the links between zones and machines; no I/O."""

from __future__ import annotations

import random

import msgspec

from pewtertack.lab.errors import LabUsageError
from pewtertack.lab.relay.machine_links import MachineLinks
from pewtertack.settings import Address


class RelayedNode(msgspec.Struct, frozen=True):
    """A node: the address at which it listens for peers, and the relay's address it advertises.

    No other node listens on the same IP address, because the relay identifies senders by it.
    """

    name: str
    zone: str
    listen: Address
    advertised: Address


class Link(msgspec.Struct, frozen=True, order=True):
    """One direction between two zones."""

    from_zone: str
    to_zone: str


class LinkSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """State of all links between different zones; within a zone only ``rate`` applies."""

    cuts: tuple[Link, ...] = ()
    delay: float = 0.0
    """One-way delay in seconds."""
    loss: float = 0.0
    """Fraction of datagrams that are lost, 0 to 1. Streams lose nothing."""
    rate: float = 0.0
    """Bytes per second of each node's machine in each direction; 0 for no limit."""


class LinkTable:
    """Decides whether and when each datagram or chunk passes.

    Args:
        nodes: all nodes, each with its own listening IP address.
        seed: determines which datagrams are lost.

    Raises:
        LabUsageError: two nodes share an IP address.
    """

    def __init__(self, nodes: tuple[RelayedNode, ...], seed: int = 0) -> None:
        self._by_ip = {node.listen.host: node for node in nodes}
        if len(self._by_ip) < len(nodes):
            raise LabUsageError("each relayed node needs its own listening IP address")
        self._random = random.Random(seed)
        self._machine_links = MachineLinks()
        self._settings = LinkSettings()

    @property
    def settings(self) -> LinkSettings:
        """The current state of the links."""
        return self._settings

    @settings.setter
    def settings(self, settings: LinkSettings) -> None:
        if settings.rate != self._settings.rate:
            self._machine_links = MachineLinks(settings.rate)
        self._settings = settings

    def sender(self, ip: str) -> RelayedNode | None:
        """Return the node that sends from ``ip``; ``None`` if it is unknown."""
        return self._by_ip.get(ip)

    def is_cut(self, from_zone: str, to_zone: str) -> bool:
        """Tell whether the link is cut in this direction."""
        return Link(from_zone, to_zone) in self.settings.cuts

    def delay(self, from_zone: str, to_zone: str) -> float:
        """Return the one-way delay in seconds."""
        return 0.0 if from_zone == to_zone else self.settings.delay

    def transfer_seconds(
        self, now: float, sender: RelayedNode, target: RelayedNode, size: int
    ) -> float:
        """Queue ``size`` bytes; return the seconds until all of them have arrived."""
        delay = self.delay(sender.zone, target.zone)
        return self._machine_links.transfer(now, sender.name, target.name, size, delay) - now

    def drops_datagram(self, from_zone: str, to_zone: str) -> bool:
        """Decide whether to drop one datagram."""
        if self.is_cut(from_zone, to_zone):
            return True
        if from_zone == to_zone or not self.settings.loss:
            return False
        return self._random.random() < self.settings.loss
