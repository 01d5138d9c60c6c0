"""Commit rule: which reports form a quorum."""

import unittest

from pewtertack.core.membership.table import QuorumMembers
from pewtertack.core.replication.commit import MAX_CANDIDATES, CommitTally
from pewtertack.core.revision import RevisionId

QUORUM = QuorumMembers({"a1": "a", "a2": "a", "a3": "a", "b1": "b", "b2": "b"})
INCARNATIONS = dict.fromkeys(QUORUM.zone_of, 1)
REVISION = RevisionId(2, b"x")


class CommitTallyTest(unittest.TestCase):
    def setUp(self) -> None:
        self.tally = CommitTally()

    def report(self, *names: str, revision: RevisionId = REVISION) -> None:
        for name in names:
            self.tally.record(name, 1, revision)

    def is_held_by_quorum(self, revision: RevisionId = REVISION) -> bool:
        return self.tally.is_held_by_quorum(revision, QUORUM, INCARNATIONS)

    def test_a_majority_in_two_zones_commits(self) -> None:
        self.report("a1", "a2")
        self.assertFalse(self.is_held_by_quorum())
        self.report("b1")
        self.assertTrue(self.is_held_by_quorum())

    def test_a_majority_in_one_zone_does_not_commit(self) -> None:
        self.report("a1", "a2", "a3")
        self.assertFalse(self.is_held_by_quorum())

    def test_the_report_of_an_earlier_process_does_not_count(self) -> None:
        self.report("a1", "a2", "b1")
        incarnations = {**INCARNATIONS, "a1": 2}
        self.assertFalse(self.tally.is_held_by_quorum(REVISION, QUORUM, incarnations))

    def test_two_digests_of_one_number_are_never_both_committed(self) -> None:
        self.report("a1", "a2", "b1")
        other = RevisionId(2, b"y")
        self.report("a3", "b2", revision=other)
        self.report(*QUORUM.zone_of, revision=RevisionId(3, b"z"))
        self.assertTrue(self.is_held_by_quorum())
        self.assertFalse(self.is_held_by_quorum(other))

    def test_candidates_are_bounded(self) -> None:
        for number in range(100):
            self.report("a1", revision=RevisionId(number, b""))
        counts = [self.tally.report_count(RevisionId(number, b"")) for number in range(100)]
        self.assertEqual(sum(counts), MAX_CANDIDATES)
