"""Log of revision stages: order, delivery channels, lag and bounds."""

import unittest

from pewtertack.core.replication.stages import (
    MAX_TRACKED_REVISIONS,
    DeliveryChannel,
    Stage,
    StageLog,
)


class StageLogTest(unittest.TestCase):
    def setUp(self) -> None:
        self.log = StageLog()

    def test_stage_times_are_relative_to_the_first_report(self) -> None:
        self.assertTrue(self.log.record_reported(1.0, 7))
        self.assertFalse(self.log.record_reported(1.5, 7))
        held = self.log.record_held(2.0, 7, DeliveryChannel.DELTA)
        self.assertEqual((held.channel, held.seconds_to(Stage.HELD)), (DeliveryChannel.DELTA, 1.0))
        self.assertEqual(self.log.record_committed(2.5, 7).seconds_to(Stage.COMMITTED), 1.5)
        self.assertEqual(self.log.record_in_force(4.0, 7).seconds_to(Stage.IN_FORCE), 3.0)

    def test_a_stage_is_reached_once(self) -> None:
        self.log.record_held(2.0, 7, DeliveryChannel.SNAPSHOT)
        again = self.log.record_held(3.0, 7, DeliveryChannel.SOURCE)
        self.assertEqual(
            (again.reached_at[Stage.HELD], again.channel), (2.0, DeliveryChannel.SNAPSHOT)
        )

    def test_a_node_is_behind_from_the_first_report_until_the_revision_is_in_force(self) -> None:
        self.assertIsNone(self.log.behind_since)
        self.log.record_reported(1.0, 7)
        self.log.record_reported(2.0, 8)
        self.assertEqual(self.log.behind_since, 1.0)
        self.log.record_in_force(3.0, 7)
        self.assertEqual((self.log.behind_since, self.log.newest_reported), (2.0, 8))
        self.log.record_in_force(4.0, 8)
        self.assertIsNone(self.log.behind_since)

    def test_a_report_of_the_revision_in_force_or_older_does_not_count_as_behind(self) -> None:
        self.log.record_in_force(3.0, 8)
        self.assertFalse(self.log.record_reported(4.0, 8))
        self.assertFalse(self.log.record_reported(4.0, 5))
        self.assertIsNone(self.log.behind_since)
        self.assertEqual([item.number for item in self.log.recent()], [8])

    def test_a_node_is_not_behind_a_skipped_revision(self) -> None:
        self.log.record_reported(1.0, 7)
        self.log.record_in_force(2.0, 9)
        self.assertIsNone(self.log.behind_since)

    def test_only_the_newest_revisions_are_kept(self) -> None:
        for number in range(1, 1000):
            self.log.record_reported(float(number), number)
        kept = [item.number for item in self.log.recent()]
        self.assertEqual(kept, list(range(999, 999 - MAX_TRACKED_REVISIONS, -1)))
        self.assertEqual(self.log.behind_since, 1.0)

    def test_a_revision_older_than_all_kept_does_not_grow_the_log(self) -> None:
        for number in range(10, 10 + MAX_TRACKED_REVISIONS):
            self.log.record_reported(1.0, number)
        self.assertEqual(self.log.record_in_force(5.0, 3).number, 3)
        self.assertEqual(len(self.log.recent()), MAX_TRACKED_REVISIONS)
        self.assertEqual(self.log.behind_since, 1.0)


if __name__ == "__main__":
    unittest.main()
