"""What the back end beside a node runs, and which requests are not begun in vain."""

import heapq
import itertools
import unittest
from collections import Counter
from collections.abc import Callable
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
"""Of the runs of ``history``; those of ``transfer`` call nothing."""


class RanksTest(unittest.TestCase):
    def test_the_rank_of_most_runs_counts_the_more_urgent_of_equals(self) -> None:
        runs = LocalExecutions()
        self.assertIsNone(runs.usual_rank())
        for rank in ((1, 2), (1, 2), (1, 0)):
            runs.note_start("history", rank)
        self.assertEqual(runs.usual_rank(), (1, 2))
        runs.note_end("history", (1, 2), 0.2)
        self.assertEqual(runs.usual_rank(), (1, 0))

    def test_what_has_ended_leaves_nothing_behind(self) -> None:
        runs = LocalExecutions()
        for rank in range(1000):
            runs.note_start("history", (1, rank))
            runs.note_end("history", (1, rank), 0.2)
        runs.note_end("history", (1, 1), 0.2)
        self.assertIsNone(runs.usual_rank())
        self.assertEqual(runs._ranks, {})


class Node:
    """One back end of six slots in virtual time; ``fails`` tells which of its runs' calls fail."""

    def __init__(self, fails: Callable[[float, Random], bool], finishable: bool = True) -> None:
        self.runs = LocalExecutions()
        self.in_vain = self.runs.likely_without_result if finishable else never_without_result
        self.admission = Admission(6)
        self.fates: Counter[tuple[str, str]] = Counter()
        self.yielded_at: list[float] = []
        self._fails = fails
        self._random = Random(5)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self.now = 0.0

    def play(self, seconds: float, per_second: float, transfers: float = 0.25) -> None:
        """Let requests come and see them to their ends."""
        at = 0.0
        while (at := at + self._random.expovariate(per_second)) < seconds:
            route = "transfer" if self._random.random() < transfers else "history"
            self._at(at, lambda route=route: self._arrive(route))
        while self._events:
            self.now, _, happen = heapq.heappop(self._events)
            happen()

    def _at(self, when: float, happen: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._order), happen))

    def _arrive(self, route: str) -> None:
        lateness = WaitPolicy.RETRY
        if self.in_vain(route, self.now):
            self.yielded_at.append(self.now)
            lateness = lateness.deferred
        ticket = AdmissionTicket(route, RANK, self.now + 0.8, self.now + 3.0, lateness)
        ticket.wake = lambda: self._begin(ticket)
        try:
            self.admission.submit(ticket, self.now)
        except (DeadlineUnmeetableError, QueueFullError):
            self.fates[route, "refused"] += 1
            return
        if ticket.granted:
            self._begin(ticket)
        else:
            self._look(ticket)

    def _look(self, ticket: Any) -> None:
        """Look at a waiting request as the node does."""
        self.admission.recheck(ticket, self.now)
        if not ticket.granted and ticket.refusal is None:
            self._at(self.admission.next_check_at(ticket) + 1e-6, lambda: self._look(ticket))

    def _begin(self, ticket: Any) -> None:
        if ticket.refusal is not None:
            self.fates[ticket.route, "refused"] += 1
            return
        self.runs.note_start(ticket.route, RANK)
        work = self._random.gammavariate(4, WORK_SECONDS / 4)
        calls = ticket.route == "history" and self._random.random() < CALLING_SHARE
        if calls:
            self._at(self.now + work / 2, lambda: self._call(ticket, work / 2))
        else:
            self._at(self.now + work, lambda: self._end(ticket, "served"))

    def _call(self, ticket: Any, left: float) -> None:
        failed = self._fails(self.now, self._random)
        self.runs.note_call("fee", self.now, failed)
        fate = "bad" if failed else "served"
        self._at(self.now + (0.0 if failed else left), lambda: self._end(ticket, fate))

    def _end(self, ticket: Any, fate: str) -> None:
        self.fates[ticket.route, fate] += 1
        self.runs.note_end(ticket.route, RANK, self.now - ticket.started_at)
        self.admission.finish(ticket, self.now, answered=True)


def failing(share: float) -> Callable[[float, Random], bool]:
    """Let a share of calls fail."""
    return lambda now, random: random.random() < share


