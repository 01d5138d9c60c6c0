"""The seed determines the series of faults; growth of resources beyond the bounds is reported."""

import itertools
import unittest

from pewtertack.lab.soak.faults import Lane, kinds_of, schedule_faults
from pewtertack.lab.soak.resources import ResourceSample, growth_problems


def scheduled(lane: Lane, seed: int, count: int = 40) -> list[tuple[str, float, str]]:
    series = itertools.islice(schedule_faults(lane, seed), count)
    return [(fault.kind.name, fault.gap_seconds, fault.seed) for fault in series]


class FaultsTest(unittest.TestCase):
    def test_seed_determines_series(self) -> None:
        for lane in Lane:
            self.assertEqual(scheduled(lane, 5), scheduled(lane, 5))
            self.assertNotEqual(scheduled(lane, 5), scheduled(lane, 6))

    def test_every_kind_has_a_description_and_is_scheduled(self) -> None:
        for lane in Lane:
            kinds = kinds_of(lane)
            self.assertTrue(all(kind.description.endswith(".") for kind in kinds))
            names = {name for name, _, _ in scheduled(lane, 1, 400)}
            self.assertEqual(names, {kind.name for kind in kinds})

    def test_both_lanes_of_nodes_begin_with_a_graceful_shutdown(self) -> None:
        for lane in (Lane.NODES, Lane.MORE_NODES):
            self.assertEqual(scheduled(lane, 3)[0][0], "stop")


class GrowthTest(unittest.TestCase):
    def problems(self, megabytes: int, descriptors: int) -> int:
        """Count the problems of a process that grows this much from sample to sample."""
        samples = [
            ResourceSample(index, index * megabytes * 1_000_000, index * descriptors)
            for index in range(30)
        ]
        return len(list(growth_problems("n", samples)))

    def test_flat_and_growing_processes(self) -> None:
        self.assertEqual([self.problems(0, 0), self.problems(9, 0), self.problems(9, 9)], [0, 1, 2])
