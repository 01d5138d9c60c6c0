"""Admission of requests to a local back end: exact slots, queue order, refusals."""

import contextlib
import unittest
from typing import Any

from pewtertack.routing.admission import QUEUE_PER_SLOT, Admission
from pewtertack.routing.admission_ticket import AdmissionTicket
from pewtertack.routing.cold import ColdBounds, ColdStart
from pewtertack.routing.outcomes import DeadlineUnmeetableError, QueueFullError
from pewtertack.routing.patience import WaitPolicy


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
    def test_requests_in_flight_do_not_exceed_the_slots(self) -> None:
        admission = Admission(2)
        tickets = [ticket() for _ in range(5)]
        for item in tickets:
            admission.submit(item, 0.0)
        self.assertEqual([item.granted for item in tickets], [True, True, False, False, False])
        self.assertEqual((admission.in_flight, admission.load), (2, 5))

    def test_a_freed_slot_goes_by_rank_then_by_arrival(self) -> None:
        admission = Admission(1)
        running = ticket()
        admission.submit(running, 0.0)
        late_ticket, first, second = ticket(rank=2), ticket(rank=1), ticket(rank=1)
        for item in (late_ticket, first, second):
            admission.submit(item, 0.0)
        admission.finish(running, 0.1, answered=True)
        self.assertEqual([late_ticket.granted, first.granted, second.granted], [False, True, False])
        admission.finish(first, 0.2, answered=True)
        self.assertTrue(second.granted)

    def test_a_full_queue_evicts_the_least_urgent_for_a_more_urgent_request(self) -> None:
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

    def test_a_hopeless_request_is_refused_at_once_with_the_expected_wait(self) -> None:
        admission = busy(seconds=0.2)
        with self.assertRaises(DeadlineUnmeetableError) as refused:
            admission.submit(ticket(objective=0.1, deadline=0.3), 0.0)
        self.assertAlmostEqual(refused.exception.retry_after or 0.0, 0.2)
        self.assertEqual(admission.load, 1)

    def test_a_request_is_not_refused_while_its_slot_comes_free_in_time(self) -> None:
        """Guards against a wait that is estimated as a whole mean time until it ends."""
        admission = busy(seconds=0.4)
        waiting = ticket(objective=0.3, deadline=1.05)
        admission.submit(waiting, 0.05)
        for step in range(1, 8):
            admission.recheck(waiting, 0.05 + 0.05 * step)
        self.assertIsNone(waiting.refusal)

    def test_slow_first_answers_do_not_cause_refusals_later(self) -> None:
        """Requests were refused because a slow first answer kept its weight for long."""
        admission = Admission(2)
        for seconds in (0.24, 0.23, 0.03, 0.03, 0.02, 0.02):
            first = ticket()
            admission.submit(first, 0.0)
            admission.finish(first, seconds, answered=True)
        waiting = [ticket(objective=4.0, deadline=5.0) for _ in range(20)]
        for item in waiting:
            admission.submit(item, 3.0)
        self.assertEqual(admission.load, 20)

    def test_a_delay_of_this_node_is_temporary_and_not_part_of_the_service_time(
        self,
    ) -> None:
        admission = Admission(1)
        for number in range(40):
            item = ticket()
            admission.submit(item, number * 0.3)
            admission.finish(item, number * 0.3 + 0.3, answered=True, delay=0.2)
        self.assertAlmostEqual(admission.expected_time("lookup"), 0.1)
        for began, refused in ((12.0, True), (16.0, False)):
            running = ticket()
            admission.submit(running, began)
            waiting = ticket(objective=began + 0.25, deadline=began + 0.35)
            with (
                self.assertRaises(DeadlineUnmeetableError) if refused else contextlib.nullcontext()
            ):
                admission.submit(waiting, began)
            admission.withdraw(waiting)
            admission.finish(running, began + 0.1, answered=True)

    def test_the_deadline_bounds_the_objective(self) -> None:
        admission = busy(seconds=0.2)
        with self.assertRaises(DeadlineUnmeetableError):
            admission.submit(ticket(objective=20.0, deadline=0.1), 0.0)

    def test_a_request_that_may_be_late_waits_while_its_caller_has_time(self) -> None:
        admission = busy(seconds=0.2)
        waiting = ticket(objective=0.3, deadline=1.0)
        admission.submit(waiting, 0.0)
        self.assertFalse(waiting.granted)
        self.assertIsNone(waiting.refusal)

    def test_a_request_that_must_not_be_late_is_refused_if_it_would_be(self) -> None:
        admission = busy(seconds=0.2)
        with self.assertRaises(DeadlineUnmeetableError):
            admission.submit(
                ticket(objective=0.3, deadline=1.0, wait_policy=WaitPolicy.TRY_ANOTHER_GATEWAY), 0.0
            )

    def test_timely_requests_precede_late_ones_of_any_rank(self) -> None:
        admission = Admission(1)
        running = ticket()
        late_ticket, timely = (
            ticket(rank=0, objective=0.25, deadline=3.0),
            ticket(rank=5, deadline=4.0),
        )
        for item in (running, late_ticket, timely):
            admission.submit(item, 0.0)
        admission.finish(running, 0.3, answered=False)
        self.assertEqual((late_ticket.granted, timely.granted), (False, True))

    def test_a_stalled_request_is_refused_while_its_caller_has_half_its_time(self) -> None:
        admission = busy(seconds=0.2)
        waiting = ticket(objective=0.4, deadline=2.0)
        admission.submit(waiting, 0.0)
        admission.recheck(waiting, 0.91)
        self.assertIsInstance(waiting.refusal, DeadlineUnmeetableError)

    def test_a_request_whose_turn_comes_too_late_is_refused_and_not_started(self) -> None:
        admission = busy(seconds=0.2)
        waiting = ticket(objective=0.3, deadline=0.35)
        waiting.submitted_at = -5.0
        admission._queue.append(waiting)
        admission.recheck(waiting, 0.16)
        self.assertIsInstance(waiting.refusal, DeadlineUnmeetableError)
        self.assertEqual(admission.load, 1)

    def test_an_unknown_back_end_is_assumed_to_need_a_third_of_the_objective(
        self,
    ) -> None:
        admission = Admission(1)
        running, first, second = ticket(), ticket(), ticket()
        for item in (running, first, second):
            admission.submit(item, 0.0)
        with self.assertRaises(DeadlineUnmeetableError):
            admission.submit(ticket(objective=1.0, deadline=1.2), 0.0)

    def test_unanswered_requests_count_in_the_mean_time(self) -> None:
        admission = Admission(1)
        for _ in range(20):
            quick, cut = ticket(), ticket()
            admission.submit(quick, 0.0)
            admission.finish(quick, 0.1, answered=True)
            admission.submit(cut, 1.0)
            admission.finish(cut, 2.0, answered=False)
        self.assertGreater(admission.expected_time("lookup"), 0.4)

    def test_a_request_cancelled_early_does_not_change_the_mean_time(self) -> None:
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

    def test_a_withdrawn_ticket_leaves_the_queue(self) -> None:
        admission = Admission(1)
        running, withdrawn, waiting = ticket(), ticket(), ticket()
        for item in (running, withdrawn, waiting):
            admission.submit(item, 0.0)
        admission.withdraw(withdrawn)
        admission.finish(running, 0.1, answered=False)
        self.assertTrue(waiting.granted)
        self.assertFalse(withdrawn.granted)


