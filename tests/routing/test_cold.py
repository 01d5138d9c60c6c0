"""The rate limit of a cold back end, whoever sends: no second exceeds what it bears."""

import random
import unittest
from typing import Any

from pewtertack.routing.admission import Admission
from pewtertack.routing.admission_ticket import AdmissionTicket
from pewtertack.routing.backend import Backend
from pewtertack.routing.choice import GatewayCriteria, choose_gateway
from pewtertack.routing.cold import WINDOW_SECONDS, ColdBounds, ColdStart
from pewtertack.routing.outcomes import DeadlineUnmeetableError
from tests.routing.samples import service

SLOTS = 7
BOUNDS = ColdBounds(rate=6.5, duration=3.0, overage=1.5, slack=8.0)
"""A published rate of 6.5 a second; operators count more than 17.75 in a second as a fault."""
FAULT_ABOVE = 17
"""Largest number of starts in a second that is no fault."""
SERVICE_SECONDS = 0.25
"""Service time of one request."""


def ticket(now: float, objective: float = 1.0, rank: int = 1) -> AdmissionTicket:
    return AdmissionTicket("lookup", (1, rank), now + objective, now + 2 * objective)


def most_in_a_window(times: list[float]) -> int:
    return max(
        (sum(begin <= time < begin + WINDOW_SECONDS for time in times) for begin in times),
        default=0,
    )


class SimulatedGateway:
    """A simulated gateway with random arrivals."""

    def __init__(self, cold: ColdStart | None, seed: int) -> None:
        self.random = random.Random(seed)
        self.admission = Admission(SLOTS, cold)
        self.starts: list[float] = []
        self.refused = 0
        """Requests refused on arrival; the other refused ones have waited first."""
        self.refused_later = 0
        self.waiting: list[AdmissionTicket] = []
        self.running: list[tuple[float, AdmissionTicket]] = []

    def play(
        self, seconds: float, per_second: float, begin: float = 0.0, step: float = 0.005
    ) -> None:
        now = begin
        while now < begin + seconds:
            self._end_due(now)
            for item in list(self.waiting):
                self.admission.recheck(item, now)
            if self.random.random() < per_second * step:
                self._arrive(now)
            self._note_granted(now)
            now += step

    def _arrive(self, now: float) -> None:
        item = ticket(now, rank=self.random.randint(0, 3))
        try:
            self.admission.submit(item, now)
        except DeadlineUnmeetableError:
            self.refused += 1
        else:
            self.waiting.append(item)

    def _end_due(self, now: float) -> None:
        for ends_at, item in list(self.running):
            if ends_at <= now:
                self.running.remove((ends_at, item))
                self.admission.finish(item, now, answered=True)

    def _note_granted(self, now: float) -> None:
        for item in list(self.waiting):
            if item.granted:
                self.starts.append(now)
                self.running.append((now + SERVICE_SECONDS * self.random.uniform(0.5, 2.0), item))
            self.refused_later += item.refusal is not None
            if item.granted or item.refusal is not None:
                self.waiting.remove(item)


