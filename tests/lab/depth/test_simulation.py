"""Chains of services under faults, with and without ``x-retries``."""

import unittest

from pewtertack.lab.depth.simulation import SCENARIOS, DepthResult, Policy, simulate

DEPTH = 10
SEED = 1
RETRY_LIMIT = 2
BY_NAME = {scenario.name: scenario for scenario in SCENARIOS}


def run(name: str, policy: Policy = Policy.NEAREST) -> DepthResult:
    return simulate(BY_NAME[name], policy, DEPTH, SEED)


class CallDepthTest(unittest.TestCase):
    def test_without_a_fault_nothing_is_repeated_or_lost(self) -> None:
        result = run("healthy")
        self.assertEqual((result.answered_share, result.deepest_attempts), (1.0, 1.0))

    def test_a_level_that_sheds_is_asked_again_by_its_own_node_only(self) -> None:
        marked, unmarked = run("sheds-30%"), run("sheds-30%", Policy.BUDGET)
        self.assertLessEqual(marked.deepest_attempts, 1.2)
        self.assertEqual(marked.deepest_calls, 1.0)
        self.assertLessEqual(marked.worst_request, 1 + RETRY_LIMIT)
        self.assertGreater(unmarked.deepest_attempts, 1.2)
        self.assertGreater(unmarked.worst_request, 1 + RETRY_LIMIT)

    def test_the_levels_above_an_outage_are_whole_when_it_ends(self) -> None:
        for name in ("down", "down-not-repeatable", "sheds-all"):
            with self.subTest(name):
                self.assertGreater(run(name).answered_share_after, 0.9)
                self.assertLess(run(name, Policy.BUDGET).answered_share_after, 0.9)

    def test_nobody_works_for_a_caller_that_has_gone(self) -> None:
        self.assertLess(run("slow").late_work_share, 0.01)

    def test_equal_seeds_give_equal_results(self) -> None:
        self.assertEqual(run("sheds-30%"), run("sheds-30%"))