class WaitPolicyTest(unittest.TestCase):
    """Requests whose callers can retry, together with requests that have to wait."""

    def retry_ticket(self, **changes: Any) -> Any:
        return ticket(**{"deadline": 9.0, "wait_policy": WaitPolicy.RETRY, **changes})

    def test_it_is_refused_at_once_if_its_answer_would_often_be_late(self) -> None:
        admission = busy(seconds=0.2)
        for seconds in (0.05, 0.4, 0.05, 0.4):
            other = ticket()
            admission.slots += 1
            admission.submit(other, 0.0)
            admission.finish(other, seconds, answered=True)
            admission.slots -= 1
        with self.assertRaises(DeadlineUnmeetableError):
            admission.submit(self.retry_ticket(objective=0.6), 0.0)
        admission.submit(ticket(objective=0.6), 0.0)

    def test_it_waits_if_answers_always_take_the_same_time(self) -> None:
        admission = busy(seconds=0.2)
        waiting = self.retry_ticket(objective=0.6)
        admission.submit(waiting, 0.0)
        self.assertIsNone(waiting.refusal)

    def test_it_is_refused_when_its_objective_becomes_unsafe(self) -> None:
        admission = busy(seconds=0.2)
        waiting = self.retry_ticket(objective=0.6)
        admission.submit(waiting, 0.0)
        admission.recheck(waiting, 0.39)
        self.assertIsNone(waiting.refusal)
        admission.recheck(waiting, 0.41)
        self.assertIsInstance(waiting.refusal, DeadlineUnmeetableError)

    def test_a_retrying_caller_waits_behind_timely_requests(self) -> None:
        admission = busy(seconds=0.2)
        retrying = ticket(objective=1.0, deadline=3.0, wait_policy=WaitPolicy.DEFERRED)
        first_call = self.retry_ticket(objective=1.5)
        admission.submit(retrying, 0.0)
        admission.submit(first_call, 0.0)
        running = ticket()
        admission._start(running, 0.0)
        admission.finish(running, 0.1, answered=True)
        admission.finish(running, 0.1, answered=True)
        self.assertEqual((retrying.granted, first_call.granted), (False, True))

    def test_deferred_requests_do_not_count_as_load(self) -> None:
        admission = busy(seconds=0.2)
        for wait_policy in (WaitPolicy.WAIT, WaitPolicy.DEFERRED):
            admission.submit(ticket(objective=1.0, deadline=9.0, wait_policy=wait_policy), 0.0)
        self.assertEqual((admission.in_flight, admission.load), (1, 2))

    def test_a_request_short_of_time_precedes_others_of_its_rank(self) -> None:
        admission = Admission(1)
        running = ticket()
        admission.submit(running, 0.0)
        long, short = ticket(objective=1.0), ticket(objective=0.5)
        admission.submit(long, 0.0)
        admission.submit(short, 0.0)
        admission.finish(running, 0.1, answered=True)
        self.assertEqual((long.granted, short.granted), (False, True))

    def test_retry_after_grows_with_the_duration_of_an_overload(self) -> None:
        admission = busy(seconds=0.2)

        def refused(now: float) -> float:
            with self.assertRaises(DeadlineUnmeetableError) as caught:
                admission.submit(ticket(objective=now + 0.1, deadline=now + 0.3), now)
            return caught.exception.retry_after or 0.0

        pauses = [round(refused(now), 3) for now in (0.0, 0.5, 1.0, 1.5, 9.0)]
        self.assertEqual(pauses, [0.2, 0.5, 1.0, 1.5, 0.2])


