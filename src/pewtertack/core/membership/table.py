"""One node's view of the fleet's members.

Updates about a member are ordered by incarnation, then by status. Only the member itself raises
its incarnation. The platform's machine list adds unknown members with incarnation 0, so that
every update from a running process takes precedence.
"""

from __future__ import annotations

import msgspec

from pewtertack.core.identity import NodeIdentity
from pewtertack.core.machines import Machine
from pewtertack.core.membership.ring import HashRing
from pewtertack.wire.messages import MemberStatus, MemberUpdate

UNCONFIRMED_INCARNATION = 0
"""Incarnation of a member that is known from the machine list only."""
REACHABLE_STATUSES = (MemberStatus.ALIVE, MemberStatus.SUSPECT)


class Member(msgspec.Struct):
    """One peer.

    ``process_incarnation`` is the incarnation with which its newest known process was started,
    taken from the envelope of its own messages, or 0 before any message. Refutations raise
    ``update.incarnation`` but leave ``process_incarnation`` unchanged. ``left_gracefully`` is true
    if the member announced that it was leaving before it was declared dead.
    """

    update: MemberUpdate
    changed_at: float
    process_incarnation: int = 0
    left_gracefully: bool = False

    @property
    def status(self) -> MemberStatus:
        """The status of the member in this node's view."""
        return self.update.status


class QuorumMembers(msgspec.Struct, frozen=True):
    """The members that count for quorums; ``zone_of`` maps their names to zones."""

    zone_of: dict[str, str]

    @property
    def majority(self) -> int:
        """The smallest number of members such that any two sets of that size overlap."""
        return len(self.zone_of) // 2 + 1

    @property
    def required_zones(self) -> int:
        """The number of zones that the members of a quorum must span."""
        return min(2, len(set(self.zone_of.values())))


class MemberTable:
    """All known peers, excluding the node itself.

    Args:
        identity: the node itself.
        dead_retention: seconds for which a dead member that is not in the machine list still
            counts for quorums.
        forget_after: seconds for which a dead member counts for quorums while no machine list is
            known.
    """

    def __init__(self, identity: NodeIdentity, dead_retention: float, forget_after: float) -> None:
        self._identity = identity
        self._dead_retention = dead_retention
        self._forget_after = forget_after
        self._members: dict[str, Member] = {}
        self._listed_names: frozenset[str] = frozenset()
        self.machine_list_known = False
        self.reachable = HashRing()
        self._zones: dict[str, HashRing] = {}

    def __len__(self) -> int:
        return len(self._members)

    def __contains__(self, name: str) -> bool:
        return name in self._members

    def get(self, name: str) -> Member | None:
        """Return the member ``name``, or ``None`` if it is unknown."""
        return self._members.get(name)

    def all_members(self) -> list[Member]:
        """Return every known member regardless of its status."""
        return list(self._members.values())

    def reachable_in_zone(self, zone: str) -> HashRing:
        """Return the reachable members of ``zone``."""
        return self._zones.setdefault(zone, HashRing())

    def reachable_zones(self) -> list[str]:
        """Return the sorted names of the zones that have reachable members."""
        return sorted(name for name, ring in self._zones.items() if len(ring))

    def merge(self, update: MemberUpdate, now: float) -> bool:
        """Merge an update; return whether it was new."""
        if update.name == self._identity.name:
            return False
        known = self._members.get(update.name)
        if known is not None and not _outranks(update, known.update):
            return False
        self._replace(update, now)
        return True

    def _replace(self, update: MemberUpdate, now: float) -> None:
        known = self._members.get(update.name)
        process_incarnation = 0
        left = False
        if known is not None:
            self._remove_from_rings(known.update)
            process_incarnation = known.process_incarnation
            left = _left_gracefully(known, update)
        self._members[update.name] = Member(update, now, process_incarnation, left)
        if update.status in REACHABLE_STATUSES:
            self.reachable.add(update.name)
            self.reachable_in_zone(update.zone).add(update.name)

    def _remove_from_rings(self, update: MemberUpdate) -> None:
        self.reachable.remove(update.name)
        self.reachable_in_zone(update.zone).remove(update.name)

    def use_machine_list(self, machines: list[Machine], now: float) -> None:
        """Add unknown members from the nodes of the platform's machine list."""
        self._listed_names = frozenset(machine.name for machine in machines)
        self.machine_list_known = True
        for machine in machines:
            self._seed(machine, now)

    def _seed(self, machine: Machine, now: float) -> None:
        if machine.name in self._members:
            return
        self.merge(
            MemberUpdate(
                machine.name,
                machine.address,
                machine.zone,
                machine.region,
                UNCONFIRMED_INCARNATION,
                MemberStatus.ALIVE,
            ),
            now,
        )

    def record_contact(self, name: str, address: str, process_incarnation: int, now: float) -> None:
        """Record a message that the process ``process_incarnation`` of a known member sent.

        A message from a process newer than any update so far proves that the member is alive.
        """
        member = self._members.get(name)
        if member is None:
            return
        member.process_incarnation = max(member.process_incarnation, process_incarnation)
        if process_incarnation > member.update.incarnation:
            update = msgspec.structs.replace(
                member.update,
                address=address,
                incarnation=process_incarnation,
                status=MemberStatus.ALIVE,
            )
            self.merge(update, now)

    def reachable_incarnations(self) -> dict[str, int]:
        """Return the incarnation of the newest known process of each reachable member."""
        return {
            name: member.process_incarnation
            for name, member in self._members.items()
            if member.status in REACHABLE_STATUSES
        }

    def forget_dead(self, now: float) -> None:
        """Remove dead members that no longer count for quorums."""
        for name, member in list(self._members.items()):
            if member.status is MemberStatus.DEAD and not self._dead_counts_for_quorum(member, now):
                del self._members[name]

    def _dead_counts_for_quorum(self, member: Member, now: float) -> bool:
        """Tell whether a dead member still counts for quorums.

        A machine that is unreachable but listed may still run behind a network partition. A
        member that announced that it was leaving has shut down gracefully and does not count.
        """
        if member.left_gracefully:
            return False
        age = now - member.changed_at
        if not self.machine_list_known:
            return age < self._forget_after
        return member.update.name in self._listed_names or age < self._dead_retention

    def quorum_members(self, now: float) -> QuorumMembers:
        """Return the members that count for quorums, including this node."""
        zone_of = {self._identity.name: self._identity.zone}
        for name, member in self._members.items():
            if self._counts_for_quorum(member, now):
                zone_of[name] = member.update.zone
        return QuorumMembers(zone_of)

    def _counts_for_quorum(self, member: Member, now: float) -> bool:
        if member.status is MemberStatus.DEAD:
            return self._dead_counts_for_quorum(member, now)
        return member.status is not MemberStatus.LEAVING

    def unreachable_names(self) -> list[str]:
        """Return the sorted names of the known dead members."""
        return sorted(
            name for name, member in self._members.items() if member.status is MemberStatus.DEAD
        )


def _outranks(new: MemberUpdate, old: MemberUpdate) -> bool:
    if new.incarnation != old.incarnation:
        return new.incarnation > old.incarnation
    return new.status > old.status


def _left_gracefully(known: Member, update: MemberUpdate) -> bool:
    """Tell whether ``update`` declares a member dead that had announced that it was leaving."""
    if update.status is not MemberStatus.DEAD or update.incarnation != known.update.incarnation:
        return False
    return known.left_gracefully or known.status is MemberStatus.LEAVING
