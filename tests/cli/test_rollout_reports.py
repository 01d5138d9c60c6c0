"""How far a revision has come: stages, their times, and who lacks it for which reason."""

import unittest
from typing import Any

from pewtertack.cli.rollout_lag import LagReason
from pewtertack.cli.rollout_reports import (
    Outcome,
    RolloutReport,
    newest_revision,
    revision_of_version,
    rollout_report,
)
from pewtertack.cli.status_reports import NodeReport
from pewtertack.core.eras import tree_number
from pewtertack.core.replication.stages import MAX_TRACKED_REVISIONS, Stage
from pewtertack.node.status import (
    FindingStatus,
    ReadStatus,
    RejectionStatus,
    RevisionStatus,
    StagesStatus,
)
from tests.cli.node_samples import NOW, node_status, report, unreachable

FINDING = FindingStatus("unknown-service", "routes.x", "no service y")
REJECTION = RejectionStatus(RevisionStatus(8), (FINDING,))


def current(name: str, heard: float, in_force: float, way: str = "delta") -> NodeReport:
    """Return a node that has revision 8 in force since a moment."""
    stages = (StagesStatus(8, way, heard, in_force, in_force, in_force),)
    return report(node_status(name, 8, stages=stages))


def lacking(**fields: Any) -> NodeReport:
    """Return a node that serves by revision 7."""
    return report(node_status("late", 7, **fields))


