"""The table of nodes and the notes below it."""

import unittest

from pewtertack.cli.status import format_reports
from pewtertack.node.status import ReadStatus
from tests.cli.node_samples import node_status, report


class StatusTest(unittest.TestCase):
    def test_current_node_has_no_note(self) -> None:
        self.assertEqual(len(format_reports([report(node_status("a"))]).splitlines()), 2)

    def test_note_of_a_node_that_is_behind(self) -> None:
        behind = node_status("a", 18, newest_heard=21, behind_for=3.21)
        note = format_reports([report(behind)]).splitlines()[-1]
        self.assertEqual(note, "a: behind: has known of revision 21 for 3.2 s but has 18 in force")

    def test_note_of_failed_reads(self) -> None:
        reads = {"configuration": ReadStatus(failures=3, failure="slow")}
        note = format_reports([report(node_status("a", reads=reads))]).splitlines()[-1]
        self.assertEqual(note, "a: consecutive failed reads of configuration: 3, the last slow")


if __name__ == "__main__":
    unittest.main()
