"""Executions of the local back end, and deferral of those likely to end without result."""

import heapq
import itertools
import unittest
from collections import Counter
from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from pewtertack.routing.admission import Admission
from pewtertack.routing.admission_ticket import AdmissionTicket
from pewtertack.routing.executions import (
    MAX_RESULTS,
    MAX_ROUTES,
    MIN_CALLS_PER_EXECUTION,
    MIN_EXECUTIONS,
    RESULT_WINDOW_SECONDS,
    LocalExecutions,
    never_without_result,
)
from pewtertack.routing.outcomes import DeadlineUnmeetableError, QueueFullError
from pewtertack.routing.patience import WaitPolicy

RANK = (1, 1)
WORK_SECONDS = 0.2
CALLING_SHARE = 0.7
"""Share of the executions of ``history`` that make a call; those of ``transfer`` make none."""


class RanksTest(unittest.TestCase):
    def test_the_usual_rank_is_the_most_frequent_or_more_urgent(self) -> None:
        executions = LocalExecutions()
        self.assertIsNone(executions.usual_rank())
        for rank in ((1, 2), (1, 2), (1, 0)):
            executions.note_start("history", rank)
        self.assertEqual(executions.usual_rank(), (1, 2))
        executions.note_end("history", (1, 2), 0.2)
        self.assertEqual(executions.usual_rank(), (1, 0))

    def test_ended_executions_leave_no_state(self) -> None:
        executions = LocalExecutions()
        for rank in range(1000):
            executions.note_start("history", (1, rank))
            executions.note_end("history", (1, rank), 0.2)
        executions.note_end("history", (1, 1), 0.2)
        self.assertIsNone(executions.usual_rank())
        self.assertEqual(executions._ranks, {})


class Node:
    """A simulated back end of six slots; ``fails`` tells which of its calls fail."""

    def __init__(self, fails: Callable[[float, Random], bool], finishable: bool = True) -> None:
        self.executions = LocalExecutions()
        self.likely_without_result = (
            self.executions.likely_without_result if finishable else never_without_result
        )
        self.admission = Admission(6)
        self.results: Counter[tuple[str, str]] = Counter()
        self.deferred_at: list[float] = []
        self._fails = fails
        self._random = Random(5)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self.now = 0.0

    def play(self, seconds: float, per_second: float, transfers: float = 0.25) -> None:
        """Generate requests and run the simulation to its end."""
        at = 0.0
        while (at := at + self._random.expovariate(per_second)) < seconds:
            route = "transfer" if self._random.random() < transfers else "history"
            self._at(at, partial(self._arrive, route))
        while self._events:
            self.now, _, action = heapq.heappop(self._events)
            action()

    def _at(self, when: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._order), action))

    def _arrive(self, route: str) -> None:
        wait_policy = WaitPolicy.RETRY
        if self.likely_without_result(route, self.now):
            self.deferred_at.append(self.now)
            wait_policy = wait_policy.deferred
        ticket = AdmissionTicket(route, RANK, self.now + 0.8, self.now + 3.0, wait_policy)
        ticket.wake = lambda: self._begin(ticket)
        try:
            self.admission.submit(ticket, self.now)
        except (DeadlineUnmeetableError, QueueFullError):
            self.results[route, "refused"] += 1
            return
        if ticket.granted:
            self._begin(ticket)
        else:
            self._check(ticket)

    def _check(self, ticket: Any) -> None:
        """Check a queued request as the node does."""
        self.admission.recheck(ticket, self.now)
        if not ticket.granted and ticket.refusal is None:
            self._at(self.admission.next_check_at(ticket) + 1e-6, lambda: self._check(ticket))

    def _begin(self, ticket: Any) -> None:
        if ticket.refusal is not None:
            self.results[ticket.route, "refused"] += 1
            return
        self.executions.note_start(ticket.route, RANK)
        work = self._random.gammavariate(4, WORK_SECONDS / 4)
        calls = ticket.route == "history" and self._random.random() < CALLING_SHARE
        if calls:
            self._at(self.now + work / 2, lambda: self._call(ticket, work / 2))
        else:
            self._at(self.now + work, lambda: self._end(ticket, "served"))

    def _call(self, ticket: Any, remaining: float) -> None:
        failed = self._fails(self.now, self._random)
        self.executions.note_call("fee", self.now, failed)
        result = "bad" if failed else "served"
        self._at(self.now + (0.0 if failed else remaining), lambda: self._end(ticket, result))

    def _end(self, ticket: Any, result: str) -> None:
        self.results[ticket.route, result] += 1
        self.executions.note_end(ticket.route, RANK, self.now - ticket.started_at)
        self.admission.finish(ticket, self.now, answered=True)


def failing(share: float) -> Callable[[float, Random], bool]:
    """Let a share of calls fail."""
    return lambda now, random: random.random() < share


