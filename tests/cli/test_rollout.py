"""The command: following, progress, text, JSON, exit codes, errors."""

import json
import unittest
from collections.abc import Sequence
from unittest import mock

from typer.testing import CliRunner

from pewtertack.cli import rollout_polling, status_reports
from pewtertack.cli.main import app
from pewtertack.cli.rollout import exit_code_for, format_progress, format_rollout
from pewtertack.cli.rollout_polling import follow_rollout
from pewtertack.cli.rollout_reports import NoRevisionError, RolloutReport, rollout_report
from pewtertack.cli.status_reports import NodeReport
from pewtertack.core.eras import tree_number
from pewtertack.node.status import ReadStatus, StagesStatus
from tests.cli.node_samples import NOW, node_status, report, unreachable
from tests.cli.test_rollout_reports import REJECTION, current, lacking

LATE = lacking(
    newest_heard=8, stages=(StagesStatus(8, "unknown", NOW - 3.2),), phase="joining", source_age=9.0
)
SLOW = report(
    node_status(
        "reader",
        reading=True,
        source_answer_seconds=3.81,
        reads={"configuration": ReadStatus(0.4, 5.0, 3, "slow", 2)},
    )
)


class FollowTest(unittest.IsolatedAsyncioTestCase):
    async def follow(
        self, *answers: Sequence[NodeReport], version: int | None = None, wait: float = 60.0
    ) -> RolloutReport:
        """Follow nodes that give these answers in turn, the last one for ever."""
        left = list(answers)
        self.shown: list[str] = []

        async def read() -> Sequence[NodeReport]:
            return left.pop(0) if len(left) > 1 else left[0]

        def show(waited: float, found: RolloutReport) -> None:
            self.shown.append(format_progress(found))

        with mock.patch.object(rollout_polling, "POLL_SECONDS", 0.01):
            return await follow_rollout(read, version, wait, show)

    async def test_it_waits_until_the_newest_revision_is_in_force(self) -> None:
        done = [current("a", 900.0, 900.0)]
        found = await self.follow([unreachable("a")], [LATE], [LATE], done)
        self.assertEqual((found.revision, found.outcome), (8, "complete"))
        self.assertEqual(len(self.shown), 3)
        waiting = "revision 8 of 1 nodes: heard 1, held 0, committed 0, in force 0"
        self.assertEqual(self.shown[0], waiting)

    async def test_what_is_followed_does_not_change_with_a_newer_revision(self) -> None:
        newer = report(node_status("a", 8, newest_heard=9))
        found = await self.follow([LATE], [newer])
        self.assertEqual((found.revision, found.outcome), (8, "complete"))

    async def test_the_time_out_ends_the_wait(self) -> None:
        self.assertEqual((await self.follow([LATE], wait=0.05)).outcome, "incomplete")
        self.assertGreater(len(self.shown), 2)

    async def test_without_a_wait_the_nodes_are_asked_once(self) -> None:
        self.assertEqual((await self.follow([LATE], wait=0.0)).outcome, "incomplete")
        self.assertEqual(len(self.shown), 1)

    async def test_a_rejection_ends_the_wait(self) -> None:
        refused = lacking(newest_heard=8, last_rejection=REJECTION)
        self.assertEqual((await self.follow([refused])).outcome, "rejected")

    async def test_a_version_that_nobody_has_heard_of_is_waited_for(self) -> None:
        found = await self.follow([lacking()], [current("a", 900.0, 900.0)], version=8)
        self.assertEqual(found.outcome, "complete")
        found = await self.follow([lacking()], version=8, wait=0.02)
        self.assertEqual([lack.why for lack in found.lacking], ["not-heard"])

    async def test_nodes_that_know_of_no_revision_are_an_error(self) -> None:
        empty = report(node_status("a", 0))
        with self.assertRaisesRegex(NoRevisionError, "none of 1 nodes.*http://gone: no answer"):
            await self.follow([empty, unreachable("gone")], wait=0.02)


