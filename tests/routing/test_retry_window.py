"""Retries as a share of a sliding window's requests: never exceeded, nested calls first."""

from __future__ import annotations

import unittest
from bisect import bisect_left, bisect_right
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from pewtertack.core.machines import Machine, MachineList, MachineRole
from pewtertack.routing.attempt_results import AttemptResult
from pewtertack.routing.dispatcher import Dispatcher
from pewtertack.routing.outcomes import BackendShedError
from pewtertack.routing.policies import Policies, RetryBudgetPolicy
from pewtertack.routing.queueing import Ticket
from pewtertack.routing.retries import RetryReason
from pewtertack.routing.retry_window import STEP_SHARE, RetryLimits, WindowBudget
from tests.routing.samples import route, service

LIMITS = RetryLimits(ratio=0.2, window=10.0, slack=40.0)
LONG_AGO = -100.0


def budget_of(nodes: int, since: float = LONG_AGO) -> WindowBudget:
    """Return the budget of one of ``nodes``, whose process started at ``since``."""
    budget = WindowBudget(LIMITS, since)
    budget.set_node_count(nodes, since)
    return budget


def spend(budget: WindowBudget, now: float, nested: bool = False) -> int:
    """Take all retries that are available; return their number."""
    spent = 0
    while budget.take(now, nested):
        spent += 1
    return spent


SHEDDING_REQUESTS = 1000


def count_between(times: list[float], start: float, end: float) -> int:
    """Return the number of sorted times in [start, end]."""
    return bisect_right(times, end) - bisect_left(times, start)


class WindowBudgetTest(unittest.TestCase):
    def test_the_share_and_a_part_of_the_slack_are_allowed(self) -> None:
        budget = budget_of(20)
        for _ in range(100):
            budget.note_first_attempt(0.0, 0.1)
        granted = sum(budget.take(0.1) for _ in range(100))
        self.assertEqual(granted, int(0.9 * (0.2 * 100 + 40 / 20)))

    def test_a_fleet_of_unknown_size_has_no_slack(self) -> None:
        self.assertFalse(WindowBudget(LIMITS, LONG_AGO).take(0.0))

    def test_requests_and_retries_expire_with_the_window(self) -> None:
        budget = budget_of(0)
        for _ in range(100):
            budget.note_first_attempt(0.0, 0.1)
        while budget.take(0.1):
            pass
        later = LIMITS.window * (1 + 2 * STEP_SHARE)
        self.assertEqual(budget.available(later), 0.0)
        for _ in range(100):
            budget.note_first_attempt(later, 0.1)
        self.assertTrue(budget.take(later))

    def test_retries_that_nested_calls_lacked_are_reserved_for_them(self) -> None:
        budget = budget_of(0)
        for _ in range(100):
            budget.note_first_attempt(0.0, 0.1)
        while budget.take(0.0, nested=True):
            pass
        for _ in range(10):
            budget.note_first_attempt(0.5, 0.1)
        self.assertGreaterEqual(budget.available(0.5, nested=True), 1)
        self.assertFalse(budget.take(0.5))
        self.assertTrue(budget.take(0.5, nested=True))

    def test_at_most_half_is_reserved_for_nested_calls(self) -> None:
        budget = budget_of(0)
        for _ in range(100):
            budget.note_first_attempt(0.0, 0.1)
        spend(budget, 0.0, nested=True)
        for _ in range(50):
            budget.take(0.0, nested=True)
        for _ in range(400):
            budget.note_first_attempt(0.5, 0.1)
        self.assertGreater(spend(budget, 0.5), 0)

    def test_available_excludes_what_is_reserved_for_nested_calls(self) -> None:
        budget = budget_of(0)
        for _ in range(100):
            budget.note_first_attempt(0.0, 0.1)
        spend(budget, 0.0, nested=True)
        for _ in range(10):
            budget.note_first_attempt(0.5, 0.1)
        self.assertLess(budget.available(0.5), 1)
        self.assertGreaterEqual(budget.available(0.5, nested=True), 1)

    def test_a_fleet_that_restarts_does_not_spend_the_slack_twice(self) -> None:
        nodes, spent = 10, 0
        for _ in range(nodes):
            spent += spend(budget_of(nodes), 0.0)
        for _ in range(nodes):
            fresh = budget_of(nodes, since=0.1)
            spent += sum(spend(fresh, 0.1 + step) for step in range(9))
        self.assertLessEqual(spent, 2 * LIMITS.slack * 0.9)
        self.assertEqual(spend(budget_of(nodes, since=0.1), 0.1), 0)

    def test_a_shrinking_fleet_keeps_its_former_part_for_a_window(self) -> None:
        budget = budget_of(20)
        budget.set_node_count(2, 0.0)
        self.assertEqual(spend(budget, 1.0), int(0.9 * 40 / 20))
        self.assertEqual(spend(budget, 25.0), int(0.9 * 40 / 2))

    def test_a_growing_fleet_gets_the_smaller_part_at_once(self) -> None:
        budget = budget_of(2)
        budget.set_node_count(20, 0.0)
        self.assertEqual(spend(budget, 1.0), int(0.9 * 40 / 20))

    @given(
        st.lists(
            st.tuples(st.floats(0.0, 0.4), st.sampled_from(("first", "retry", "call"))),
            max_size=300,
        ),
        st.integers(0, 30),
    )
    @settings(max_examples=200, deadline=None)
    def test_no_window_exceeds_what_operators_allow(
        self, events: list[tuple[float, str]], nodes: int
    ) -> None:
        budget = budget_of(nodes)
        now = 0.0
        firsts: list[float] = []
        retries: list[float] = []
        for gap, kind in events:
            now += gap
            if kind == "first":
                budget.note_first_attempt(now, 0.1)
                firsts.append(now)
            elif budget.take(now, nested=kind == "call"):
                retries.append(now)
        slack = LIMITS.slack / nodes if nodes else 0.0
        older = LIMITS.window * (1 + STEP_SHARE)
        for end in retries:
            held = count_between(retries, end - LIMITS.window, end)
            requests = count_between(firsts, end - older, end)
            self.assertLessEqual(held, LIMITS.ratio * requests + slack)


