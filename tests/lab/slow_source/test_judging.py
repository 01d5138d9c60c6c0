"""Which edits are late while the source is slow, and which nodes are checked for them."""

import unittest

from pewtertack.core.eras import TREE_NUMBERS_PER_VERSION
from pewtertack.events import Event
from pewtertack.lab.slow_source.judging import (
    AcknowledgedEdit,
    EditVerdict,
    NodeHistory,
    SourceDelay,
    check_edits,
    time_limit,
)

BOUND = 1.0
DELAYS = [SourceDelay(0.0, 4.0), SourceDelay(20.0, 0.004), SourceDelay(30.0, 2.0)]
SERVING, IN_FORCE = Event.NODE_SERVING.name, Event.REVISION_IN_FORCE.name


def node_history(*in_force: tuple[float, int], serving: float = 0.0) -> NodeHistory:
    node = NodeHistory("n1")
    node.record_event(SERVING, serving)
    for time, version in in_force:
        node.record_event(IN_FORCE, time, version * TREE_NUMBERS_PER_VERSION)
    return node


def verdicts_on(
    edits: dict[int, float], *nodes: NodeHistory, ended_at: float = 100.0
) -> list[EditVerdict]:
    acknowledged = [AcknowledgedEdit(version, at) for version, at in edits.items()]
    return list(check_edits(acknowledged, DELAYS, nodes, BOUND, ended_at))


class TimeLimitTest(unittest.TestCase):
    def test_the_limit_includes_one_response(self) -> None:
        self.assertEqual(time_limit(DELAYS, 10.0, BOUND), 5.0)
        self.assertEqual(time_limit(DELAYS, 25.0, BOUND), 1.004)
        self.assertEqual(time_limit([], 25.0, BOUND), 1.0)

    def test_the_limit_includes_a_slow_response_in_progress(self) -> None:
        for edited_at, limit_seconds in ((19.9, 5.0), (23.9, 5.0), (24.1, 1.004)):
            self.assertEqual(time_limit(DELAYS, edited_at, BOUND), limit_seconds)

    def test_the_limit_includes_a_slowdown_before_the_edit_is_due(self) -> None:
        self.assertEqual(time_limit(DELAYS, 29.5, BOUND), 3.0)


class EditCheckTest(unittest.TestCase):
    def test_edits_are_in_time_late_or_never_in_force(self) -> None:
        for time, is_late in ((14.9, False), (15.1, True)):
            verdicts = verdicts_on({2: 10.0}, node_history((1.0, 1), (time, 2)))
            self.assertEqual([item.is_late for item in verdicts], [is_late])
        never_in_force = verdicts_on({2: 10.0}, node_history((1.0, 1)))
        self.assertEqual(
            [(item.elapsed_seconds, item.is_late) for item in never_in_force], [(None, True)]
        )
        self.assertIn("never", str(never_in_force[0]))

    def test_a_newer_version_in_force_is_enough(self) -> None:
        verdicts = verdicts_on({2: 10.0, 3: 11.0}, node_history((1.0, 1), (13.0, 3)))
        self.assertEqual(
            [(item.version, item.elapsed_seconds) for item in verdicts], [(2, 3.0), (3, 2.0)]
        )

    def test_a_node_that_did_not_serve_throughout_is_not_checked(self) -> None:
        late_starter = node_history((11.0, 1), serving=11.0)
        stopped = node_history((1.0, 1))
        stopped.end_serving(12.0)
        self.assertEqual(verdicts_on({2: 10.0}, late_starter, stopped), [])

    def test_a_second_process_is_checked_from_its_start(self) -> None:
        node = node_history((1.0, 1))
        node.end_serving(5.0)
        node.record_event(SERVING, 8.0)
        self.assertEqual([item.is_late for item in verdicts_on({2: 10.0}, node)], [True])

    def test_edits_due_after_the_end_are_not_checked(self) -> None:
        self.assertEqual(verdicts_on({2: 10.0}, node_history((1.0, 1)), ended_at=14.0), [])

    def test_the_limit_includes_the_transfer_of_the_configuration(self) -> None:
        node = node_history((1.0, 1), (15.5, 2))
        for transfer, is_late in ((0.0, True), (0.6, False)):
            edit = AcknowledgedEdit(2, 10.0, transfer)
            verdicts = list(check_edits([edit], DELAYS, [node], BOUND, 100.0))
            self.assertEqual([item.is_late for item in verdicts], [is_late])

    def test_reversions_are_recorded(self) -> None:
        node = node_history((1.0, 2), (2.0, 1), (3.0, 2))
        self.assertEqual(len(node.reversions), 1)
