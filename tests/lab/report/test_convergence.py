"""Measurement of convergence times from a small history."""

import unittest

from pewtertack.lab.history.timeline import Timeline
from pewtertack.lab.records import (
    Edit,
    HistoryLine,
    NodeKill,
    NodePause,
    NodeResume,
    NodeStart,
    RevisionInForce,
)
from pewtertack.lab.report.convergence import measure_convergence
from pewtertack.lab.report.statistics import distribution_of


def edit(time: float, revision: int, valid: bool = True) -> Edit:
    return Edit(time=time, revision=revision, digest="ab", valid=valid)


def in_force(time: float, node: str, revision: int) -> RevisionInForce:
    return RevisionInForce(
        time=time,
        number=203,
        event="REVISION_IN_FORCE",
        node=node,
        incarnation=1,
        revision=revision,
        digest="ab",
        routes={},
        services=(),
        secrets=(),
    )


def initial_lines(*nodes: str) -> list[HistoryLine]:
    lines: list[HistoryLine] = [edit(0.0, 1)]
    for node in nodes:
        lines.append(NodeStart(time=0.1, node=node, zone="yaba"))
        lines.append(in_force(1.0, node, 1))
    return lines


class ConvergenceTest(unittest.TestCase):
    def test_the_slowest_node_determines_the_time_of_the_fleet(self) -> None:
        lines = [
            *initial_lines("a", "b"),
            edit(2.0, 2),
            in_force(2.1, "a", 2),
            in_force(2.4, "b", 3),
        ]
        measured = measure_convergence(Timeline(lines))
        self.assertAlmostEqual(measured.whole_fleet.max, 0.4)
        self.assertAlmostEqual(measured.each_node.p50, 0.1)
        self.assertEqual((measured.each_node.count, measured.missing), (2, 0))

    def test_paused_and_killed_nodes_are_left_out(self) -> None:
        lines = [
            *initial_lines("a", "b", "c"),
            NodePause(time=1.5, node="a"),
            edit(2.0, 2),
            NodeKill(time=2.1, node="b"),
            in_force(2.2, "c", 2),
            NodeResume(time=9.0, node="a"),
            in_force(9.1, "a", 2),
        ]
        measured = measure_convergence(Timeline(lines))
        self.assertEqual((measured.each_node.count, measured.disturbed), (1, 2))

    def test_edits_that_are_never_in_force_are_missing(self) -> None:
        lines = [*initial_lines("a"), edit(2.0, 2), edit(3.0, 3, valid=False), edit(5.0, 4)]
        self.assertEqual(measure_convergence(Timeline(lines)).missing, 2)


class DistributionTest(unittest.TestCase):
    def test_percentiles_are_nearest_rank(self) -> None:
        distribution = distribution_of(range(1, 101))
        self.assertEqual(
            (distribution.count, distribution.p50, distribution.p99, distribution.max),
            (100, 50, 99, 100),
        )
        self.assertEqual(distribution_of([]).max, 0.0)
