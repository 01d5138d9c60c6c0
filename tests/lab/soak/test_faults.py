"""The seed decides which faults follow one another; growth beyond the bounds is found."""

import itertools
import unittest

from pewtertack.lab.soak.faults import Lane, draw_faults, kinds_of
from pewtertack.lab.soak.resources import ProcessUse, growth_of


def drawn(lane: Lane, seed: int, count: int = 40) -> list[tuple[str, float, str]]:
    series = itertools.islice(draw_faults(lane, seed), count)
    return [(fault.kind.name, fault.gap, fault.seed) for fault in series]


class FaultsTest(unittest.TestCase):
    def test_the_seed_decides(self) -> None:
        for lane in Lane:
            self.assertEqual(drawn(lane, 5), drawn(lane, 5))
            self.assertNotEqual(drawn(lane, 5), drawn(lane, 6))

    def test_every_kind_says_what_happens_and_is_drawn(self) -> None:
        for lane in Lane:
            kinds = kinds_of(lane)
            self.assertTrue(all(kind.description.endswith(".") for kind in kinds))
            names = {name for name, _, _ in drawn(lane, 1, 400)}
            self.assertEqual(names, {kind.name for kind in kinds})

    def test_both_lanes_of_nodes_begin_with_a_planned_stop(self) -> None:
        for lane in (Lane.NODES, Lane.MORE_NODES):
            self.assertEqual(drawn(lane, 3)[0][0], "stop")


class GrowthTest(unittest.TestCase):
    def problems(self, megabytes: int, descriptors: int) -> int:
        """Count the problems of a process that grows by so much each sample."""
        uses = [
            ProcessUse(index, index * megabytes * 1_000_000, index * descriptors)
            for index in range(30)
        ]
        return len(list(growth_of("n", uses)))

    def test_flat_and_growing_processes(self) -> None:
        self.assertEqual([self.problems(0, 0), self.problems(9, 0), self.problems(9, 9)], [0, 1, 2])