class InVainTest(unittest.TestCase):
    """Six slots of 0.2 s take 30 requests a second."""

    def test_calls_are_tied_to_the_routes_whose_runs_make_them(self) -> None:
        node = Node(lambda now, random: False)
        node.play(40.0, per_second=25.0, transfers=0.5)
        history, transfer = (node.runs._routes[name] for name in ("history", "transfer"))
        self.assertAlmostEqual(history.calls_per_execution("fee"), CALLING_SHARE, delta=0.15)
        self.assertLess(transfer.calls_per_execution("fee"), MIN_CALLS_PER_EXECUTION)

    def served(self, node: Node) -> int:
        return sum(count for (_, fate), count in node.fates.items() if fate == "served")

    def test_in_an_overload_more_are_served_when_others_go_before_runs_in_vain(self) -> None:
        for share in (0.5, 0.8, 1.0):
            served: dict[bool, int] = {}
            fails = failing(share)
            for finishable in (True, False):
                node = Node(fails, finishable)
                node.play(30.0, per_second=60.0, transfers=0.4)
                served[finishable] = self.served(node)
            self.assertGreater(served[True], 1.05 * served[False], share)

    def test_no_slot_stands_idle_for_it(self) -> None:
        """Where what is in vain takes all there is, as many are served as without."""
        served: dict[bool, int] = {}
        for finishable in (True, False):
            node = Node(lambda now, random: True, finishable)
            node.play(30.0, per_second=60.0, transfers=0.0)
            served[finishable] = self.served(node)
        self.assertGreater(served[True], 0.95 * served[False])

    def test_all_are_equal_again_within_a_second_of_the_recovery(self) -> None:
        node = Node(lambda now, random: 5.0 < now < 10.0)
        node.play(20.0, per_second=45.0)
        during = [at for at in node.yielded_at if 5.0 < at < 10.0]
        self.assertGreater(len(during), 50)
        self.assertLess(max(node.yielded_at), 10.0 + RESULT_WINDOW_SECONDS)

    def test_a_call_service_that_restarts_is_tried_while_it_is_away(self) -> None:
        """What yields finds out that calls get through again, since it runs where it can."""
        node = Node(lambda now, random: 5.0 < now < 6.0 or 7.0 < now < 8.0)
        node.play(20.0, per_second=25.0)
        self.assertLess(max(node.yielded_at), 8.0 + RESULT_WINDOW_SECONDS)
        self.assertGreater(self.served(node), 0.85 * 20 * 25)

    def test_a_node_that_has_just_started_lets_nobody_go_first(self) -> None:
        runs = LocalExecutions()
        for index in range(int(MIN_EXECUTIONS) - 1):
            runs.note_start("history", RANK)
            runs.note_call("fee", index * 0.01, failed=True)
            runs.note_end("history", RANK, 0.2)
        self.assertEqual(runs.failing_share("history", 0.2), 0.0)

    def test_nobody_yields_by_a_picture_that_is_older_than_a_second(self) -> None:
        runs = LocalExecutions()
        for _ in range(100):
            runs.note_start("history", RANK)
            runs.note_call("fee", 0.0, failed=True)
            runs.note_end("history", RANK, 0.2)
        self.assertGreater(runs.failing_share("history", 0.9), 0.9)
        self.assertEqual(runs.failing_share("history", RESULT_WINDOW_SECONDS + 0.01), 0.0)

    @settings(max_examples=100, deadline=None)
    @given(
        st.lists(
            st.tuples(st.sampled_from("abc"), st.sampled_from("xyz"), st.floats(0, 1)), max_size=150
        )
    )
    def test_nobody_yields_while_calls_succeed(
        self, happened: list[tuple[str, str, float]]
    ) -> None:
        runs = LocalExecutions()
        now = 0.0
        for route, called, gap in happened:
            now += gap
            runs.note_start(route, RANK)
            runs.note_call(called, now, failed=False)
            self.assertFalse(any(runs.likely_without_result(name, now) for name in "abc"))
            if gap > 0.5:
                runs.note_end(route, RANK, gap)

    def test_what_is_kept_is_bounded(self) -> None:
        runs = LocalExecutions()
        for index in range(3 * MAX_ROUTES):
            runs.note_start(f"r{index}", RANK)
            runs.note_call(f"c{index}", 0.0, failed=True)
            runs.note_end(f"r{index}", RANK, 0.1)
        for _ in range(3 * MAX_RESULTS):
            runs.note_call("c0", 0.0, failed=True)
        self.assertLessEqual(len(runs._routes), MAX_ROUTES)
        self.assertLessEqual(len(runs._called), MAX_ROUTES)
        self.assertLessEqual(max(len(item.calls) for item in runs._routes.values()), MAX_ROUTES)
        self.assertLessEqual(len(runs._called["c0"]._results), MAX_RESULTS)


if __name__ == "__main__":
    unittest.main()