class RolloutReportTest(unittest.TestCase):
    def rollout(self, *reports: NodeReport, revision: int = 8) -> RolloutReport:
        return rollout_report(revision, reports)

    def check_why(self, why: LagReason, **fields: Any) -> None:
        found = self.rollout(current("a", 900.0, 901.0), lacking(**fields))
        (lack,) = found.lacking
        self.assertEqual((lack.why, lack.node, lack.in_force), (why, "late", 7))

    def test_times_count_from_the_first_word_at_any_node(self) -> None:
        found = self.rollout(
            current("a", 950.0, 950.0, "source"),
            current("b", 950.5, 951.0),
            current("c", 951.0, 954.0),
        )
        self.assertEqual((found.outcome, found.first_heard), (Outcome.COMPLETE, 950.0))
        in_force = found.stages[-1]
        self.assertEqual((in_force.stage, in_force.nodes), (Stage.IN_FORCE, 3))
        self.assertEqual((in_force.first, in_force.median, in_force.last), (0.0, 1.0, 4.0))
        self.assertEqual(found.ways, {"delta": 2, "source": 1})
        self.assertTrue(found.settled)

    def test_a_newer_revision_stands_for_the_one_asked_for(self) -> None:
        stages = (
            StagesStatus(9, "delta", 960.0, 961.0, 961.0, 961.0),
            StagesStatus(8, "unknown", 955.0),
        )
        found = self.rollout(report(node_status("a", 9, stages=stages)))
        self.assertEqual((found.outcome, found.first_heard), (Outcome.COMPLETE, 955.0))
        self.assertEqual(found.stages[-1].last, 6.0)

    def test_a_node_that_started_later_has_no_part_in_the_times(self) -> None:
        stages = (StagesStatus(8, "snapshot", 990.0, 991.0, 991.0, 991.0),)
        late = report(node_status("b", 8, stages=stages, uptime=15.0))
        found = self.rollout(current("a", 950.0, 950.5), late)
        self.assertEqual((found.stages[-1].nodes, found.stages[-1].last), (2, 0.5))

    def test_a_revision_older_than_those_kept_has_no_times(self) -> None:
        numbers = range(20 + MAX_TRACKED_REVISIONS, 20, -1)
        stages = tuple(StagesStatus(number, "delta", 990.0, 990.0) for number in numbers)
        found = self.rollout(report(node_status("a", numbers[0], stages=stages)))
        self.assertEqual((found.outcome, found.first_heard), (Outcome.COMPLETE, None))
        self.assertEqual((found.stages[-1].nodes, found.stages[-1].last), (1, None))

    def test_a_node_that_nobody_told(self) -> None:
        self.check_why(LagReason.NOT_HEARD)
        self.check_why(
            LagReason.NOT_HEARD, reading=True, reads={"configuration": ReadStatus(5.0, 5.0)}
        )

    def test_a_reader_whose_source_is_slow_or_fails(self) -> None:
        for read, why in (
            (ReadStatus(failures=2, failure="slow"), LagReason.SOURCE_SLOW),
            (ReadStatus(failures=1, failure="unfinished"), LagReason.SOURCE_SLOW),
            (ReadStatus(open_for=6.5, may_wait=5.0), LagReason.SOURCE_SLOW),
            (ReadStatus(failures=1, failure="silent"), LagReason.SOURCE_FAILING),
            (ReadStatus(failures=1, failure="refused"), LagReason.SOURCE_FAILING),
            (ReadStatus(failures=1), LagReason.SOURCE_FAILING),
        ):
            with self.subTest(read):
                self.check_why(why, reading=True, reads={"configuration": read})
                self.check_why(LagReason.NOT_HEARD, reading=False, reads={"configuration": read})

    def test_a_reader_whose_answers_take_long_has_a_slow_source(self) -> None:
        reads = {"configuration": ReadStatus(open_for=0.2, may_wait=2.0, open_reads=2)}
        slow = {"reading": True, "reads": reads}
        self.check_why(LagReason.SOURCE_SLOW, source_answer_seconds=3.8, **slow)
        self.check_why(LagReason.NOT_HEARD, source_answer_seconds=0.01, **slow)
        self.check_why(LagReason.NOT_HEARD, source_answer_seconds=3.8)

    def test_a_node_that_waits_at_a_later_stage(self) -> None:
        self.check_why(LagReason.NOT_HELD, newest_heard=8)
        self.check_why(LagReason.NOT_COMMITTED, held=8)
        self.check_why(LagReason.NOT_IN_FORCE, held=8, committed=8, phase="joining")

    def test_a_node_that_heard_of_it_waits_for_a_peer_and_not_for_the_source(self) -> None:
        reads = {"configuration": ReadStatus(failures=2, failure="slow")}
        self.check_why(LagReason.NOT_HELD, newest_heard=8, reading=True, reads=reads)

    def test_it_is_told_for_how_long_a_node_knows_of_the_revision(self) -> None:
        stages = (StagesStatus(8, "unknown", NOW - 3.2),)
        (lack,) = self.rollout(lacking(newest_heard=8, stages=stages)).lacking
        self.assertEqual(lack.heard_for, 3.2)

    def test_a_rejection_has_its_findings(self) -> None:
        late = lacking(newest_heard=8, last_rejection=REJECTION)
        found = self.rollout(current("a", 900.0, 900.0), late)
        self.assertEqual(found.outcome, Outcome.REJECTED)
        (lack,) = found.lacking
        self.assertEqual((lack.why, lack.findings), (LagReason.REJECTED, (FINDING,)))

    def test_an_older_rejection_is_no_reason(self) -> None:
        old = RejectionStatus(RevisionStatus(6), (FINDING,))
        self.check_why(LagReason.NOT_HEARD, last_rejection=old)

    def test_waiting_is_of_no_use_once_nobody_holds_what_was_rejected(self) -> None:
        refused = lacking(newest_heard=8, last_rejection=REJECTION)
        unheard = report(node_status("b"))
        self.assertTrue(self.rollout(refused, unheard).settled)
        self.assertFalse(self.rollout(current("a", 900.0, 900.0), refused, unheard).settled)
        self.assertTrue(self.rollout(current("a", 900.0, 900.0), refused).settled)

    def test_nodes_that_do_not_answer(self) -> None:
        found = self.rollout(current("a", 900.0, 900.0), unreachable("gone"))
        self.assertEqual(found.outcome, Outcome.UNREACHABLE)
        self.assertFalse(found.settled)
        (lack,) = found.lacking
        self.assertEqual((lack.why, lack.problem), (LagReason.UNREACHABLE, "no answer within 3 s"))
        self.assertEqual(self.rollout(unreachable("gone")).outcome, Outcome.INCOMPLETE)
        both = self.rollout(current("a", 900.0, 900.0), unreachable("gone"), lacking())
        self.assertEqual(both.outcome, Outcome.INCOMPLETE)

    def test_a_node_that_leaves_does_not_keep_a_rollout_from_being_complete(self) -> None:
        leaving = lacking(phase="leaving")
        found = self.rollout(current("a", 900.0, 900.0), leaving)
        self.assertEqual(
            (found.outcome, found.lacking[0].why), (Outcome.COMPLETE, LagReason.LEAVING)
        )
        self.assertEqual(self.rollout(leaving).outcome, Outcome.INCOMPLETE)

    def test_the_newest_revision_is_that_which_any_node_has_heard_of(self) -> None:
        reports = [unreachable("gone"), current("a", 900.0, 900.0), lacking(newest_heard=12)]
        self.assertEqual(newest_revision(reports), 12)
        self.assertEqual(newest_revision([unreachable("gone")]), 0)

    def test_an_operators_version_stands_for_its_revisions_of_a_store(self) -> None:
        stored = [report(node_status("a", tree_number(18, 5)))]
        self.assertEqual(revision_of_version(18, stored), tree_number(18))
        found = rollout_report(revision_of_version(18, stored), stored)
        self.assertEqual(found.outcome, Outcome.COMPLETE)
        self.assertEqual(revision_of_version(tree_number(18, 5), stored), tree_number(18, 5))
        self.assertEqual(revision_of_version(18, [report(node_status("a", 7))]), 18)


if __name__ == "__main__":
    unittest.main()
