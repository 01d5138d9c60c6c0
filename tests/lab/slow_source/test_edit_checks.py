"""Which edits are late while the source is slow, and which nodes are judged by them."""

import unittest

from pewtertack.core.eras import TREE_NUMBERS_PER_VERSION
from pewtertack.events import Event
from pewtertack.lab.slow_source.edit_checks import (
    Acknowledged,
    Judged,
    NodeHistory,
    Slowness,
    allowed_seconds,
    judge_edits,
)

BOUND = 1.0
SLOW = [Slowness(0.0, 4.0), Slowness(20.0, 0.004), Slowness(30.0, 2.0)]
SERVING, IN_FORCE = Event.NODE_SERVING.name, Event.REVISION_IN_FORCE.name


def node_with(*in_force: tuple[float, int], serving: float = 0.0) -> NodeHistory:
    node = NodeHistory("n1")
    node.take(SERVING, serving)
    for moment, version in in_force:
        node.take(IN_FORCE, moment, version * TREE_NUMBERS_PER_VERSION)
    return node


def judged(edits: dict[int, float], *nodes: NodeHistory, ended_at: float = 100.0) -> list[Judged]:
    acknowledged = [Acknowledged(version, at) for version, at in edits.items()]
    return list(judge_edits(acknowledged, SLOW, nodes, BOUND, ended_at))


class AllowedTest(unittest.TestCase):
    def test_an_edit_waits_for_one_answer(self) -> None:
        self.assertEqual(allowed_seconds(SLOW, 10.0, BOUND), 5.0)
        self.assertEqual(allowed_seconds(SLOW, 25.0, BOUND), 1.004)
        self.assertEqual(allowed_seconds([], 25.0, BOUND), 1.0)

    def test_an_answer_that_was_begun_slowly_may_be_under_way(self) -> None:
        for edited_at, allowed in ((19.9, 5.0), (23.9, 5.0), (24.1, 1.004)):
            self.assertEqual(allowed_seconds(SLOW, edited_at, BOUND), allowed)

    def test_a_source_that_becomes_slow_before_the_edit_is_due_counts(self) -> None:
        self.assertEqual(allowed_seconds(SLOW, 29.5, BOUND), 3.0)


class JudgingTest(unittest.TestCase):
    def test_in_time_late_and_never(self) -> None:
        for moment, late in ((14.9, False), (15.1, True)):
            found = judged({2: 10.0}, node_with((1.0, 1), (moment, 2)))
            self.assertEqual([item.is_late for item in found], [late])
        never = judged({2: 10.0}, node_with((1.0, 1)))
        self.assertEqual([(item.took, item.is_late) for item in never], [(None, True)])
        self.assertIn("never", str(never[0]))

    def test_a_newer_version_counts(self) -> None:
        found = judged({2: 10.0, 3: 11.0}, node_with((1.0, 1), (13.0, 3)))
        self.assertEqual([(item.version, item.took) for item in found], [(2, 3.0), (3, 2.0)])

    def test_a_node_that_did_not_serve_throughout_is_not_judged(self) -> None:
        late_starter = node_with((11.0, 1), serving=11.0)
        stopped = node_with((1.0, 1))
        stopped.end_serving(12.0)
        self.assertEqual(judged({2: 10.0}, late_starter, stopped), [])

    def test_a_second_process_is_judged_from_its_start(self) -> None:
        node = node_with((1.0, 1))
        node.end_serving(5.0)
        node.take(SERVING, 8.0)
        self.assertEqual([item.is_late for item in judged({2: 10.0}, node)], [True])

    def test_what_was_due_after_the_end_is_not_judged(self) -> None:
        self.assertEqual(judged({2: 10.0}, node_with((1.0, 1)), ended_at=14.0), [])

    def test_the_transfer_of_the_configuration_counts(self) -> None:
        node = node_with((1.0, 1), (15.5, 2))
        for transfer, late in ((0.0, True), (0.6, False)):
            edit = Acknowledged(2, 10.0, transfer)
            found = list(judge_edits([edit], SLOW, [node], BOUND, 100.0))
            self.assertEqual([item.is_late for item in found], [late])

    def test_steps_back_are_kept(self) -> None:
        node = node_with((1.0, 2), (2.0, 1), (3.0, 2))
        self.assertEqual(len(node.steps_back), 1)
