"""When a revision is safe to bring into force: a quorum of replicas holds it.

Holders report to coordinators chosen by hashing the revision's number over the
members. Any coordinator may commit: the mark is the same whoever makes it, so no
agreement is needed. Only reports of exactly the same number and digest count. A
majority can therefore hold at most one digest of a number, and two answers of the
source under one number never both come into force.
"""

from __future__ import annotations

from pewtertack.core.membership.table import QuorumMembers
from pewtertack.core.revision import RevisionId

MAX_CANDIDATES = 8


class CommitTally:
    """Counts the holders of the newest revisions that are not yet committed."""

    def __init__(self) -> None:
        self._candidates: dict[RevisionId, dict[str, int]] = {}

    def record(self, name: str, incarnation: int, held: RevisionId) -> None:
        """Note that process ``incarnation`` of ``name`` holds or has held ``held``."""
        self._candidates.setdefault(held, {})[name] = incarnation
        if len(self._candidates) > MAX_CANDIDATES:
            del self._candidates[min(self._candidates, key=lambda candidate: candidate.number)]

    def drop_up_to(self, committed: RevisionId) -> None:
        """Forget candidates that a commit has decided."""
        for candidate in list(self._candidates):
            if candidate.number <= committed.number:
                del self._candidates[candidate]

    def is_held_by_quorum(
        self, candidate: RevisionId, quorum: QuorumMembers, incarnations: dict[str, int]
    ) -> bool:
        """Tell whether a majority of the members, in enough zones, holds ``candidate``.

        ``incarnations`` gives the current incarnation of each reachable member:
        a report of an earlier process does not count.
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
        """Return how many processes reported ``candidate``, before any check."""
        return len(self._candidates.get(candidate, {}))
