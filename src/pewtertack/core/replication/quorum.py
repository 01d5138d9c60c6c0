"""Reports of held revisions and the commit of revisions that a quorum reported."""

from __future__ import annotations

from pewtertack.core.effects import Effect
from pewtertack.core.identity import NodeIdentity
from pewtertack.core.membership.service import Membership
from pewtertack.core.profile import TimingProfile
from pewtertack.core.replication.commit import CommitTally
from pewtertack.core.revision import RevisionId
from pewtertack.wire.messages import HeldReport


class QuorumCommit:
    """Both roles of this node in commits, holder and coordinator.

    ``may_commit`` is false as long as the node cannot know the size of the fleet.
    """

    def __init__(
        self, identity: NodeIdentity, profile: TimingProfile, membership: Membership, now: float
    ) -> None:
        self._identity = identity
        self._profile = profile
        self._membership = membership
        self._tally = CommitTally()
        self._round = 0
        self._next_report_at = now
        self.may_commit = False

    def report(self, now: float, held: RevisionId) -> list[Effect]:
        """Report a newly held revision to the first coordinators of its number."""
        self._round = 0
        return self._report(now, held)

    def report_if_due(self, now: float, held: RevisionId) -> list[Effect]:
        """Report to the next coordinators if the earlier ones did not commit in time."""
        return self._report(now, held) if now >= self._next_report_at else []

    def _report(self, now: float, held: RevisionId) -> list[Effect]:
        self.record_holder(self._identity.name, self._identity.incarnation, held)
        count = self._profile.commit_coordinators
        names = self._membership.table.reachable.successors(
            str(held.number), self._round * count, count
        )
        self._round += 1
        self._next_report_at = now + self._profile.report_retry
        message = HeldReport(held)
        return [effect for name in names for effect in self._membership.send(name, message)]

    def record_holder(self, name: str, incarnation: int, held: RevisionId) -> None:
        """Record that the process ``incarnation`` of ``name`` holds ``held``."""
        self._tally.record(name, incarnation, held)

    def has_quorum(self, now: float, revision: RevisionId) -> bool:
        """Tell whether a quorum of the members is known to hold ``revision``."""
        table = self._membership.table
        fewest_reports = (len(table.reachable) + 1) // 2 + 1
        if not self.may_commit or self._tally.report_count(revision) < fewest_reports:
            return False
        incarnations = table.reachable_incarnations()
        incarnations[self._identity.name] = self._identity.incarnation
        return self._tally.is_held_by_quorum(revision, table.quorum_members(now), incarnations)

    def on_commit(self, committed: RevisionId) -> None:
        """Discard reports up to the number of a committed revision."""
        self._tally.drop_up_to(committed)
