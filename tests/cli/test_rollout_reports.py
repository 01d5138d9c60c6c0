"""Progress of a revision: stages, their times, and why nodes lack it."""

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


def current(name: str, reported_at: float, in_force: float, way: str = "delta") -> NodeReport:
    """Return a node that has had revision 8 in force since ``in_force``."""
    stages = (StagesStatus(8, way, reported_at, in_force, in_force, in_force),)
    return report(node_status(name, 8, stages=stages))


def lacking(**fields: Any) -> NodeReport:
    """Return a node that has revision 7 in force."""
    return report(node_status("late", 7, **fields))


class RolloutReportTest(unittest.TestCase):
    def rollout(self, *reports: NodeReport, revision: int = 8) -> RolloutReport:
        return rollout_report(revision, reports)

    def check_why(self, reason: LagReason, **fields: Any) -> None:
        result = self.rollout(current("a", 900.0, 901.0), lacking(**fields))
        (node,) = result.lacking
        self.assertEqual((node.why, node.node, node.in_force), (reason, "late", 7))

    def test_times_count_from_the_first_report_at_any_node(self) -> None:
        result = self.rollout(
            current("a", 950.0, 950.0, "source"),
            current("b", 950.5, 951.0),
            current("c", 951.0, 954.0),
        )
        self.assertEqual((result.outcome, result.first_heard), (Outcome.COMPLETE, 950.0))
        in_force = result.stages[-1]
        self.assertEqual((in_force.stage, in_force.nodes), (Stage.IN_FORCE, 3))
        self.assertEqual((in_force.first, in_force.median, in_force.last), (0.0, 1.0, 4.0))
        self.assertEqual(result.ways, {"delta": 2, "source": 1})
        self.assertTrue(result.settled)

    def test_newer_revision_counts_as_the_requested_one(self) -> None:
        stages = (
            StagesStatus(9, "delta", 960.0, 961.0, 961.0, 961.0),
            StagesStatus(8, "unknown", 955.0),
        )
        result = self.rollout(report(node_status("a", 9, stages=stages)))
        self.assertEqual((result.outcome, result.first_heard), (Outcome.COMPLETE, 955.0))
        self.assertEqual(result.stages[-1].last, 6.0)

    def test_node_that_started_later_is_excluded_from_times(self) -> None:
        stages = (StagesStatus(8, "snapshot", 990.0, 991.0, 991.0, 991.0),)
        late = report(node_status("b", 8, stages=stages, uptime=15.0))
        result = self.rollout(current("a", 950.0, 950.5), late)
        self.assertEqual((result.stages[-1].nodes, result.stages[-1].last), (2, 0.5))

    def test_revision_that_is_no_longer_tracked_has_no_times(self) -> None:
        numbers = range(20 + MAX_TRACKED_REVISIONS, 20, -1)
        stages = tuple(StagesStatus(number, "delta", 990.0, 990.0) for number in numbers)
        result = self.rollout(report(node_status("a", numbers[0], stages=stages)))
        self.assertEqual((result.outcome, result.first_heard), (Outcome.COMPLETE, None))
        self.assertEqual((result.stages[-1].nodes, result.stages[-1].last), (1, None))

    def test_node_without_report_of_the_revision(self) -> None:
        self.check_why(LagReason.NOT_HEARD)
        self.check_why(
            LagReason.NOT_HEARD, reading=True, reads={"configuration": ReadStatus(5.0, 5.0)}
        )

    def test_reader_whose_source_is_slow_or_fails(self) -> None:
        for read, reason in (
            (ReadStatus(failures=2, failure="slow"), LagReason.SOURCE_SLOW),
            (ReadStatus(failures=1, failure="unfinished"), LagReason.SOURCE_SLOW),
            (ReadStatus(open_for=6.5, may_wait=5.0), LagReason.SOURCE_SLOW),
            (ReadStatus(failures=1, failure="silent"), LagReason.SOURCE_FAILING),
            (ReadStatus(failures=1, failure="refused"), LagReason.SOURCE_FAILING),
            (ReadStatus(failures=1), LagReason.SOURCE_FAILING),
        ):
            with self.subTest(read):
                self.check_why(reason, reading=True, reads={"configuration": read})
                self.check_why(LagReason.NOT_HEARD, reading=False, reads={"configuration": read})

    def test_reader_with_slow_responses_has_a_slow_source(self) -> None:
        reads = {"configuration": ReadStatus(open_for=0.2, may_wait=2.0, open_reads=2)}
        slow = {"reading": True, "reads": reads}
        self.check_why(LagReason.SOURCE_SLOW, source_answer_seconds=3.8, **slow)
        self.check_why(LagReason.NOT_HEARD, source_answer_seconds=0.01, **slow)
        self.check_why(LagReason.NOT_HEARD, source_answer_seconds=3.8)

    def test_node_that_waits_at_a_later_stage(self) -> None:
        self.check_why(LagReason.NOT_HELD, newest_heard=8)
        self.check_why(LagReason.NOT_COMMITTED, held=8)
        self.check_why(LagReason.NOT_IN_FORCE, held=8, committed=8, phase="joining")

    def test_node_that_knows_of_the_revision_waits_for_a_peer_not_the_source(self) -> None:
        reads = {"configuration": ReadStatus(failures=2, failure="slow")}
        self.check_why(LagReason.NOT_HELD, newest_heard=8, reading=True, reads=reads)

    def test_time_since_the_revision_was_reported(self) -> None:
        stages = (StagesStatus(8, "unknown", NOW - 3.2),)
        (node,) = self.rollout(lacking(newest_heard=8, stages=stages)).lacking
        self.assertEqual(node.heard_for, 3.2)

    def test_rejection_includes_findings(self) -> None:
        late = lacking(newest_heard=8, last_rejection=REJECTION)
        result = self.rollout(current("a", 900.0, 900.0), late)
        self.assertEqual(result.outcome, Outcome.REJECTED)
        (node,) = result.lacking
        self.assertEqual((node.why, node.findings), (LagReason.REJECTED, (FINDING,)))

    def test_rejection_of_an_older_revision_is_not_the_reason(self) -> None:
        old = RejectionStatus(RevisionStatus(6), (FINDING,))
        self.check_why(LagReason.NOT_HEARD, last_rejection=old)

    def test_rollout_is_settled_if_no_node_holds_the_rejected_revision(self) -> None:
        refused = lacking(newest_heard=8, last_rejection=REJECTION)
        unaware = report(node_status("b"))
        self.assertTrue(self.rollout(refused, unaware).settled)
        self.assertFalse(self.rollout(current("a", 900.0, 900.0), refused, unaware).settled)
        self.assertTrue(self.rollout(current("a", 900.0, 900.0), refused).settled)

    def test_unreachable_nodes(self) -> None:
        result = self.rollout(current("a", 900.0, 900.0), unreachable("gone"))
        self.assertEqual(result.outcome, Outcome.UNREACHABLE)
        self.assertFalse(result.settled)
        (node,) = result.lacking
        self.assertEqual(
            (node.why, node.problem), (LagReason.UNREACHABLE, "no response within 3 s")
        )
        self.assertEqual(self.rollout(unreachable("gone")).outcome, Outcome.INCOMPLETE)
        both = self.rollout(current("a", 900.0, 900.0), unreachable("gone"), lacking())
        self.assertEqual(both.outcome, Outcome.INCOMPLETE)

    def test_leaving_node_does_not_prevent_completion(self) -> None:
        leaving = lacking(phase="leaving")
        result = self.rollout(current("a", 900.0, 900.0), leaving)
        self.assertEqual(
            (result.outcome, result.lacking[0].why), (Outcome.COMPLETE, LagReason.LEAVING)
        )
        self.assertEqual(self.rollout(leaving).outcome, Outcome.INCOMPLETE)

    def test_newest_revision_is_the_newest_known_to_any_node(self) -> None:
        reports = [unreachable("gone"), current("a", 900.0, 900.0), lacking(newest_heard=12)]
        self.assertEqual(newest_revision(reports), 12)
        self.assertEqual(newest_revision([unreachable("gone")]), 0)

    def test_version_matches_its_store_revisions(self) -> None:
        stored = [report(node_status("a", tree_number(18, 5)))]
        self.assertEqual(revision_of_version(18, stored), tree_number(18))
        result = rollout_report(revision_of_version(18, stored), stored)
        self.assertEqual(result.outcome, Outcome.COMPLETE)
        self.assertEqual(revision_of_version(tree_number(18, 5), stored), tree_number(18, 5))
        self.assertEqual(revision_of_version(18, [report(node_status("a", 7))]), 18)


if __name__ == "__main__":
    unittest.main()
