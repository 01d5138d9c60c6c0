"""Tests of the latency that a chain of hops adds."""

import unittest

from pewtertack.lab.depth.latency import added_latency
from pewtertack.lab.errors import LabUsageError
from pewtertack.lab.hop.measurement import HopSamples

TWO_PERCENT_SLOW = HopSamples(direct=(1.0,) * 100, proxied=(2.0,) * 98 + (12.0,) * 2)


class AddedLatencyTest(unittest.TestCase):
    def test_one_hop_adds_the_difference_of_its_quantiles(self) -> None:
        added = added_latency(TWO_PERCENT_SLOW, 1, seed=1)
        self.assertEqual((added.p50, added.p99), (1.0, 11.0))

    def test_the_p99_of_many_hops_is_below_the_sum_of_their_p99(self) -> None:
        added = added_latency(TWO_PERCENT_SLOW, 19, seed=1)
        self.assertEqual(added.p50, 19.0)
        self.assertEqual(added.p99, 39.0)  # two slow hops of 19
        self.assertEqual(added.p99_times_depth, 209.0)

    def test_empty_samples_are_refused(self) -> None:
        with self.assertRaises(LabUsageError):
            added_latency(HopSamples((), ()), 19, seed=1)
