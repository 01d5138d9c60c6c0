"""Sums of resampled hop times."""

import unittest

from pewtertack.lab.depth.latency import added_latency
from pewtertack.lab.errors import LabUsageError
from pewtertack.lab.hop.measurement import HopSamples

RARELY_SLOW = HopSamples(direct=(1.0,) * 100, proxied=(2.0,) * 98 + (12.0,) * 2)


class AddedLatencyTest(unittest.TestCase):
    def test_one_hop_adds_its_own_quantiles(self) -> None:
        added = added_latency(RARELY_SLOW, 1, seed=1)
        self.assertEqual((added.p50, added.p99), (1.0, 11.0))

    def test_rare_slow_hops_of_one_call_seldom_meet(self) -> None:
        added = added_latency(RARELY_SLOW, 19, seed=1)
        self.assertEqual(added.p50, 19.0)
        self.assertEqual(added.p99, 39.0)  # two slow hops of 19
        self.assertEqual(added.p99_times_depth, 209.0)

    def test_no_samples_are_refused(self) -> None:
        with self.assertRaises(LabUsageError):
            added_latency(HopSamples((), ()), 19, seed=1)
