"""Chains of services under faults, with and without passing on ``x-retries``."""

import unittest

from pewtertack.lab.depth.simulation import SCENARIOS, DepthResult, Policy, simulate

DEPTH = 10
SEED = 1
RETRY_LIMIT = 2
BY_NAME = {scenario.name: scenario for scenario in SCENARIOS}


def run(name: str, policy: Policy = Policy.NEAREST) -> DepthResult:
    return simulate(BY_NAME[name], policy, DEPTH, SEED)


class CallDepthTest(unittest.TestCase):
    def test_without_a_fault_there_are_no_retries_and_no_failures(self) -> None:
        result = run("healthy")
        self.assertEqual((result.answered_share, result.deepest_attempts), (1.0, 1.0))

    def test_only_the_nearest_node_retries_at_a_level_that_sheds(self) -> None:
        with_header, without_header = run("sheds-30%"), run("sheds-30%", Policy.BUDGET)
        self.assertLessEqual(with_header.deepest_attempts, 1.2)
        self.assertEqual(with_header.deepest_calls, 1.0)
        self.assertLessEqual(with_header.worst_request, 1 + RETRY_LIMIT)
        self.assertGreater(without_header.deepest_attempts, 1.2)
        self.assertGreater(without_header.worst_request, 1 + RETRY_LIMIT)

    def test_the_levels_above_recover_when_an_outage_ends(self) -> None:
        for name in ("down", "down-not-repeatable", "sheds-all"):
            with self.subTest(name):
                self.assertGreater(run(name).answered_share_after, 0.9)
                self.assertLess(run(name, Policy.BUDGET).answered_share_after, 0.9)

    def test_back_ends_stop_work_for_a_caller_that_has_left(self) -> None:
        self.assertLess(run("slow").late_work_share, 0.01)

    def test_equal_seeds_give_equal_results(self) -> None:
        self.assertEqual(run("sheds-30%"), run("sheds-30%"))