class LateRequestTest(unittest.TestCase):
    """Requests that are already late, while other requests keep arriving."""

    def late_ticket(self) -> Any:
        return ticket(objective=0.3, deadline=3.0, wait_policy=WaitPolicy.DEFERRED)

    def add_timely_arrivals(self, admission: Admission, until: float) -> None:
        """Record timely arrivals at 20 a second, four times the capacity of the one slot."""
        for step in range(round(until * 20)):
            admission._precedence_arrivals.note(step / 20)
            admission._last_progress_at = step / 20

    def test_it_is_refused_at_once_if_timely_requests_take_the_whole_capacity(self) -> None:
        admission = busy(seconds=0.2)
        admission.submit(self.late_ticket(), 0.0)
        self.add_timely_arrivals(admission, until=1.0)
        with self.assertRaises(DeadlineUnmeetableError):
            admission.submit(self.late_ticket(), 1.0)

    def test_it_is_refused_while_queued_if_timely_requests_take_the_whole_capacity(self) -> None:
        admission = busy(seconds=0.2)
        waiting = self.late_ticket()
        admission.submit(waiting, 0.0)
        admission.recheck(waiting, 0.1)
        self.assertIsNone(waiting.refusal)
        self.add_timely_arrivals(admission, until=1.5)
        admission.recheck(waiting, 1.5)
        self.assertIsInstance(waiting.refusal, DeadlineUnmeetableError)
        self.assertEqual(admission.load, 1)

    def test_it_stays_queued_while_a_slot_may_become_free(self) -> None:
        admission = busy(seconds=0.2)
        waiting = self.late_ticket()
        admission.submit(waiting, 0.0)
        admission._last_progress_at = 1.6
        admission.recheck(waiting, 1.7)
        self.assertIsNone(waiting.refusal)
        admission.recheck(waiting, 2.9)
        self.assertIsInstance(waiting.refusal, DeadlineUnmeetableError)


