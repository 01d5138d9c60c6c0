"""Admission at a back end that names a limit of requests a second: order, refusals, changes."""

import unittest
from functools import partial
from typing import Any

from pewtertack.routing.admission import RECHECK_SECONDS, Admission
from pewtertack.routing.admission_ticket import AdmissionTicket
from pewtertack.routing.cold import ColdBounds, ColdStart
from pewtertack.routing.outcomes import DeadlineUnmeetableError
from pewtertack.routing.patience import WaitPolicy

SLOTS = 4
SECONDS = 0.05


def ticket(now: float, objective: float = 1.0, deadline: float = 2.0, rank: int = 0) -> Any:
    return AdmissionTicket("lookup", (1, rank), now + objective, now + deadline, WaitPolicy.WAIT)


class LimitedAdmissionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.admission = Admission(SLOTS)
        for number in range(10):
            self.run_one(number * 0.01)

    def run_one(self, now: float) -> None:
        item = ticket(now)
        self.admission.submit(item, now)
        self.admission.finish(item, now + SECONDS, answered=True)

    def name(self, rate: float | None, now: float) -> None:
        self.admission.rate_limit.note_answer(now, now, rate)
        self.admission.apply_rate_limit(now)

    def run_queue(self, items: list[Any], now: float, until: float) -> list[float]:
        """Recheck queued tickets and end granted ones as time passes; return times of starts."""
        starts: list[float] = []
        ended: set[int] = set()
        while now < until:
            for item in items:
                if not item.granted:
                    item.check_at = now
                    self.admission.recheck(item, now)
                elif id(item) not in ended:
                    starts.append(item.started_at)
                    ended.add(id(item))
                    self.admission.finish(item, now, answered=True)
            now += 0.01
        return sorted(starts)

    def test_free_slots_do_not_let_more_start_than_the_limit(self) -> None:
        self.name(2.0, 1.0)
        items = [ticket(1.0, objective=3.0, deadline=5.0) for _ in range(5)]
        for item in items:
            self.admission.submit(item, 1.0)
        starts = self.run_queue(items, 1.0, 4.0)
        self.assertEqual(len(starts), 5)
        for earlier, later in zip(starts, starts[1:], strict=False):
            self.assertGreaterEqual(later - earlier, 0.48)

    def test_what_the_limit_cannot_serve_in_time_is_refused_at_once(self) -> None:
        self.name(2.0, 1.0)
        accepted, refusals = [], []
        for _ in range(10):
            item = ticket(1.0, objective=1.2, deadline=1.5)
            try:
                self.admission.submit(item, 1.0)
                accepted.append(item)
            except DeadlineUnmeetableError as error:
                refusals.append(error)
        self.assertEqual(len(self.run_queue(accepted, 1.0, 3.0)), len(accepted))
        self.assertEqual((len(accepted), len(refusals)), (2, 8))
        self.assertGreaterEqual(refusals[0].retry_after or 0.0, 0.5)

    def test_a_more_urgent_request_is_served_in_place_of_a_less_urgent_one(self) -> None:
        self.name(1.0, 1.0)
        ordinary = ticket(1.0, objective=1.3, deadline=1.4, rank=3)
        urgent = ticket(1.0, objective=1.3, deadline=1.4, rank=1)
        self.admission.submit(ordinary, 1.0)
        self.admission.submit(urgent, 1.0)
        self.run_queue([ordinary, urgent], 1.0, 3.0)
        self.assertEqual((urgent.granted, ordinary.granted), (True, False))
        self.assertIsInstance(ordinary.refusal, DeadlineUnmeetableError)

    def test_a_falling_limit_refuses_what_it_no_longer_serves(self) -> None:
        self.name(10.0, 1.0)
        items = [ticket(1.0, objective=1.2, deadline=1.5) for _ in range(8)]
        for item in items:
            self.admission.submit(item, 1.0)
        self.name(1.0, 1.0)
        refused = [item for item in items if item.refusal is not None]
        self.assertEqual(len(refused), 7)

    def test_a_rising_limit_or_its_end_serves_waiting_requests_sooner(self) -> None:
        for rate in (100.0, None):
            with self.subTest(rate):
                self.setUp()
                self.name(1.0, 1.0)
                items = [ticket(1.0, objective=4.0, deadline=5.0) for _ in range(3)]
                rechecked: list[int] = []
                for item in items:
                    item.recheck = partial(rechecked.append, 1)
                    self.admission.submit(item, 1.0)
                self.name(rate, 1.5)
                self.assertEqual(len(rechecked), 3)
                self.assertLess(max(self.run_queue(items, 1.5, 2.0)), 1.6)

    def test_queued_requests_leave_one_by_one_after_a_suspension(self) -> None:
        self.name(2.0, 1.0)
        items = [ticket(1.0, objective=20.0, deadline=30.0) for _ in range(8)]
        for item in items:
            self.admission.submit(item, 1.0)
        starts = self.run_queue(items, 6.0, 7.9)
        self.assertLessEqual(len(starts), 4)

    def test_a_ticket_that_waits_for_a_slot_is_not_rechecked_without_pause(self) -> None:
        self.name(100.0, 1.0)
        for _ in range(SLOTS + 1):
            item = ticket(1.5)
            self.admission.submit(item, 1.5)
        self.assertFalse(item.granted)
        self.assertGreaterEqual(self.admission.next_check_at(item), 1.5 + RECHECK_SECONDS)

    def test_few_slots_are_advertised(self) -> None:
        self.name(30.0, 1.0)
        self.assertEqual(self.admission.advertised_slots(1.0), 2)
        self.name(2.0, 1.0)
        self.assertEqual(self.admission.advertised_slots(1.0), 1)
        self.name(None, 1.1)
        self.assertEqual(self.admission.advertised_slots(1.1), SLOTS)

    def test_a_back_end_that_waits_for_its_limit_is_not_taken_for_stalled(self) -> None:
        self.name(1.0, 1.0)
        late = ticket(2.9, objective=0.01, deadline=3.0)
        self.admission.submit(ticket(2.9), 2.9)
        self.admission.submit(late, 2.9)
        self.assertIsNone(late.refusal)

    def test_of_the_limits_for_cold_back_ends_and_of_its_own_the_smaller_holds(self) -> None:
        for cold_rate, own_rate in ((40.0, 3.0), (4.0, 30.0)):
            with self.subTest(cold_rate):
                cold = ColdStart(SLOTS, 0.0, ColdBounds(cold_rate, 100.0, 1.0, SLOTS))
                self.admission = Admission(SLOTS, cold)
                self.run_one(-2.0)
                self.name(own_rate, 0.0)
                items = [ticket(0.0, objective=90.0, deadline=100.0) for _ in range(60)]
                for item in items:
                    self.admission.submit(item, 0.0)
                starts = self.run_queue(items, 0.0, 4.0)
                self.assertLessEqual(len(starts), min(cold_rate, own_rate) * 4 + SLOTS)
                self.assertGreaterEqual(len(starts), min(cold_rate, own_rate) * 4 - 1)
