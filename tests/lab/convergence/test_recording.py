"""Recorded stages of an edit, and the counted reader changes and failed reads."""

import unittest

from pewtertack.core.eras import TREE_NUMBERS_PER_VERSION
from pewtertack.events import Event
from pewtertack.lab.convergence.options import GridPoint
from pewtertack.lab.convergence.recording import EventRecording, PointResult, StageTimes

NAMES = [f"10.0.0.{number}" for number in range(1, 5)]
POINT = GridPoint(len(NAMES), 10, 1.0)
OLD_REVISION, NEW_REVISION = TREE_NUMBERS_PER_VERSION, 2 * TREE_NUMBERS_PER_VERSION


class RecordingTest(unittest.TestCase):
    def setUp(self) -> None:
        self.recording = EventRecording(NAMES)

    def record_event(self, node: int, event: Event, now: float, revision: int = 0) -> None:
        self.recording.record_event(NAMES[node], event.name, now, revision)

    def result(self) -> PointResult:
        return self.recording.result(POINT, False, 1, 12.0, 7)

    def test_all_nodes_serve_once_each_has_a_configuration_in_force(self) -> None:
        for node in range(4):
            self.assertFalse(self.recording.all_serving)
            self.record_event(node, Event.NODE_SERVING, 1.0)
            self.record_event(node, Event.REVISION_IN_FORCE, 1.0, OLD_REVISION)
        self.assertTrue(self.recording.all_serving)

    def test_stage_times_start_at_the_acknowledgement(self) -> None:
        self.recording.record_edit(2, 10.0)
        for node, time in enumerate((11.0, 11.5, 12.0, 14.0)):
            self.record_event(node, Event.REVISION_HELD, time, NEW_REVISION)
            self.record_event(node, Event.REVISION_IN_FORCE, time + 0.5, NEW_REVISION)
        self.assertTrue(self.recording.all_in_force)
        result = self.result()
        self.assertEqual(result.held, StageTimes(first=1.0, middle=1.5, p99=4.0, last=4.0))
        self.assertEqual(result.in_force, StageTimes(first=1.5, middle=2.0, p99=4.5, last=4.5))
        self.assertEqual(result.missing, 0)

    def test_node_without_the_edit_is_missing_and_counts_as_last(self) -> None:
        self.recording.record_edit(2, 10.0)
        for node in range(3):
            self.record_event(node, Event.REVISION_IN_FORCE, 11.0, NEW_REVISION)
        self.record_event(3, Event.REVISION_IN_FORCE, 11.0, OLD_REVISION)
        self.assertFalse(self.recording.all_in_force)
        result = self.result()
        self.assertEqual(result.in_force, StageTimes(first=1.0, middle=1.0, p99=None, last=None))
        self.assertEqual(result.missing, 1)

    def test_earlier_configuration_does_not_count_as_the_edit(self) -> None:
        self.record_event(0, Event.REVISION_IN_FORCE, 5.0, OLD_REVISION)
        self.recording.record_edit(2, 10.0)
        self.assertIsNone(self.result().in_force.first)

    def test_reader_changes_and_failures_count_only_once_counting_has_started(self) -> None:
        self.record_event(0, Event.READER_STARTED, 1.0)
        self.recording.record_event(NAMES[0], Event.SOURCE_FAILED.name, 1.0, reason="early")
        self.recording.start_counting()
        self.record_event(0, Event.READER_STOPPED, 2.0)
        self.record_event(1, Event.READER_STARTED, 2.0)
        for _ in range(2):
            self.recording.record_event(
                NAMES[1], Event.MACHINE_LIST_FAILED.name, 3.0, reason="late"
            )
        result = self.result()
        self.assertEqual(result.reader_changes, 2)
        self.assertEqual((result.failed_reads, result.failures), (2, {"late": 2}))
