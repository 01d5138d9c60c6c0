"""Membership service of one node: member table, failure detector and gossip."""

from __future__ import annotations

from random import Random

import msgspec

from pewtertack.core.effects import Effect, Log, Send
from pewtertack.core.identity import NodeIdentity
from pewtertack.core.machines import Machine
from pewtertack.core.membership.detector import (
    DetectorAction,
    FailureDetector,
    ProbeDirect,
    ProbeIndirect,
    StatusChanged,
)
from pewtertack.core.membership.gossip import GossipQueue
from pewtertack.core.membership.table import (
    UNCONFIRMED_INCARNATION,
    MemberTable,
)
from pewtertack.core.profile import TimingProfile
from pewtertack.events import Event
from pewtertack.wire.messages import (
    Acknowledge,
    IndirectAcknowledge,
    MemberStatus,
    MemberUpdate,
    Message,
    Ping,
    PingRequest,
    VersionState,
)

FORGET_INTERVAL_SECONDS = 5.0
"""Interval at which dead members that no longer count for quorums are removed."""

STATUS_EVENTS = {
    MemberStatus.ALIVE: Event.MEMBER_ALIVE,
    MemberStatus.SUSPECT: Event.MEMBER_SUSPECT,
    MemberStatus.LEAVING: Event.MEMBER_LEAVING,
    MemberStatus.DEAD: Event.MEMBER_DEAD,
}


