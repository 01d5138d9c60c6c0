"""Stages of an edit, and what is counted beside them."""

import unittest

from pewtertack.core.eras import TREE_NUMBERS_PER_VERSION
from pewtertack.events import Event
from pewtertack.lab.convergence.options import Point
from pewtertack.lab.convergence.recording import Moments, PointResult, Recording

NAMES = [f"10.0.0.{number}" for number in range(1, 5)]
POINT = Point(len(NAMES), 10, 1.0)
OLD, NEW = TREE_NUMBERS_PER_VERSION, 2 * TREE_NUMBERS_PER_VERSION


class RecordingTest(unittest.TestCase):
    def setUp(self) -> None:
        self.recording = Recording(NAMES)

    def take(self, node: int, event: Event, now: float, revision: int = 0) -> None:
        self.recording.take(NAMES[node], event.name, now, revision)

    def result(self) -> PointResult:
        return self.recording.result(POINT, False, 1, 12.0, 7)

    def test_all_serve_once_each_has_a_configuration(self) -> None:
        for node in range(4):
            self.assertFalse(self.recording.all_serve)
            self.take(node, Event.NODE_SERVING, 1.0)
            self.take(node, Event.REVISION_IN_FORCE, 1.0, OLD)
        self.assertTrue(self.recording.all_serve)

    def test_stages_count_from_the_acknowledgement(self) -> None:
        self.recording.edited(2, 10.0)
        for node, at in enumerate((11.0, 11.5, 12.0, 14.0)):
            self.take(node, Event.REVISION_HELD, at, NEW)
            self.take(node, Event.REVISION_IN_FORCE, at + 0.5, NEW)
        self.assertTrue(self.recording.all_in_force)
        result = self.result()
        self.assertEqual(result.held, Moments(first=1.0, middle=1.5, p99=4.0, last=4.0))
        self.assertEqual(result.in_force, Moments(first=1.5, middle=2.0, p99=4.5, last=4.5))
        self.assertEqual(result.missing, 0)

    def test_a_node_that_never_has_it_is_missing_and_last(self) -> None:
        self.recording.edited(2, 10.0)
        for node in range(3):
            self.take(node, Event.REVISION_IN_FORCE, 11.0, NEW)
        self.take(3, Event.REVISION_IN_FORCE, 11.0, OLD)
        self.assertFalse(self.recording.all_in_force)
        result = self.result()
        self.assertEqual(result.in_force, Moments(first=1.0, middle=1.0, p99=None, last=None))
        self.assertEqual(result.missing, 1)

    def test_an_earlier_configuration_is_not_the_edit(self) -> None:
        self.take(0, Event.REVISION_IN_FORCE, 5.0, OLD)
        self.recording.edited(2, 10.0)
        self.assertIsNone(self.result().in_force.first)

    def test_readers_and_failures_count_while_watched(self) -> None:
        self.take(0, Event.READER_STARTED, 1.0)
        self.recording.take(NAMES[0], Event.SOURCE_FAILED.name, 1.0, reason="early")
        self.recording.watch()
        self.take(0, Event.READER_STOPPED, 2.0)
        self.take(1, Event.READER_STARTED, 2.0)
        for _ in range(2):
            self.recording.take(NAMES[1], Event.MACHINE_LIST_FAILED.name, 3.0, reason="late")
        result = self.result()
        self.assertEqual(result.reader_changes, 2)
        self.assertEqual((result.failed_reads, result.failures), (2, {"late": 2}))
