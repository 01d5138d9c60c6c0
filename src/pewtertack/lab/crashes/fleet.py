"""Nodes that tell each other of ended back ends over a network with latency and loss."""

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
"""One way, between two nodes of a region, drawn evenly."""
TICK_SECONDS = LEASED.tick
KEY = bytes(16)
PORT = 7380
FIRST_INCARNATION = 1_700_000_000_000
"""Of the size that incarnations have, so that frames are as long as real ones."""


class CrashFleet:
    """The nodes of one simulation, by number.

    Args:
        size: how many nodes.
        scheduler: virtual time.
        random: decides latencies, losses and the nodes' own choices.
        loss: share of datagrams that get lost.
    """

    def __init__(self, size: int, scheduler: Scheduler, random: Random, loss: float) -> None:
        self.sent_bytes = 0
        self._scheduler = scheduler
        self._random = random
        self._loss = loss
        names = [_address(number) for number in range(size)]
        machines = [Machine(name, MachineRole.NODE, "zone", name) for name in names]
        self._numbers = {name: number for number, name in enumerate(names)}
        self.nodes = [self._node(name, machines) for name in names]
        for number in range(size):
            scheduler.after(random.uniform(0, TICK_SECONDS), partial(self._tick, number))

    def _node(self, name: str, machines: list[Machine]) -> CrashGossip:
        identity = NodeIdentity(name, name, "zone", "region", FIRST_INCARNATION)
        random = Random(self._random.getrandbits(64))
        membership = Membership(identity, LEASED, random, self._scheduler.now)
        membership.use_machine_list(machines, self._scheduler.now)
        return CrashGossip(identity, membership, random)

    def _tick(self, number: int) -> None:
        self.carry_out(number, self.nodes[number].tick(self._scheduler.now))
        self._scheduler.after(TICK_SECONDS, lambda: self._tick(number))

    def carry_out(self, number: int, effects: list[Effect]) -> None:
        """Send what a node has to say."""
        for effect in effects:
            if isinstance(effect, Send) and isinstance(effect.message, CrashReports):
                self._send(number, self._numbers[effect.name], effect.message)

    def _send(self, sender: int, receiver: int, reports: CrashReports) -> None:
        address = _address(sender)
        envelope = Envelope(address, address, FIRST_INCARNATION, self.sent_bytes + 1, reports)
        self.sent_bytes += len(encode_frame(envelope, KEY))
        if self._random.random() >= self._loss:
            latency = self._random.uniform(*LATENCY_SECONDS)
            self._scheduler.after(latency, lambda: self._receive(receiver, reports))

    def _receive(self, number: int, reports: CrashReports) -> None:
        self.carry_out(number, self.nodes[number].on_reports(self._scheduler.now, reports))


def _address(number: int) -> str:
    return f"10.{number // 65_536}.{number // 256 % 256}.{number % 256}:{PORT}"
