"""The request path at twice its capacity, compared with round robin, in virtual time."""

import unittest

from pewtertack.core.configuration.resolved import WorkClass
from pewtertack.lab.overload.simulation import Comparison, OverloadSettings, compare, simulate


class OverloadTest(unittest.TestCase):
    result: Comparison

    @classmethod
    def setUpClass(cls) -> None:
        cls.result = compare(OverloadSettings(nodes=8, seconds=5.0), load=2.0, seed=1)

    def test_goodput_stays_near_capacity(self) -> None:
        self.assertGreaterEqual(self.result.dispatcher.goodput, 0.9)

    def test_urgent_latency_is_at_most_twice_the_unloaded_one(self) -> None:
        self.assertLessEqual(self.result.urgent_ratio, 2.0)
        self.assertGreaterEqual(
            self.result.dispatcher.classes[WorkClass.URGENT].answered_share, 0.99
        )

    def test_no_class_starves(self) -> None:
        for outcome in self.result.dispatcher.classes.values():
            self.assertGreater(outcome.answered_share, 0.02)

    def test_retries_add_little_load_while_the_baseline_more_than_doubles_it(self) -> None:
        self.assertLessEqual(self.result.dispatcher.extra_attempts, 0.1)
        self.assertGreater(self.result.round_robin.extra_attempts, 1.0)

    def test_the_baseline_answers_less_than_60_percent_of_urgent_requests(self) -> None:
        self.assertLess(self.result.round_robin.classes[WorkClass.URGENT].answered_share, 0.6)

    def test_equal_seeds_give_equal_results(self) -> None:
        settings = OverloadSettings(nodes=2, seconds=0.5)
        first, second = (simulate(settings, 2.0, 7, baseline=False) for _ in range(2))
        self.assertEqual(first, second)