class NestedCallTest(unittest.TestCase):
    """Nested calls together with requests of callers.

    Slots are occupied for 0.2 s; a call has an objective of 0.3 s and a deadline of 0.9 s.
    """

    def call(self, now: float = 0.0, rank: int = 1, **rest: Any) -> Any:
        given = {"objective": now + 0.3, "deadline": now + 0.9, "nested": True, **rest}
        return ticket(rank=rank, **given)

    def start_order(self, admission: Admission, *waiting: Any) -> list[int]:
        """Return the order in which tickets get the one slot, freed every 0.2 s."""
        began: list[int] = []
        for index, item in enumerate(waiting):
            item.wake = lambda index=index: began.append(index)
            admission.submit(item, 0.0)
        for step in range(1, 1 + len(waiting)):
            self.end_one(admission, step * 0.2)
        return began

    def end_one(self, admission: Admission, now: float) -> None:
        """End a request that has run for 0.2 s."""
        running = ticket()
        running.started_at = now - 0.2
        admission.finish(running, now, answered=True)

    def test_it_precedes_earlier_requests_of_its_rank(self) -> None:
        first_call = [ticket(rank=rank, objective=0.5, deadline=4.0) for rank in (2, 1)]
        self.assertEqual(self.start_order(busy(), *first_call, self.call())[0], 2)

    def test_it_does_not_precede_more_urgent_requests(self) -> None:
        urgent = [ticket(rank=0, objective=4.0, deadline=9.0) for _ in range(2)]
        self.assertEqual(self.start_order(busy(), self.call(), *urgent), [1, 2, 0])

    def test_its_objective_does_not_make_it_late(self) -> None:
        admission = busy()
        bulk = ticket(rank=2, objective=3.0, deadline=9.0)
        call = self.call()
        for item in (bulk, call):
            admission.submit(item, 0.0)
        self.end_one(admission, 0.35)
        self.assertEqual((call.granted, bulk.granted), (True, False))

    def test_no_wait_policy_defers_it(self) -> None:
        for wait_policy in WaitPolicy:
            admission = busy()
            call = self.call(wait_policy=wait_policy)
            admission.submit(ticket(rank=1, objective=0.5, deadline=9.0), 0.0)
            admission.submit(call, 0.0)
            self.end_one(admission, 0.2)
            self.assertTrue(call.granted, wait_policy)

    def test_it_is_refused_only_when_its_deadline_cannot_be_met(self) -> None:
        admission = busy()
        calls = [self.call() for _ in range(3)]
        for call in calls:
            admission.submit(call, 0.0)
        with self.assertRaises(DeadlineUnmeetableError):
            admission.submit(self.call(), 0.0)
        for step in (1, 2, 3):
            self.end_one(admission, step * 0.2)
        self.assertTrue(all(call.granted for call in calls))

    def test_it_is_refused_early_when_the_back_end_stalls(self) -> None:
        admission = busy()
        call = self.call(deadline=2.0)
        admission.submit(call, 0.0)
        admission.recheck(call, 0.59)
        self.assertIsNone(call.refusal)
        admission.recheck(call, 0.81)
        self.assertIsInstance(call.refusal, DeadlineUnmeetableError)

    def test_a_cold_back_end_at_its_rate_limit_is_not_stalled(self) -> None:
        admission = busy()
        call = self.call(deadline=2.0)
        admission.submit(call, 0.0)
        admission.in_flight = 0
        admission.cold = ColdStart(1, 0.0, ColdBounds(1.0, 9.0, 1.0, 4.0))
        for _ in range(4):
            admission.cold.note_start(0.5)
        admission.recheck(call, 0.81)
        self.assertIsNone(call.refusal)

    def test_it_is_refused_early_when_urgent_requests_have_taken_its_turn(self) -> None:
        admission = busy()
        call = self.call()
        admission.submit(call, 0.0)
        for _ in range(4):
            admission.submit(ticket(rank=0, objective=4.0, deadline=9.0), 0.01)
        admission.recheck(call, 0.06)
        self.assertIsInstance(call.refusal, DeadlineUnmeetableError)

    def test_urgent_requests_are_served_however_many_calls_arrive(self) -> None:
        """Two slots serve 20 requests a second; 80 calls and five urgent requests arrive."""
        admission = busy(slots=2, seconds=0.1)
        running = [ticket(), ticket()]
        calls: list[Any] = []
        urgent: list[Any] = []
        for step in range(400):
            now = step * 0.0125
            if step % 4 == 0 and step:
                admission.finish(running.pop(0), now, answered=True)
            calls.append(self.call(now))
            with contextlib.suppress(DeadlineUnmeetableError):
                admission.submit(calls[-1], now)
            if step % 16 == 0:
                urgent.append(ticket(rank=0, objective=now + 0.5, deadline=now + 2))
                admission.submit(urgent[-1], now)
            started = [item for item in calls + urgent if item.granted and item not in running]
            running += [item for item in started if item.started_at == now]
        self.assertEqual(sum(item.granted for item in urgent), 25)
        self.assertLessEqual(max(item.queued_seconds for item in urgent), 0.1)
        self.assertGreater(sum(item.granted for item in calls), 65)