class ColdStartTest(unittest.TestCase):
    def test_an_unknown_back_end_is_assumed_to_be_cold(self) -> None:
        cold = ColdStart(SLOTS, 10.0, BOUNDS)
        self.assertTrue(cold.is_cold(12.9))
        self.assertFalse(cold.is_cold(13.1))
        cold.note_remaining(10.1, 10.2, 0.0)
        self.assertFalse(cold.is_cold(10.3))

    def test_before_the_settings_are_known_it_gets_one_request_for_each_slot(self) -> None:
        cold = ColdStart(SLOTS, 0.0)
        for _ in range(SLOTS):
            self.assertTrue(cold.may_start(0.5))
            cold.note_start(0.5)
        self.assertFalse(cold.may_start(1.4))
        self.assertTrue(cold.may_start(1.6))

    def test_requests_granted_earlier_and_sent_later_stay_below_the_limit(self) -> None:
        self.assertEqual(BOUNDS.max_starts_per_second(SLOTS), 10)
        self.assertLessEqual(BOUNDS.max_starts_per_second(SLOTS) + SLOTS, FAULT_ABOVE)
        self.assertLessEqual(
            ColdBounds(6.5, 3.0, 1.5, 4.0).max_starts_per_second(SLOTS) + SLOTS, 13
        )
        self.assertEqual(ColdBounds(0.2, 3.0).max_starts_per_second(SLOTS), 1)

    def test_an_answer_to_an_outdated_query_is_ignored(self) -> None:
        cold = ColdStart(SLOTS, 0.0, BOUNDS)
        cold.note_remaining(0.0, 0.1, 0.0)
        cold.assume_cold(5.0)
        cold.note_remaining(4.9, 5.1, 0.0)
        self.assertTrue(cold.is_cold(5.2))

    def test_a_warm_back_end_is_queried_only_while_it_gets_many_requests(self) -> None:
        cold = ColdStart(SLOTS, 0.0, BOUNDS)
        self.assertTrue(cold.should_query(0.0))
        self.assertFalse(cold.should_query(0.1))
        cold.note_remaining(0.0, 0.1, 0.0)
        self.assertFalse(cold.should_query(5.0))
        for _ in range(6):
            cold.note_start(5.0)
        self.assertTrue(cold.should_query(5.1))
        self.assertFalse(cold.should_query(5.3))
        self.assertTrue(cold.should_query(5.7))

    def test_an_unanswered_query_is_not_repeated_once_it_counts_as_warm(self) -> None:
        cold = ColdStart(SLOTS, 0.0, BOUNDS)
        self.assertEqual(
            [cold.should_query(at) for at in (0.0, 1.0, 2.0, 4.0, 5.0)], [True] * 3 + [False] * 2
        )

    def test_a_service_without_a_published_rate_is_not_limited(self) -> None:
        cold = ColdStart(SLOTS, 0.0, ColdBounds(0.0, 0.0))
        for _ in range(100):
            self.assertTrue(cold.may_start(0.0))
            cold.note_start(0.0)
        self.assertFalse(cold.should_query(9.0))


