"""Nodes that report crashes to each other over a network with latency and loss."""

from __future__ import annotations

from functools import partial
from random import Random

from pewtertack.core.crashes.gossip import CrashGossip
from pewtertack.core.effects import Effect, Send
from pewtertack.core.identity import NodeIdentity
from pewtertack.core.machines import Machine, MachineRole
from pewtertack.core.membership.service import Membership
from pewtertack.core.profile import LEASED
from pewtertack.lab.simulation.scheduler import Scheduler
from pewtertack.wire.frames import Envelope, encode_frame
from pewtertack.wire.messages import CrashReports

LATENCY_SECONDS = (0.0003, 0.0018)
"""Range of the one-way latency between two nodes of a region; uniformly distributed."""
TICK_SECONDS = LEASED.tick
FLEET_KEY = bytes(16)
PORT = 7380
FIRST_INCARNATION = 1_700_000_000_000
"""A realistic start time in milliseconds, so that frames are as long as real ones."""


class CrashFleet:
    """The nodes of one simulation, identified by index.

    Args:
        size: number of nodes.
        scheduler: virtual time.
        random: decides latency, loss and the nodes' random choices.
        loss: fraction of datagrams that are lost.
    """

    def __init__(self, size: int, scheduler: Scheduler, random: Random, loss: float) -> None:
        self.sent_bytes = 0
        self._scheduler = scheduler
        self._random = random
        self._loss = loss
        names = [_address(index) for index in range(size)]
        machines = [Machine(name, MachineRole.NODE, "zone", name) for name in names]
        self._index_by_name = {name: index for index, name in enumerate(names)}
        self.nodes = [self._create_node(name, machines) for name in names]
        for index in range(size):
            scheduler.after(random.uniform(0, TICK_SECONDS), partial(self._tick, index))

    def _create_node(self, name: str, machines: list[Machine]) -> CrashGossip:
        identity = NodeIdentity(name, name, "zone", "region", FIRST_INCARNATION)
        random = Random(self._random.getrandbits(64))
        membership = Membership(identity, LEASED, random, self._scheduler.now)
        membership.use_machine_list(machines, self._scheduler.now)
        return CrashGossip(identity, membership, random)

    def _tick(self, index: int) -> None:
        self.send_reports(index, self.nodes[index].tick(self._scheduler.now))
        self._scheduler.after(TICK_SECONDS, lambda: self._tick(index))

    def send_reports(self, index: int, effects: list[Effect]) -> None:
        """Send the crash reports among the effects of a node."""
        for effect in effects:
            if isinstance(effect, Send) and isinstance(effect.message, CrashReports):
                self._send(index, self._index_by_name[effect.name], effect.message)

    def _send(self, sender: int, receiver: int, reports: CrashReports) -> None:
        address = _address(sender)
        envelope = Envelope(address, address, FIRST_INCARNATION, self.sent_bytes + 1, reports)
        self.sent_bytes += len(encode_frame(envelope, FLEET_KEY))
        if self._random.random() >= self._loss:
            latency = self._random.uniform(*LATENCY_SECONDS)
            self._scheduler.after(latency, lambda: self._receive(receiver, reports))

    def _receive(self, index: int, reports: CrashReports) -> None:
        self.send_reports(index, self.nodes[index].on_reports(self._scheduler.now, reports))


def _address(index: int) -> str:
    return f"10.{index // 65_536}.{index // 256 % 256}.{index % 256}:{PORT}"
