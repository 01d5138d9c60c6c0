"""Admission at the node beside a back end: exact slots, order of the queue, refusals."""

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

    def test_slow_first_answers_do_not_have_what_can_be_served_refused_later(self) -> None:
        """Guards against refusals by the first answer's time alone, which weighed for long."""
        admission = Admission(2)
        for seconds in (0.24, 0.23, 0.03, 0.03, 0.02, 0.02):
            first = ticket()
            admission.submit(first, 0.0)
            admission.finish(first, seconds, answered=True)
        waiting = [ticket(objective=4.0, deadline=5.0) for _ in range(20)]
        for item in waiting:
            admission.submit(item, 3.0)
        self.assertEqual(admission.load, 20)

    def test_a_delay_of_this_node_counts_while_it_lasts_and_not_as_the_back_end_s_time(
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

    def test_an_objective_beyond_the_deadline_does_not_count(self) -> None:
        admission = busy(seconds=0.2)
        with self.assertRaises(DeadlineUnmeetableError):
            admission.submit(ticket(objective=20.0, deadline=0.1), 0.0)

    def test_a_request_that_may_be_late_waits_while_its_caller_has_time(self) -> None:
        admission = busy(seconds=0.2)
        waiting = ticket(objective=0.3, deadline=1.0)
        admission.submit(waiting, 0.0)
        self.assertFalse(waiting.granted)
        self.assertIsNone(waiting.refusal)

    def test_a_request_that_may_not_be_late_is_refused_when_it_would_be(self) -> None:
        admission = busy(seconds=0.2)
        with self.assertRaises(DeadlineUnmeetableError):
            admission.submit(
                ticket(objective=0.3, deadline=1.0, wait_policy=WaitPolicy.TRY_ANOTHER_GATEWAY), 0.0
            )

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
        admission.recheck(waiting, 0.91)
        self.assertIsInstance(waiting.refusal, DeadlineUnmeetableError)

    def test_a_request_whose_turn_has_come_too_late_is_refused_and_not_started(self) -> None:
        admission = busy(seconds=0.2)
        waiting = ticket(objective=0.3, deadline=0.35)
        waiting.submitted_at = -5.0
        admission._queue.append(waiting)
        admission.recheck(waiting, 0.16)
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


class PatienceTest(unittest.TestCase):
    """Requests whose callers may come back, beside those that have to wait."""

    def prompt(self, **changes: Any) -> Any:
        return ticket(**{"deadline": 9.0, "wait_policy": WaitPolicy.RETRY, **changes})

    def test_it_is_refused_at_once_when_its_answer_would_often_be_late(self) -> None:
        admission = busy(seconds=0.2)
        for seconds in (0.05, 0.4, 0.05, 0.4):
            other = ticket()
            admission.slots += 1
            admission.submit(other, 0.0)
            admission.finish(other, seconds, answered=True)
            admission.slots -= 1
        with self.assertRaises(DeadlineUnmeetableError):
            admission.submit(self.prompt(objective=0.6), 0.0)
        admission.submit(ticket(objective=0.6), 0.0)

    def test_it_waits_where_answers_take_the_same_time_always(self) -> None:
        admission = busy(seconds=0.2)
        waiting = self.prompt(objective=0.6)
        admission.submit(waiting, 0.0)
        self.assertIsNone(waiting.refusal)

    def test_its_wait_ends_when_its_objective_becomes_unsafe(self) -> None:
        admission = busy(seconds=0.2)
        waiting = self.prompt(objective=0.6)
        admission.submit(waiting, 0.0)
        admission.recheck(waiting, 0.39)
        self.assertIsNone(waiting.refusal)
        admission.recheck(waiting, 0.41)
        self.assertIsInstance(waiting.refusal, DeadlineUnmeetableError)

    def test_one_that_came_back_waits_behind_all_that_may_be_in_time(self) -> None:
        admission = busy(seconds=0.2)
        back = ticket(objective=1.0, deadline=3.0, wait_policy=WaitPolicy.DEFERRED)
        fresh = self.prompt(objective=1.5)
        admission.submit(back, 0.0)
        admission.submit(fresh, 0.0)
        running = ticket()
        admission._start(running, 0.0)
        admission.finish(running, 0.1, answered=True)
        admission.finish(running, 0.1, answered=True)
        self.assertEqual((back.granted, fresh.granted), (False, True))

    def test_what_yields_does_not_count_as_load(self) -> None:
        admission = busy(seconds=0.2)
        for lateness in (WaitPolicy.WAIT, WaitPolicy.DEFERRED):
            admission.submit(ticket(objective=1.0, deadline=9.0, wait_policy=lateness), 0.0)
        self.assertEqual((admission.in_flight, admission.load), (1, 2))

    def test_what_is_short_of_time_goes_before_others_of_its_rank(self) -> None:
        admission = Admission(1)
        running = ticket()
        admission.submit(running, 0.0)
        long, short = ticket(objective=1.0), ticket(objective=0.5)
        admission.submit(long, 0.0)
        admission.submit(short, 0.0)
        admission.finish(running, 0.1, answered=True)
        self.assertEqual((long.granted, short.granted), (False, True))

    def test_an_overload_that_lasts_is_taken_to_last_as_long_again(self) -> None:
        admission = busy(seconds=0.2)

        def refused(now: float) -> float:
            with self.assertRaises(DeadlineUnmeetableError) as caught:
                admission.submit(ticket(objective=now + 0.1, deadline=now + 0.3), now)
            return caught.exception.retry_after or 0.0

        told = [round(refused(now), 3) for now in (0.0, 0.5, 1.0, 1.5, 9.0)]
        self.assertEqual(told, [0.2, 0.5, 1.0, 1.5, 0.2])


class LateTest(unittest.TestCase):
    """Requests that cannot be in time any longer, beside others that keep coming."""

    def late(self) -> Any:
        return ticket(objective=0.3, deadline=3.0, wait_policy=WaitPolicy.DEFERRED)

    def press(self, admission: Admission, until: float) -> None:
        """Let requests that go first come 20 times a second, four times what one slot takes."""
        for step in range(round(until * 20)):
            admission._precedence_arrivals.note(step / 20)
            admission._last_progress_at = step / 20

    def test_it_is_refused_at_once_where_others_take_all_there_is(self) -> None:
        admission = busy(seconds=0.2)
        admission.submit(self.late(), 0.0)
        self.press(admission, until=1.0)
        with self.assertRaises(DeadlineUnmeetableError):
            admission.submit(self.late(), 1.0)

    def test_one_that_waits_is_refused_when_others_have_come_to_take_all(self) -> None:
        admission = busy(seconds=0.2)
        waiting = self.late()
        admission.submit(waiting, 0.0)
        admission.recheck(waiting, 0.1)
        self.assertIsNone(waiting.refusal)
        self.press(admission, until=1.5)
        admission.recheck(waiting, 1.5)
        self.assertIsInstance(waiting.refusal, DeadlineUnmeetableError)
        self.assertEqual(admission.load, 1)

    def test_it_is_kept_for_more_than_half_its_time_while_a_slot_may_come_free(self) -> None:
        admission = busy(seconds=0.2)
        waiting = self.late()
        admission.submit(waiting, 0.0)
        admission._last_progress_at = 1.6
        admission.recheck(waiting, 1.7)
        self.assertIsNone(waiting.refusal)
        admission.recheck(waiting, 2.9)
        self.assertIsInstance(waiting.refusal, DeadlineUnmeetableError)


class CallsWithinTest(unittest.TestCase):
    """Calls that a back end makes while it runs another request, beside callers' requests.

    Slots are taken for 0.2 s; a call wants its answer after 0.3 s and has 0.9 s.
    """

    def call(self, now: float = 0.0, rank: int = 1, **rest: Any) -> Any:
        given = {"objective": now + 0.3, "deadline": now + 0.9, "nested": True, **rest}
        return ticket(rank=rank, **given)

    def order(self, admission: Admission, *waiting: Any) -> list[int]:
        """Return in which order the waiting get the one slot, a request ending each 0.2 s."""
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

    def test_it_goes_before_requests_of_its_rank_that_came_before_it(self) -> None:
        fresh = [ticket(rank=rank, objective=0.5, deadline=4.0) for rank in (2, 1)]
        self.assertEqual(self.order(busy(), *fresh, self.call())[0], 2)

    def test_it_does_not_go_before_more_urgent_ones(self) -> None:
        urgent = [ticket(rank=0, objective=4.0, deadline=9.0) for _ in range(2)]
        self.assertEqual(self.order(busy(), self.call(), *urgent), [1, 2, 0])

    def test_its_objective_does_not_make_it_late(self) -> None:
        admission = busy()
        bulk = ticket(rank=2, objective=3.0, deadline=9.0)
        call = self.call()
        for item in (bulk, call):
            admission.submit(item, 0.0)
        self.end_one(admission, 0.35)
        self.assertEqual((call.granted, bulk.granted), (True, False))

    def test_what_its_sender_says_of_a_callers_patience_does_not_make_it_yield(self) -> None:
        for lateness in WaitPolicy:
            admission = busy()
            call = self.call(wait_policy=lateness)
            admission.submit(ticket(rank=1, objective=0.5, deadline=9.0), 0.0)
            admission.submit(call, 0.0)
            self.end_one(admission, 0.2)
            self.assertTrue(call.granted, lateness)

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

    def test_it_is_told_to_go_elsewhere_while_there_is_time_when_the_back_end_stalls(self) -> None:
        admission = busy()
        call = self.call(deadline=2.0)
        admission.submit(call, 0.0)
        admission.recheck(call, 0.59)
        self.assertIsNone(call.refusal)
        admission.recheck(call, 0.81)
        self.assertIsInstance(call.refusal, DeadlineUnmeetableError)

    def test_a_cold_back_end_that_may_begin_nothing_yet_does_not_stall(self) -> None:
        admission = busy()
        call = self.call(deadline=2.0)
        admission.submit(call, 0.0)
        admission.in_flight = 0
        admission.cold = ColdStart(1, 0.0, ColdBounds(1.0, 9.0, 1.0, 4.0))
        for _ in range(4):
            admission.cold.note_start(0.5)
        admission.recheck(call, 0.81)
        self.assertIsNone(call.refusal)

    def test_it_is_told_to_go_elsewhere_when_urgent_ones_have_taken_its_turn(self) -> None:
        admission = busy()
        call = self.call()
        admission.submit(call, 0.0)
        for _ in range(4):
            admission.submit(ticket(rank=0, objective=4.0, deadline=9.0), 0.01)
        admission.recheck(call, 0.06)
        self.assertIsInstance(call.refusal, DeadlineUnmeetableError)

    def test_urgent_requests_keep_their_place_however_many_calls_come(self) -> None:
        """Two slots take 20 requests a second; 80 calls come, and five urgent requests."""
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
            begun = [item for item in calls + urgent if item.granted and item not in running]
            running += [item for item in begun if item.started_at == now]
        self.assertEqual(sum(item.granted for item in urgent), 25)
        self.assertLessEqual(max(item.queued_seconds for item in urgent), 0.1)
        self.assertGreater(sum(item.granted for item in calls), 65)