class Membership:
    """Keeps the member table current and answers probes.

    ``superseded`` becomes true once another process runs under this node's name. An update about
    this name with an incarnation that this process never issued can only come from its
    replacement.
    """

    def __init__(
        self, identity: NodeIdentity, profile: TimingProfile, random: Random, now: float
    ) -> None:
        self._profile = profile
        self.table = MemberTable(identity, profile.dead_retention, profile.forget_after)
        self.detector = FailureDetector(self.table, profile, random, now)
        self.gossip = GossipQueue()
        self.own_update = MemberUpdate(
            identity.name,
            identity.address,
            identity.zone,
            identity.region,
            identity.incarnation,
            MemberStatus.ALIVE,
        )
        self.superseded = False
        self._detects_replacements = False
        self._next_forget_at = now + FORGET_INTERVAL_SECONDS
        self.gossip.add(self.own_update)

    def detect_replacements(self) -> None:
        """Treat a higher incarnation of this node's name as a replacement from now on."""
        self._detects_replacements = True

    def tick(self, now: float, state: VersionState) -> list[Effect]:
        """Return the probes and other effects that are due at ``now``."""
        if now >= self._next_forget_at:
            self._next_forget_at = now + FORGET_INTERVAL_SECONDS
            self.table.forget_dead(now)
        effects: list[Effect] = []
        for action in self.detector.tick(now):
            effects += self._execute(action, state)
        return effects

    def _execute(self, action: DetectorAction, state: VersionState) -> list[Effect]:
        match action:
            case ProbeDirect(target, sequence):
                return self.send(target, self._ping(target, sequence, state))
            case ProbeIndirect(target, helpers, sequence):
                request = PingRequest(sequence, target)
                return [effect for name in helpers for effect in self.send(name, request)]
            case StatusChanged(update):
                return self._gossip_update(update)

    def _ping(self, target: str, sequence: int, state: VersionState) -> Ping:
        """Return a ping; it includes the status of a suspect or dead target, to be refuted."""
        updates = self.gossip.take_for_message(len(self.table))
        member = self.table.get(target)
        if member is not None and member.status is not MemberStatus.ALIVE:
            others = (update for update in updates if update.name != target)
            updates = (member.update, *others)
        return Ping(sequence, state, updates)

    def send(self, name: str, message: Message) -> list[Effect]:
        """Return the effect that sends ``message`` to the member ``name``, if it is known."""
        member = self.table.get(name)
        return [Send(name, member.update.address, message)] if member else []

    def on_ping(
        self, now: float, sender: str, address: str, ping: Ping, state: VersionState
    ) -> list[Effect]:
        """Answer a direct probe."""
        effects = self.merge_updates(now, ping.updates)
        updates = self.gossip.take_for_message(len(self.table))
        updates = self._with_sender_status(sender, updates)
        effects.append(Send(sender, address, Acknowledge(ping.sequence, state, updates)))
        return effects

    def _with_sender_status(
        self, sender: str, updates: tuple[MemberUpdate, ...]
    ) -> tuple[MemberUpdate, ...]:
        """Add the status of a sender considered suspect or dead, which it can then refute."""
        member = self.table.get(sender)
        if member is None or member.status is MemberStatus.ALIVE:
            return updates
        return (member.update, *(update for update in updates if update.name != sender))

    def on_acknowledge(self, now: float, answer: Acknowledge) -> list[Effect]:
        """Process the answer to a probe; relay it if the probe was made for another member."""
        effects = self.merge_updates(now, answer.updates)
        relayed = self.detector.on_acknowledge(answer.sequence)
        if relayed is not None:
            message = IndirectAcknowledge(relayed.sequence, relayed.target)
            effects += self.send(relayed.requester, message)
        return effects

    def on_ping_request(
        self, sender: str, request: PingRequest, state: VersionState
    ) -> list[Effect]:
        """Probe a member on behalf of ``sender``."""
        probe = self.detector.start_relay(sender, request.sequence, request.target)
        return self._execute(probe, state) if probe is not None else []

    def on_indirect_acknowledge(self, answer: IndirectAcknowledge) -> None:
        """Process the report of a helper that reached a member this node could not reach."""
        self.detector.on_acknowledge(answer.sequence)

    def on_self_report(self, now: float, update: MemberUpdate) -> list[Effect]:
        """Merge the update that a running process sent about itself."""
        return self.merge_updates(now, (update,))

    def merge_updates(self, now: float, updates: tuple[MemberUpdate, ...]) -> list[Effect]:
        """Merge updates about members and gossip those that were new."""
        effects: list[Effect] = []
        for update in updates:
            if update.name == self.own_update.name:
                self._on_own_update(update)
            elif self._only_confirms_listed(update):
                self.table.merge(update, now)
            elif self.table.merge(update, now):
                self.detector.update_suspicion(update, now)
                effects += self._gossip_update(update)
        return effects

    def _only_confirms_listed(self, update: MemberUpdate) -> bool:
        """Tell whether the update only confirms that a member of the machine list is alive.

        Such updates are not gossiped because every peer has that list. When they were, the start
        of 195 nodes alone filled every probe with them for more than a minute.
        """
        known = self.table.get(update.name)
        return (
            known is not None
            and known.update.incarnation == UNCONFIRMED_INCARNATION
            and known.status is MemberStatus.ALIVE
            and update.status is MemberStatus.ALIVE
        )

    def _gossip_update(self, update: MemberUpdate) -> list[Effect]:
        if update.incarnation != UNCONFIRMED_INCARNATION:
            self.gossip.add(update)
        fields = {"member": update.name, "member_incarnation": update.incarnation}
        return [Log(STATUS_EVENTS[update.status], fields)]

    def _on_own_update(self, update: MemberUpdate) -> None:
        if update.incarnation > self.own_update.incarnation:
            if self._detects_replacements:
                self.superseded = True
            else:
                self._raise_incarnation_above(update.incarnation)
        elif (
            update.incarnation == self.own_update.incarnation
            and update.status > self.own_update.status
        ):
            self._raise_incarnation_above(update.incarnation)
        elif (
            update.incarnation < self.own_update.incarnation
            and update.status > self.own_update.status
        ):
            self.gossip.add(self.own_update)

    def _raise_incarnation_above(self, incarnation: int) -> None:
        self.own_update = msgspec.structs.replace(self.own_update, incarnation=incarnation + 1)
        self.gossip.add(self.own_update)

    def announce_leaving(self) -> None:
        """Announce to the fleet that this node is draining."""
        self.own_update = msgspec.structs.replace(self.own_update, status=MemberStatus.LEAVING)
        self.gossip.add(self.own_update)

    def use_machine_list(self, nodes: list[Machine], now: float) -> None:
        """Add unknown nodes of the platform's machine list to the table."""
        self.table.use_machine_list(nodes, now)