class DispatcherWindowTest(unittest.TestCase):
    """A service of which all back ends shed half of their requests, for one window."""

    def retried(self, policies: Policies) -> float:
        """Return the share of refused requests that were retried."""
        subject = Dispatcher(Random(1), policies=policies, retry_limits=LIMITS)
        subject.use_zone("ikeja")
        subject.use_machines(MachineList(1, tuple(_machines())), 0.0)
        retried_count = shed = 0
        for index in range(SHEDDING_REQUESTS):
            now = index * LIMITS.window / SHEDDING_REQUESTS
            ticket = Ticket(route(), service(), now + 3.0)
            subject.submit(ticket, now)
            if index % 2:
                subject.finish(ticket, now, AttemptResult.ANSWERED)
                continue
            shed += 1
            subject.finish(ticket, now, AttemptResult.SHED)
            decision = subject.decide_retry(ticket, BackendShedError("shed"), now, True)
            if decision.reason is RetryReason.NOT_RUN:
                retried_count += 1
        return retried_count / shed

    def test_more_requests_are_retried_than_by_the_share_policy(self) -> None:
        """Of shed requests 0.20 are retried under the share policy, 0.36 under the window one."""
        by_share = self.retried(Policies())
        by_window = self.retried(Policies(retry_budget=RetryBudgetPolicy.WINDOW))
        self.assertLess(by_share, 0.23)
        self.assertGreater(by_window, 0.35)


class DroppedServiceTest(unittest.TestCase):
    def test_a_service_removed_and_added_again_keeps_its_budget(self) -> None:
        subject = Dispatcher(
            Random(1),
            policies=Policies(retry_budget=RetryBudgetPolicy.WINDOW),
            retry_limits=LIMITS,
        )
        subject.use_machines(MachineList(1, tuple(_machines())), LONG_AGO)
        ticket = Ticket(route(), service(), 10.0)
        subject.submit(ticket, 0.0)
        subject.finish(ticket, 0.0, AttemptResult.SHED)
        available_retries = []
        for _ in range(2):
            while subject.decide_retry(ticket, BackendShedError("shed"), 0.1, True).ticket:
                pass
            available_retries.append(subject.available_retries(0.1)["logbook"])
            subject.keep_only((), (), 0.1)
        self.assertEqual(available_retries[0], available_retries[1])
        subject.keep_only((), (), 30.0)
        self.assertEqual(subject.available_retries(30.0), {})


def _machines() -> list[Machine]:
    nodes = [
        Machine(f"n{index}", MachineRole.NODE, "ikeja", f"10.0.0.{index}:1") for index in range(20)
    ]
    backends = [
        Machine(
            f"b{index}",
            MachineRole.BACKEND,
            "ikeja",
            f"10.0.0.{index}:2",
            "logbook",
            gateway=f"10.0.0.{index}:3",
        )
        for index in range(6)
    ]
    return [*nodes, *backends]


if __name__ == "__main__":
    unittest.main()