class ColdAdmissionTest(unittest.TestCase):
    def test_no_second_exceeds_the_limit_on_a_thousand_schedules(self) -> None:
        worst = 0
        for seed in range(1000):
            cold = ColdStart(SLOTS, 0.0, BOUNDS)
            gateway = SimulatedGateway(cold, seed)
            gateway.play(1.5, per_second=30 + seed % 50, step=0.01)
            worst = max(worst, most_in_a_window(gateway.starts))
        self.assertEqual(worst, BOUNDS.max_starts_per_second(SLOTS))

    def test_without_the_limit_the_same_load_exceeds_it(self) -> None:
        gateway = SimulatedGateway(None, 1)
        gateway.play(3.0, per_second=45)
        self.assertGreater(most_in_a_window(gateway.starts), FAULT_ABOVE)

    def test_becoming_cold_under_full_load_counts_earlier_starts(self) -> None:
        cold = ColdStart(SLOTS, 0.0, BOUNDS)
        cold.note_remaining(0.0, 0.0, 0.0)
        gateway = SimulatedGateway(cold, 3)
        gateway.play(2.0, per_second=28)
        cold.note_remaining(2.0, 2.0, 3.0)
        before = list(gateway.starts)
        gateway.play(3.0, per_second=28, begin=2.0)
        since = [time for time in gateway.starts if time >= 2.0]
        self.assertGreater(most_in_a_window(before), BOUNDS.max_starts_per_second(SLOTS))
        self.assertLessEqual(most_in_a_window(since), BOUNDS.max_starts_per_second(SLOTS))

    def test_the_limit_is_used_fully_and_most_excess_is_refused_on_arrival(self) -> None:
        cold = ColdStart(SLOTS, 0.0, BOUNDS)
        gateway = SimulatedGateway(cold, 5)
        gateway.play(3.0, per_second=30)
        self.assertGreaterEqual(len(gateway.starts), 3 * BOUNDS.max_starts_per_second(SLOTS) - 2)
        arrived = (
            len(gateway.starts) + len(gateway.waiting) + gateway.refused + gateway.refused_later
        )
        self.assertGreater(gateway.refused + gateway.refused_later, arrived / 2)
        self.assertGreater(gateway.refused, gateway.refused_later)
        self.assertLess(len(gateway.waiting), 12)

    def test_the_most_urgent_queued_request_gets_the_next_start(self) -> None:
        admission = Admission(SLOTS, ColdStart(SLOTS, 0.0, ColdBounds(1.0, 3.0, 1.0, SLOTS)))
        first, usual, urgent = ticket(0.0), ticket(0.0, 2.0, rank=2), ticket(0.0, 2.0, rank=0)
        for item in (first, usual, urgent):
            admission.submit(item, 0.0)
        self.assertEqual([item.granted for item in (first, usual, urgent)], [True, False, False])
        admission.finish(first, 0.2, answered=True)
        self.assertFalse(urgent.granted)
        admission.recheck(usual, 1.01)
        self.assertEqual([usual.granted, urgent.granted], [False, True])

    def test_queued_requests_are_checked_though_no_request_ends(self) -> None:
        admission = Admission(SLOTS, ColdStart(SLOTS, 0.0, BOUNDS))
        tickets = [ticket(0.0, 2.0) for _ in range(BOUNDS.max_starts_per_second(SLOTS) + 1)]
        for item in tickets[:SLOTS]:
            admission.submit(item, 0.0)
        for item in tickets[SLOTS:]:
            admission.submit(item, 0.0)
        for item in tickets[:SLOTS]:
            admission.finish(item, SERVICE_SECONDS, answered=True)
        last = tickets[-1]
        self.assertFalse(last.granted)
        while not last.granted and last.check_at < 1.5:
            admission.recheck(last, last.check_at)
        self.assertLess(last.started_at, 1.1)

    def test_a_refusal_gives_the_time_until_the_next_start(self) -> None:
        admission = Admission(SLOTS, ColdStart(SLOTS, 0.0, ColdBounds(1.0, 9.0, 1.0, SLOTS)))
        admission.submit(ticket(0.0), 0.0)
        with self.assertRaises(DeadlineUnmeetableError) as refused:
            admission.submit(ticket(0.0, objective=0.4), 0.0)
        self.assertAlmostEqual(refused.exception.retry_after or 0.0, 1.0)

    def test_a_cold_back_end_advertises_few_slots(self) -> None:
        admission = Admission(SLOTS, ColdStart(SLOTS, 0.0, BOUNDS))
        warm = ticket(0.0)
        admission.submit(warm, 0.0)
        self.assertEqual(admission.advertised_slots(0.0), 1)
        admission.finish(warm, SERVICE_SECONDS, answered=True)
        self.assertEqual(admission.advertised_slots(1.0), 2)
        self.assertEqual(admission.advertised_slots(3.1), SLOTS)


class PlacementTest(unittest.TestCase):
    def backend(self, name: str) -> Any:
        backend = Backend(name, "logbook", "127.0.0.1:1", "ikeja", 0.0, gateway="127.0.0.1:2")
        backend.configure(service())
        backend.slots = SLOTS
        return backend

    def test_a_new_cold_back_end_is_not_the_first_choice_of_all_senders(self) -> None:
        warm, new = self.backend("warm"), self.backend("new")
        warm.in_flight = 4
        new.assume_cold(10.0)
        criteria = GatewayCriteria(0.2, 0.2, 1.0, frozenset())
        chosen = choose_gateway([warm, new], [], criteria, 10.05, random.Random(1))
        self.assertIs(chosen, warm)


if __name__ == "__main__":
    unittest.main()
