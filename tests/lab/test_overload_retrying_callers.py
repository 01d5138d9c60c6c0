"""Callers that come back, in virtual time, and what their requests earn."""

import unittest
from random import Random

from pewtertack.lab.overload.callers import SHOPPERS, Caller
from pewtertack.lab.overload.retrying_callers import (
    RetrySimulationResult,
    RetrySimulationSettings,
    simulate_retrying_callers,
)
from pewtertack.lab.overload.virtual_backends import VirtualTime
from pewtertack.lab.overload.workload import SimulatedRequest


def run(load: float) -> RetrySimulationResult:
    return simulate_retrying_callers(
        RetrySimulationSettings(backends=3, seconds=4.0, load=load), seed=2
    )


class RefusingNode:
    """Ends each attempt after some seconds: refused, or answered from one attempt on."""

    def __init__(self, time: VirtualTime, seconds: float, answers_from: int) -> None:
        self.time = time
        self.seconds = seconds
        self.answers_from = answers_from
        self.begun: list[float] = []

    def begin(self, attempt: SimulatedRequest) -> None:
        self.begun.append(round(self.time.now, 3))
        answered = len(self.begun) >= self.answers_from
        ends = self.time.now + self.seconds
        self.time.at(ends, lambda: attempt.end(self.time.now, answered, retry_after=0.2))

    def cancel(self, attempt: SimulatedRequest) -> None:
        attempt.end(self.time.now)


def fate(seconds: float, answers_from: int) -> tuple[Caller, RefusingNode]:
    time = VirtualTime()
    node = RefusingNode(time, seconds, answers_from)
    request = SimulatedRequest(SHOPPERS[0], 0, 0.0, 0.1, SHOPPERS[0].deadline)
    caller = Caller(time, [node], request, Random(3))  # type: ignore[list-item]
    caller.begin()
    time.run()
    return caller, node


class CallerTest(unittest.TestCase):
    def test_worth_counts_from_the_first_attempt(self) -> None:
        self.assertEqual(fate(0.1, answers_from=1)[0].credit, 1.0)
        self.assertEqual(fate(0.05, answers_from=2)[0].credit, 1.0)
        self.assertEqual(fate(0.15, answers_from=2)[0].credit, 0.1)

    def test_a_caller_comes_back_twice_at_the_time_it_was_told(self) -> None:
        caller, node = fate(0.05, answers_from=9)
        self.assertEqual(node.begun, [0.0, 0.25, 0.5])
        self.assertTrue(caller.refused_again)
        self.assertAlmostEqual(caller.held_price, 0.1 / 1.825)

    def test_waiting_in_vain_costs_more_the_longer_it_lasts(self) -> None:
        prices = [fate(seconds, answers_from=9)[0].held_price for seconds in (0.01, 0.2, 0.9)]
        self.assertEqual(prices[0], 0.0)
        self.assertGreater(prices[1], 0.2)
        self.assertEqual(prices[2], 1.0)
        self.assertEqual(fate(0.5, answers_from=2)[0].held_price, 0.0)


class ReturningTest(unittest.TestCase):
    def test_below_capacity_everything_is_in_time(self) -> None:
        for name, item in run(0.6).classes.items():
            self.assertGreaterEqual(item.in_time, 0.99, name)

    def test_beyond_capacity_hardly_anything_is_held_in_vain(self) -> None:
        result = run(1.5)
        for name, item in result.classes.items():
            self.assertLessEqual(item.held, 0.03, name)
        self.assertGreaterEqual(result.earned, 0.65, result)

    def test_equal_seeds_give_equal_results(self) -> None:
        self.assertEqual(run(1.2), run(1.2))


if __name__ == "__main__":
    unittest.main()
