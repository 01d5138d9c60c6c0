"""Which evacuations have ended, and up to which revision their items were made."""

import unittest

from pewtertack.core.ended_evacuations import ENDED_ZONES_MAX, EndedEvacuations
from pewtertack.core.eras import logical_time


class EndedEvacuationsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.seen = EndedEvacuations()

    def test_an_end_is_known_with_its_revision(self) -> None:
        self.seen.record_tree(["garia"], 50, 0)
        self.seen.record_tree(["garia", "howrah"], 60, 0)
        self.assertEqual(self.seen.ended, {})
        self.seen.record_tree(["howrah"], 70, 0)
        self.assertEqual(self.seen.ended, {"garia": 70})
        self.seen.record_tree([], 0, 0)
        self.assertEqual(self.seen.ended, {"garia": 70, "howrah": 60})

    def test_one_that_begins_again_has_not_ended(self) -> None:
        self.seen.record_tree(["garia"], 50, 0)
        self.seen.record_tree([], 60, 0)
        self.seen.record_tree(["garia"], logical_time(2, 40), 2)
        self.assertEqual(self.seen.ended, {})
        self.seen.record_tree([], logical_time(2, 45), 2)
        self.assertEqual(self.seen.ended, {"garia": 45})

    def test_no_more_than_so_many_are_remembered(self) -> None:
        for number in range(ENDED_ZONES_MAX + 5):
            self.seen.record_tree([f"z-{number}"], number, 0)
        self.assertEqual(len(self.seen.ended), ENDED_ZONES_MAX)
        self.assertNotIn("z-0", self.seen.ended)

    def test_a_peer_tells_of_ends_that_were_not_seen_here(self) -> None:
        self.seen.record_tree(["garia"], 50, 0)
        self.seen.record_report("howrah", 40)
        self.seen.record_report("howrah", 30)
        self.seen.record_report("garia", 90)
        self.assertEqual(self.seen.ended, {"howrah": 40})
        for number in range(ENDED_ZONES_MAX + 5):
            self.seen.record_report(f"z-{number}", number)
        self.assertEqual(len(self.seen.ended), ENDED_ZONES_MAX)
