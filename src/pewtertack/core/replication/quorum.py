"""Reporting what this node holds, and committing what a quorum reported."""

from __future__ import annotations

from pewtertack.core.effects import Effect
from pewtertack.core.identity import NodeIdentity
from pewtertack.core.membership.service import Membership
from pewtertack.core.profile import TimingProfile
from pewtertack.core.replication.commit import CommitTally
from pewtertack.core.revision import RevisionId
from pewtertack.wire.messages import HeldReport


class QuorumCommit:
    """Both sides of the commit: this node as a holder and as a coordinator.

    ``may_commit`` is false while the node cannot know the fleet's size.
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
        """Report a newly held revision to its first coordinators."""
        self._round = 0
        return self._report(now, held)

    def report_if_due(self, now: float, held: RevisionId) -> list[Effect]:
        """Report to the next coordinators when the earlier ones did not commit in time."""
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

    def record_holder(self, name: str, process: int, held: RevisionId) -> None:
        """Count a holder: the process ``process`` of ``name``."""
        self._tally.record(name, process, held)

    def has_quorum(self, now: float, revision: RevisionId) -> bool:
        """Tell whether a quorum of the members is known to hold ``revision``."""
        table = self._membership.table
        fewest = (len(table.reachable) + 1) // 2 + 1
        if not self.may_commit or self._tally.report_count(revision) < fewest:
            return False
        processes = table.reachable_incarnations()
        processes[self._identity.name] = self._identity.incarnation
        return self._tally.is_held_by_quorum(revision, table.quorum_members(now), processes)

    def on_commit(self, committed: RevisionId) -> None:
        """Forget reports that a commit has made useless."""
        self._tally.drop_up_to(committed)
