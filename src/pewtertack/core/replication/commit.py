"""Commit rule: a revision may come into force once a quorum of replicas holds it.

Holders report to coordinators that are chosen by hashing the revision's number over the members.
Any coordinator may commit. The commit mark does not depend on which one does, so coordinators need
no agreement among themselves. Only reports with exactly the same number and digest are counted. A
majority can therefore hold at most one digest of a number, and two documents that the source
returned under one number never both come into force.
"""

from __future__ import annotations

from pewtertack.core.membership.table import QuorumMembers
from pewtertack.core.revision import RevisionId

MAX_CANDIDATES = 8
"""Number of revisions whose holders are counted; the one with the lowest number is dropped."""


class CommitTally:
    """Counts the holders of the newest uncommitted revisions."""

    def __init__(self) -> None:
        self._candidates: dict[RevisionId, dict[str, int]] = {}

    def record(self, name: str, incarnation: int, held: RevisionId) -> None:
        """Record that process ``incarnation`` of ``name`` holds or has held ``held``."""
        self._candidates.setdefault(held, {})[name] = incarnation
        if len(self._candidates) > MAX_CANDIDATES:
            del self._candidates[min(self._candidates, key=lambda candidate: candidate.number)]

    def drop_up_to(self, committed: RevisionId) -> None:
        """Remove candidates up to the number of a committed revision."""
        for candidate in list(self._candidates):
            if candidate.number <= committed.number:
                del self._candidates[candidate]

    def is_held_by_quorum(
        self, candidate: RevisionId, quorum: QuorumMembers, incarnations: dict[str, int]
    ) -> bool:
        """Tell whether a majority of the members, in enough zones, holds ``candidate``.

        Args:
            candidate: the revision in question.
            quorum: the members that count.
            incarnations: the current incarnation of each reachable member. A report of an
                earlier process is not counted.
        """
        reports = self._candidates.get(candidate, {})
        holders = [
            name
            for name, incarnation in reports.items()
            if name in quorum.zone_of and incarnations.get(name) == incarnation
        ]
        zones = {quorum.zone_of[name] for name in holders}
        return len(holders) >= quorum.majority and len(zones) >= quorum.required_zones

    def report_count(self, candidate: RevisionId) -> int:
        """Return the number of reports of ``candidate``, including ones that do not count."""
        return len(self._candidates.get(candidate, {}))