class DeferralTest(unittest.TestCase):
    """Six slots of 0.2 s serve 30 requests a second."""

    def test_calls_are_attributed_to_the_routes_that_make_them(self) -> None:
        node = Node(lambda now, random: False)
        node.play(40.0, per_second=25.0, transfers=0.5)
        history, transfer = (node.executions._routes[name] for name in ("history", "transfer"))
        self.assertAlmostEqual(history.calls_per_execution("fee"), CALLING_SHARE, delta=0.15)
        self.assertLess(transfer.calls_per_execution("fee"), MIN_CALLS_PER_EXECUTION)

    def served(self, node: Node) -> int:
        return sum(count for (_, result), count in node.results.items() if result == "served")

    def test_in_an_overload_deferral_serves_more_requests(self) -> None:
        for share in (0.5, 0.8, 1.0):
            served: dict[bool, int] = {}
            fails = failing(share)
            for finishable in (True, False):
                node = Node(fails, finishable)
                node.play(30.0, per_second=60.0, transfers=0.4)
                served[finishable] = self.served(node)
            self.assertGreater(served[True], 1.05 * served[False], share)

    def test_deferral_leaves_no_slot_idle(self) -> None:
        """If all requests are deferred, as many are served as without deferral."""
        served: dict[bool, int] = {}
        for finishable in (True, False):
            node = Node(lambda now, random: True, finishable)
            node.play(30.0, per_second=60.0, transfers=0.0)
            served[finishable] = self.served(node)
        self.assertGreater(served[True], 0.95 * served[False])

    def test_deferral_ends_within_a_second_of_the_recovery(self) -> None:
        node = Node(lambda now, random: 5.0 < now < 10.0)
        node.play(20.0, per_second=45.0)
        during = [at for at in node.deferred_at if 5.0 < at < 10.0]
        self.assertGreater(len(during), 50)
        self.assertLess(max(node.deferred_at), 10.0 + RESULT_WINDOW_SECONDS)

    def test_a_called_service_that_restarts_is_still_tried(self) -> None:
        """Deferred requests still run where they can, which shows that calls succeed again."""
        node = Node(lambda now, random: 5.0 < now < 6.0 or 7.0 < now < 8.0)
        node.play(20.0, per_second=25.0)
        self.assertLess(max(node.deferred_at), 8.0 + RESULT_WINDOW_SECONDS)
        self.assertGreater(self.served(node), 0.85 * 20 * 25)

    def test_a_node_that_has_just_started_defers_nothing(self) -> None:
        executions = LocalExecutions()
        for index in range(int(MIN_EXECUTIONS) - 1):
            executions.note_start("history", RANK)
            executions.note_call("fee", index * 0.01, failed=True)
            executions.note_end("history", RANK, 0.2)
        self.assertEqual(executions.failing_share("history", 0.2), 0.0)

    def test_results_older_than_a_second_defer_nothing(self) -> None:
        executions = LocalExecutions()
        for _ in range(100):
            executions.note_start("history", RANK)
            executions.note_call("fee", 0.0, failed=True)
            executions.note_end("history", RANK, 0.2)
        self.assertGreater(executions.failing_share("history", 0.9), 0.9)
        self.assertEqual(executions.failing_share("history", RESULT_WINDOW_SECONDS + 0.01), 0.0)

    @settings(max_examples=100, deadline=None)
    @given(
        st.lists(
            st.tuples(st.sampled_from("abc"), st.sampled_from("xyz"), st.floats(0, 1)), max_size=150
        )
    )
    def test_nothing_is_deferred_while_calls_succeed(
        self, events: list[tuple[str, str, float]]
    ) -> None:
        executions = LocalExecutions()
        now = 0.0
        for route, called, gap in events:
            now += gap
            executions.note_start(route, RANK)
            executions.note_call(called, now, failed=False)
            self.assertFalse(any(executions.likely_without_result(name, now) for name in "abc"))
            if gap > 0.5:
                executions.note_end(route, RANK, gap)

    def test_the_state_is_bounded(self) -> None:
        executions = LocalExecutions()
        for index in range(3 * MAX_ROUTES):
            executions.note_start(f"r{index}", RANK)
            executions.note_call(f"c{index}", 0.0, failed=True)
            executions.note_end(f"r{index}", RANK, 0.1)
        for _ in range(3 * MAX_RESULTS):
            executions.note_call("c0", 0.0, failed=True)
        self.assertLessEqual(len(executions._routes), MAX_ROUTES)
        self.assertLessEqual(len(executions._called), MAX_ROUTES)
        self.assertLessEqual(
            max(len(item.calls) for item in executions._routes.values()), MAX_ROUTES
        )
        self.assertLessEqual(len(executions._called["c0"]._results), MAX_RESULTS)


if __name__ == "__main__":
    unittest.main()