class FormatTest(unittest.TestCase):
    def test_a_late_version(self) -> None:
        reports = [current("a", 950.0, 950.0), LATE, SLOW, unreachable("gone")]
        lines = format_rollout(rollout_report(8, reports)).splitlines()
        self.assertEqual(lines[0], "revision 8: incomplete, in force on 1 of 4 nodes")
        first = "first heard at 1970-01-01T00:15:50.000+00:00; came by: delta 1"
        self.assertEqual(lines[1], first)
        self.assertRegex(lines[4], r"^heard +2/4 +0\.00 s +23\.40 s +46\.80 s$")
        self.assertRegex(lines[7], r"^in force +1/4 +0\.00 s +0\.00 s +0\.00 s$")
        late, slow, gone = lines[10:13]
        detail = "joining, heard 3.2 s ago, source answered 9.0 s ago"
        self.assertRegex(late, rf"^late +z +7 +7 +not-held +{detail}$")
        detail = r"2 reads, the oldest open for 0\.4 s of 5 s, answers take 3\.8 s"
        detail = rf"failed reads in a row: 3, the last slow, {detail}"
        self.assertRegex(slow, rf"^reader +z +7 +7 +source-slow +{detail}$")
        self.assertRegex(gone, r"^http://gone +- +- +- +unreachable +no answer within 3 s$")

    def test_revisions_of_a_store_are_shown_as_the_operators_versions(self) -> None:
        late = report(node_status("a", tree_number(17, 5), held=tree_number(17, 6)))
        lines = format_rollout(rollout_report(tree_number(18), [late])).splitlines()
        self.assertEqual(lines[0], "revision 18: incomplete, in force on 0 of 1 nodes")
        self.assertRegex(lines[-1], r"^a +z +17\+5 +17\+6 +not-heard +-$")

    def test_findings_are_told_once(self) -> None:
        refused = [lacking(newest_heard=8, last_rejection=REJECTION) for _ in range(3)]
        last = format_rollout(rollout_report(8, refused)).splitlines()[-1]
        self.assertEqual(last, "rejected on 3 nodes: routes.x: unknown-service: no service y")

    def test_exit_codes(self) -> None:
        done, refused = current("a", 1.0, 1.0), lacking(last_rejection=REJECTION)
        for reports, code in (
            ([done], 0),
            ([done, LATE], 1),
            ([done, refused, LATE], 3),
            ([done, unreachable("gone")], 4),
        ):
            self.assertEqual(exit_code_for(rollout_report(8, reports)), code)


class CommandTest(unittest.TestCase):
    def run_with(self, reports: list[NodeReport], *arguments: str) -> tuple[int, str, str]:
        async def read_reports(admins: tuple[str, ...], timeout: float) -> list[NodeReport]:
            self.admins = admins
            return reports

        with mock.patch.object(status_reports, "read_reports", read_reports):
            command = ["rollout", "--admin", "http://a", "http://b", "http://a", *arguments]
            result = CliRunner().invoke(app, command)
        return result.exit_code, result.stdout, result.stderr

    def test_each_node_is_asked_once_and_progress_stands_apart(self) -> None:
        code, out, err = self.run_with([current("a", 950.0, 951.0)], "--wait", "5", "--json")
        self.assertEqual((code, self.admins), (0, ("http://a", "http://b")))
        data = json.loads(out)
        self.assertEqual((data["revision"], data["outcome"]), (8, "complete"))
        self.assertEqual(data["stages"][-1]["last"], 1.0)
        self.assertRegex(err, r"^ +0\.0 s  revision 8 of 1 nodes: heard 1, held 1, .*in force 1\n$")

    def test_a_late_version_without_a_wait(self) -> None:
        code, out, err = self.run_with([LATE], "--version", "8")
        self.assertEqual((code, err), (1, ""))
        self.assertIn("not-held", out)

    def test_wrong_numbers_are_usage_errors(self) -> None:
        for wrong in (("--version", "0"), ("--wait", "-1")):
            self.assertEqual(self.run_with([LATE], *wrong)[0], 2)


if __name__ == "__main__":
    unittest.main()
