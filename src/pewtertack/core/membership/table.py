"""What one node believes of the fleet's members.

Updates about a member are ordered by incarnation, then by status; only the
member itself raises its incarnation. The platform's machine list seeds unknown
members with incarnation 0, which every statement of a live process outranks.
"""

from __future__ import annotations

import msgspec

from pewtertack.core.identity import NodeIdentity
from pewtertack.core.machines import Machine
from pewtertack.core.membership.ring import HashRing
from pewtertack.wire.messages import MemberStatus, MemberUpdate

UNCONFIRMED_INCARNATION = 0
REACHABLE_STATUSES = (MemberStatus.ALIVE, MemberStatus.SUSPECT)


class Member(msgspec.Struct):
    """One peer.

    ``process`` is the incarnation with which its newest process known here was
    started, from the envelope of its own messages; 0 before any. Refutations
    raise ``update.incarnation`` but leave ``process`` as it is. ``left`` tells that
    the member said it was leaving before it was found dead.
    """

    update: MemberUpdate
    changed_at: float
    process_incarnation: int = 0
    left_gracefully: bool = False

    @property
    def status(self) -> MemberStatus:
        """What this node believes of the member."""
        return self.update.status


class QuorumMembers(msgspec.Struct, frozen=True):
    """The members whose majority decides, as names by zone."""

    zone_of: dict[str, str]

    @property
    def majority(self) -> int:
        """The smallest count that every other majority shares a member with."""
        return len(self.zone_of) // 2 + 1

    @property
    def required_zones(self) -> int:
        """In how many zones a quorum must lie."""
        return min(2, len(set(self.zone_of.values())))


class MemberTable:
    """All known peers, without the node itself."""

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
        """Return the member called ``name``, if known."""
        return self._members.get(name)

    def all_members(self) -> list[Member]:
        """Return every known member, whatever its status."""
        return list(self._members.values())

    def reachable_in_zone(self, zone: str) -> HashRing:
        """Return the reachable members of ``zone``."""
        return self._zones.setdefault(zone, HashRing())

    def reachable_zones(self) -> list[str]:
        """Return the zones with reachable members, sorted."""
        return sorted(name for name, ring in self._zones.items() if len(ring))

    def merge(self, update: MemberUpdate, now: float) -> bool:
        """Take in a statement; return whether it was news."""
        if update.name == self._identity.name:
            return False
        known = self._members.get(update.name)
        if known is not None and not _outranks(update, known.update):
            return False
        self._replace(update, now)
        return True

    def _replace(self, update: MemberUpdate, now: float) -> None:
        known = self._members.get(update.name)
        process = 0
        left = False
        if known is not None:
            self._remove_from_rings(known.update)
            process = known.process_incarnation
            left = _left_gracefully(known, update)
        self._members[update.name] = Member(update, now, process, left)
        if update.status in REACHABLE_STATUSES:
            self.reachable.add(update.name)
            self.reachable_in_zone(update.zone).add(update.name)

    def _remove_from_rings(self, update: MemberUpdate) -> None:
        self.reachable.remove(update.name)
        self.reachable_in_zone(update.zone).remove(update.name)

    def use_machine_list(self, machines: list[Machine], now: float) -> None:
        """Seed unknown members from the platform's list of nodes."""
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

    def record_contact(self, name: str, address: str, process: int, now: float) -> None:
        """Note a message of the process ``process`` of a known member.

        The message of a newer process than any stated so far shows that it lives.
        """
        member = self._members.get(name)
        if member is None:
            return
        member.process_incarnation = max(member.process_incarnation, process)
        if process > member.update.incarnation:
            update = msgspec.structs.replace(
                member.update, address=address, incarnation=process, status=MemberStatus.ALIVE
            )
            self.merge(update, now)

    def reachable_incarnations(self) -> dict[str, int]:
        """Return the newest known process of each reachable member."""
        return {
            name: member.process_incarnation
            for name, member in self._members.items()
            if member.status in REACHABLE_STATUSES
        }

    def forget_dead(self, now: float) -> None:
        """Drop dead members that no longer count for quorums."""
        for name, member in list(self._members.items()):
            if member.status is MemberStatus.DEAD and not self._dead_counts_for_quorum(member, now):
                del self._members[name]

    def _dead_counts_for_quorum(self, member: Member, now: float) -> bool:
        """A machine that is unreachable but listed may live on behind a cut.

        One that said it was leaving has stopped by plan and may not.
        """
        if member.left_gracefully:
            return False
        age = now - member.changed_at
        if not self.machine_list_known:
            return age < self._forget_after
        return member.update.name in self._listed_names or age < self._dead_retention

    def quorum_members(self, now: float) -> QuorumMembers:
        """Return the members of which a majority must hold a revision, with this node."""
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
        """Return the names of dead members that still count, sorted."""
        return sorted(
            name for name, member in self._members.items() if member.status is MemberStatus.DEAD
        )


def _outranks(new: MemberUpdate, old: MemberUpdate) -> bool:
    if new.incarnation != old.incarnation:
        return new.incarnation > old.incarnation
    return new.status > old.status


def _left_gracefully(known: Member, update: MemberUpdate) -> bool:
    """Tell whether a member found dead had said it was leaving."""
    if update.status is not MemberStatus.DEAD or update.incarnation != known.update.incarnation:
        return False
    return known.left_gracefully or known.status is MemberStatus.LEAVING
