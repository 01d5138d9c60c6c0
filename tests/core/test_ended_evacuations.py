"""Ended evacuations, and the revision up to which their items were created."""

import unittest

from pewtertack.core.ended_evacuations import ENDED_ZONES_MAX, EndedEvacuations
from pewtertack.core.eras import logical_time


class EndedEvacuationsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.evacuations = EndedEvacuations()

    def test_an_ended_evacuation_is_recorded_with_a_revision(self) -> None:
        self.evacuations.record_tree(["garia"], 50, 0)
        self.evacuations.record_tree(["garia", "howrah"], 60, 0)
        self.assertEqual(self.evacuations.ended, {})
        self.evacuations.record_tree(["howrah"], 70, 0)
        self.assertEqual(self.evacuations.ended, {"garia": 70})
        self.evacuations.record_tree([], 0, 0)
        self.assertEqual(self.evacuations.ended, {"garia": 70, "howrah": 60})

    def test_an_evacuation_that_begins_again_has_not_ended(self) -> None:
        self.evacuations.record_tree(["garia"], 50, 0)
        self.evacuations.record_tree([], 60, 0)
        self.evacuations.record_tree(["garia"], logical_time(2, 40), 2)
        self.assertEqual(self.evacuations.ended, {})
        self.evacuations.record_tree([], logical_time(2, 45), 2)
        self.assertEqual(self.evacuations.ended, {"garia": 45})

    def test_number_of_remembered_zones_is_limited(self) -> None:
        for number in range(ENDED_ZONES_MAX + 5):
            self.evacuations.record_tree([f"z-{number}"], number, 0)
        self.assertEqual(len(self.evacuations.ended), ENDED_ZONES_MAX)
        self.assertNotIn("z-0", self.evacuations.ended)

    def test_ends_reported_by_a_peer_are_recorded_unless_the_zone_is_evacuated(self) -> None:
        self.evacuations.record_tree(["garia"], 50, 0)
        self.evacuations.record_report("howrah", 40)
        self.evacuations.record_report("howrah", 30)
        self.evacuations.record_report("garia", 90)
        self.assertEqual(self.evacuations.ended, {"howrah": 40})
        for number in range(ENDED_ZONES_MAX + 5):
            self.evacuations.record_report(f"z-{number}", number)
        self.assertEqual(len(self.evacuations.ended), ENDED_ZONES_MAX)
