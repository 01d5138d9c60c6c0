"""The rollout command: polling, progress, text, JSON, exit codes, errors."""

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

LAGGING = lacking(
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
        self, *reports: Sequence[NodeReport], version: int | None = None, wait: float = 60.0
    ) -> RolloutReport:
        """Follow nodes that give these reports in turn, the last one repeatedly."""
        remaining = list(reports)
        self.progress_lines: list[str] = []

        async def read() -> Sequence[NodeReport]:
            return remaining.pop(0) if len(remaining) > 1 else remaining[0]

        def report_progress(elapsed_seconds: float, result: RolloutReport) -> None:
            self.progress_lines.append(format_progress(result))

        with mock.patch.object(rollout_polling, "POLL_SECONDS", 0.01):
            return await follow_rollout(read, version, wait, report_progress)

    async def test_wait_until_newest_revision_is_in_force(self) -> None:
        current_reports = [current("a", 900.0, 900.0)]
        result = await self.follow([unreachable("a")], [LAGGING], [LAGGING], current_reports)
        self.assertEqual((result.revision, result.outcome), (8, "complete"))
        self.assertEqual(len(self.progress_lines), 3)
        waiting = "revision 8 of 1 nodes: heard 1, held 0, committed 0, in force 0"
        self.assertEqual(self.progress_lines[0], waiting)

    async def test_followed_revision_stays_when_a_newer_one_appears(self) -> None:
        newer = report(node_status("a", 8, newest_heard=9))
        result = await self.follow([LAGGING], [newer])
        self.assertEqual((result.revision, result.outcome), (8, "complete"))

    async def test_timeout_ends_the_wait(self) -> None:
        self.assertEqual((await self.follow([LAGGING], wait=0.05)).outcome, "incomplete")
        self.assertGreater(len(self.progress_lines), 2)

    async def test_nodes_are_queried_once_without_wait(self) -> None:
        self.assertEqual((await self.follow([LAGGING], wait=0.0)).outcome, "incomplete")
        self.assertEqual(len(self.progress_lines), 1)

    async def test_rejection_ends_the_wait(self) -> None:
        rejecting = lacking(newest_heard=8, last_rejection=REJECTION)
        self.assertEqual((await self.follow([rejecting])).outcome, "rejected")

    async def test_unknown_version_is_waited_for(self) -> None:
        result = await self.follow([lacking()], [current("a", 900.0, 900.0)], version=8)
        self.assertEqual(result.outcome, "complete")
        result = await self.follow([lacking()], version=8, wait=0.02)
        self.assertEqual([node.why for node in result.lacking], ["not-heard"])

    async def test_nodes_without_any_revision_raise_an_error(self) -> None:
        empty = report(node_status("a", 0))
        with self.assertRaisesRegex(
            NoRevisionError, "none of 1 reachable nodes.*http://gone: no response"
        ):
            await self.follow([empty, unreachable("gone")], wait=0.02)


class FormatTest(unittest.TestCase):
    def test_version_that_is_not_in_force_everywhere(self) -> None:
        reports = [current("a", 950.0, 950.0), LAGGING, SLOW, unreachable("gone")]
        lines = format_rollout(rollout_report(8, reports)).splitlines()
        self.assertEqual(lines[0], "revision 8: incomplete, in force on 1 of 4 nodes")
        first = "first reported at 1970-01-01T00:15:50.000+00:00; delivered by: delta 1"
        self.assertEqual(lines[1], first)
        self.assertRegex(lines[4], r"^heard +2/4 +0\.00 s +23\.40 s +46\.80 s$")
        self.assertRegex(lines[7], r"^in force +1/4 +0\.00 s +0\.00 s +0\.00 s$")
        late_line, slow_line, gone_line = lines[10:13]
        detail = "joining, reported 3.2 s ago, source responded 9.0 s ago"
        self.assertRegex(late_line, rf"^late +z +7 +7 +not-held +{detail}$")
        detail = r"2 reads, the oldest open for 0\.4 s of 5 s, responses take 3\.8 s"
        detail = rf"consecutive failed reads: 3, the last slow, {detail}"
        self.assertRegex(slow_line, rf"^reader +z +7 +7 +source-slow +{detail}$")
        self.assertRegex(gone_line, r"^http://gone +- +- +- +unreachable +no response within 3 s$")

    def test_store_revisions_are_shown_as_versions(self) -> None:
        lagging_report = report(node_status("a", tree_number(17, 5), held=tree_number(17, 6)))
        lines = format_rollout(rollout_report(tree_number(18), [lagging_report])).splitlines()
        self.assertEqual(lines[0], "revision 18: incomplete, in force on 0 of 1 nodes")
        self.assertRegex(lines[-1], r"^a +z +17\+5 +17\+6 +not-heard +-$")

    def test_findings_are_shown_once(self) -> None:
        rejecting = [lacking(newest_heard=8, last_rejection=REJECTION) for _ in range(3)]
        last = format_rollout(rollout_report(8, rejecting)).splitlines()[-1]
        self.assertEqual(last, "rejected on 3 nodes: routes.x: unknown-service: no service y")

    def test_exit_codes(self) -> None:
        current_reports, rejecting = current("a", 1.0, 1.0), lacking(last_rejection=REJECTION)
        for reports, code in (
            ([current_reports], 0),
            ([current_reports, LAGGING], 1),
            ([current_reports, rejecting, LAGGING], 3),
            ([current_reports, unreachable("gone")], 4),
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

    def test_nodes_are_queried_once_and_progress_goes_to_standard_error(self) -> None:
        code, out, err = self.run_with([current("a", 950.0, 951.0)], "--wait", "5", "--json")
        self.assertEqual((code, self.admins), (0, ("http://a", "http://b")))
        data = json.loads(out)
        self.assertEqual((data["revision"], data["outcome"]), (8, "complete"))
        self.assertEqual(data["stages"][-1]["last"], 1.0)
        self.assertRegex(err, r"^ +0\.0 s  revision 8 of 1 nodes: heard 1, held 1, .*in force 1\n$")

    def test_exit_code_without_wait(self) -> None:
        code, out, err = self.run_with([LAGGING], "--version", "8")
        self.assertEqual((code, err), (1, ""))
        self.assertIn("not-held", out)

    def test_wrong_numbers_are_usage_errors(self) -> None:
        for arguments in (("--version", "0"), ("--wait", "-1")):
            self.assertEqual(self.run_with([LAGGING], *arguments)[0], 2)


if __name__ == "__main__":
    unittest.main()
