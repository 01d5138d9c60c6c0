"""Admission at the node beside a back end: exact slots, order of the queue, refusals."""

import unittest
from typing import Any

from pewtertack.routing.admission import QUEUE_PER_SLOT, Admission, AdmissionTicket
from pewtertack.routing.outcomes import DeadlineUnmeetableError, QueueFullError


def ticket(rank: int = 0, objective: float = 1.0, deadline: float = 2.0, **rest: Any) -> Any:
    return AdmissionTicket("lookup", (1, rank), objective, deadline, **rest)


def busy(slots: int = 1, seconds: float = 0.2) -> Admission:
    """Return an admission whose requests take ``seconds`` and whose slots are all taken."""
    admission = Admission(slots)
    for _ in range(slots):
        warm = ticket()
        admission.submit(warm, 0.0)
        admission.finish(warm, seconds, answered=True)
    for _ in range(slots):
        admission.submit(ticket(), 0.0)
    return admission


class AdmissionTest(unittest.TestCase):
    def test_no_more_run_than_there_are_slots(self) -> None:
        admission = Admission(2)
        tickets = [ticket() for _ in range(5)]
        for item in tickets:
            admission.submit(item, 0.0)
        self.assertEqual([item.granted for item in tickets], [True, True, False, False, False])
        self.assertEqual((admission.in_flight, admission.load), (2, 5))

    def test_a_freed_slot_goes_to_the_smallest_rank_then_to_the_first_that_came(self) -> None:
        admission = Admission(1)
        running = ticket()
        admission.submit(running, 0.0)
        late, first, second = ticket(rank=2), ticket(rank=1), ticket(rank=1)
        for item in (late, first, second):
            admission.submit(item, 0.0)
        admission.finish(running, 0.1, answered=True)
        self.assertEqual([late.granted, first.granted, second.granted], [False, True, False])
        admission.finish(first, 0.2, answered=True)
        self.assertTrue(second.granted)

    def test_a_full_queue_lets_the_least_urgent_go_for_what_is_more_urgent(self) -> None:
        admission = busy(seconds=0.01)
        woken: list[int] = []
        waiting = [
            ticket(
                rank=3, deadline=99.0, objective=90.0, wake=lambda index=index: woken.append(index)
            )
            for index in range(QUEUE_PER_SLOT)
        ]
        for item in waiting:
            admission.submit(item, 0.0)
        urgent = ticket(rank=1, deadline=99.0, objective=90.0)
        admission.submit(urgent, 0.0)
        self.assertIsInstance(waiting[-1].refusal, QueueFullError)
        self.assertEqual(woken, [QUEUE_PER_SLOT - 1])
        self.assertEqual(admission.load, 1 + QUEUE_PER_SLOT)
        with self.assertRaises(QueueFullError):
            admission.submit(ticket(rank=3, deadline=99.0, objective=90.0), 0.0)

    def test_what_cannot_end_in_time_is_refused_at_once_with_the_time_of_its_turn(self) -> None:
        admission = busy(seconds=0.2)
        with self.assertRaises(DeadlineUnmeetableError) as refused:
            admission.submit(ticket(objective=0.1, deadline=0.3), 0.0)
        self.assertAlmostEqual(refused.exception.retry_after or 0.0, 0.2)
        self.assertEqual(admission.load, 1)

    def test_a_request_that_may_be_late_waits_while_its_caller_has_time(self) -> None:
        admission = busy(seconds=0.2)
        waiting = ticket(objective=0.3, deadline=1.0)
        admission.submit(waiting, 0.0)
        self.assertFalse(waiting.granted)
        self.assertIsNone(waiting.refusal)

    def test_a_request_that_may_not_be_late_is_refused_when_it_would_be(self) -> None:
        admission = busy(seconds=0.2)
        with self.assertRaises(DeadlineUnmeetableError):
            admission.submit(ticket(objective=0.3, deadline=1.0, may_be_late=False), 0.0)

    def test_what_can_still_be_in_time_goes_before_what_is_late_whatever_its_rank(self) -> None:
        admission = Admission(1)
        running = ticket()
        late, timely = ticket(rank=0, objective=0.25, deadline=3.0), ticket(rank=5, deadline=4.0)
        for item in (running, late, timely):
            admission.submit(item, 0.0)
        admission.finish(running, 0.3, answered=False)
        self.assertEqual((late.granted, timely.granted), (False, True))

    def test_a_waiting_request_is_given_up_while_its_caller_has_half_its_time(self) -> None:
        admission = busy(seconds=0.2)
        waiting = ticket(objective=0.4, deadline=2.0)
        admission.submit(waiting, 0.0)
        admission.expire(waiting, 0.91)
        self.assertIsInstance(waiting.refusal, DeadlineUnmeetableError)

    def test_a_request_whose_turn_has_come_too_late_is_refused_and_not_started(self) -> None:
        admission = busy(seconds=0.2)
        waiting = ticket(objective=0.3, deadline=0.35)
        waiting.submitted_at = -5.0
        admission._queue.append(waiting)
        admission.expire(waiting, 0.16)
        self.assertIsInstance(waiting.refusal, DeadlineUnmeetableError)
        self.assertEqual(admission.load, 1)

    def test_a_back_end_of_which_nothing_is_known_is_taken_to_need_a_third_of_the_objective(
        self,
    ) -> None:
        admission = Admission(1)
        running, first, second = ticket(), ticket(), ticket()
        for item in (running, first, second):
            admission.submit(item, 0.0)
        with self.assertRaises(DeadlineUnmeetableError):
            admission.submit(ticket(objective=1.0, deadline=1.2), 0.0)

    def test_a_back_end_that_answers_only_what_is_quick_is_known_to_be_slow(self) -> None:
        admission = Admission(1)
        for _ in range(20):
            quick, cut = ticket(), ticket()
            admission.submit(quick, 0.0)
            admission.finish(quick, 0.1, answered=True)
            admission.submit(cut, 1.0)
            admission.finish(cut, 2.0, answered=False)
        self.assertGreater(admission.expected_time("lookup"), 0.4)

    def test_a_request_that_was_cut_early_tells_nothing(self) -> None:
        admission = Admission(1)
        known, cut = ticket(), ticket()
        admission.submit(known, 0.0)
        admission.finish(known, 0.5, answered=True)
        admission.submit(cut, 1.0)
        admission.finish(cut, 1.01, answered=False)
        self.assertEqual(admission.expected_time("lookup"), 0.5)

    def test_the_queue_is_bounded(self) -> None:
        admission = Admission(1)
        quick = ticket()
        admission.submit(quick, 0.0)
        admission.finish(quick, 0.01, answered=True)
        with self.assertRaises(QueueFullError):
            for _ in range(1000):
                admission.submit(ticket(objective=1e6, deadline=1e6), 0.0)

    def test_a_caller_that_goes_leaves_its_place(self) -> None:
        admission = Admission(1)
        running, gone, waiting = ticket(), ticket(), ticket()
        for item in (running, gone, waiting):
            admission.submit(item, 0.0)
        admission.withdraw(gone)
        admission.finish(running, 0.1, answered=False)
        self.assertTrue(waiting.granted)
        self.assertFalse(gone.granted)
