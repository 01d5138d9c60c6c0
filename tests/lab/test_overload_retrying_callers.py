"""Callers that retry after refusals, and the credit that their requests earn, in virtual time."""

import unittest
from random import Random

from pewtertack.lab.overload.callers import CALLER_PROFILES, Caller
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
    """Ends each attempt after ``seconds``; the attempts before ``answers_from`` are refused."""

    def __init__(self, time: VirtualTime, seconds: float, answers_from: int) -> None:
        self.time = time
        self.seconds = seconds
        self.answers_from = answers_from
        self.attempt_times: list[float] = []

    def begin(self, attempt: SimulatedRequest) -> None:
        self.attempt_times.append(round(self.time.now, 3))
        answered = len(self.attempt_times) >= self.answers_from
        ends_at = self.time.now + self.seconds
        self.time.at(ends_at, lambda: attempt.end(self.time.now, answered, retry_after=0.2))

    def cancel(self, attempt: SimulatedRequest) -> None:
        attempt.end(self.time.now)


def run_caller(seconds: float, answers_from: int) -> tuple[Caller, RefusingNode]:
    time = VirtualTime()
    node = RefusingNode(time, seconds, answers_from)
    request = SimulatedRequest(CALLER_PROFILES[0], 0, 0.0, 0.1, CALLER_PROFILES[0].deadline)
    caller = Caller(time, [node], request, Random(3))  # type: ignore[list-item]
    caller.begin()
    time.run()
    return caller, node


class RetryingCallerTest(unittest.TestCase):
    def test_the_objective_counts_from_the_first_attempt(self) -> None:
        self.assertEqual(run_caller(0.1, answers_from=1)[0].credit, 1.0)
        self.assertEqual(run_caller(0.05, answers_from=2)[0].credit, 1.0)
        self.assertEqual(run_caller(0.15, answers_from=2)[0].credit, 0.1)

    def test_a_caller_retries_twice_after_the_advised_time(self) -> None:
        caller, node = run_caller(0.05, answers_from=9)
        self.assertEqual(node.attempt_times, [0.0, 0.25, 0.5])
        self.assertTrue(caller.refused_after_retry)
        self.assertAlmostEqual(caller.wait_penalty, 0.1 / 1.825)

    def test_waiting_without_result_costs_more_the_longer_it_lasts(self) -> None:
        penalties = [
            run_caller(seconds, answers_from=9)[0].wait_penalty for seconds in (0.01, 0.2, 0.9)
        ]
        self.assertEqual(penalties[0], 0.0)
        self.assertGreater(penalties[1], 0.2)
        self.assertEqual(penalties[2], 1.0)
        self.assertEqual(run_caller(0.5, answers_from=2)[0].wait_penalty, 0.0)


class RetryingCallersTest(unittest.TestCase):
    def test_below_capacity_nearly_all_requests_meet_their_objective(self) -> None:
        for name, item in run(0.6).classes.items():
            self.assertGreaterEqual(item.in_time, 0.99, name)

    def test_beyond_capacity_few_requests_wait_without_result(self) -> None:
        result = run(1.5)
        for name, item in result.classes.items():
            self.assertLessEqual(item.held, 0.03, name)
        self.assertGreaterEqual(result.earned, 0.65, result)

    def test_equal_seeds_give_equal_results(self) -> None:
        self.assertEqual(run(1.2), run(1.2))


if __name__ == "__main__":
    unittest.main()
