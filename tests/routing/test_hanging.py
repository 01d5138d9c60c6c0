"""Which requests a back end has most likely hung on, decided on times alone."""

import unittest
from random import Random

from pewtertack.routing.admission_ticket import AdmissionTicket
from pewtertack.routing.hanging import PRIOR_HANGING_SHARE, HangDetector

MEAN = 0.2
PATIENCE = 60.0


def started(at: float, route: str = "lookup", deadline: float = PATIENCE) -> AdmissionTicket:
    ticket = AdmissionTicket(route, (0, 0), at + 1.0, deadline)
    ticket.started_at = at
    return ticket


class Backend:
    """Requests one after the other at one back end, which hangs on some of them.

    ``work`` draws the seconds that an answer takes. A request that the watch gives up ends then.
    """

    def __init__(self, seed: int = 1) -> None:
        self.random = Random(seed)
        self.watch = HangDetector()
        self.now = 0.0
        self.running: list[tuple[AdmissionTicket, float]] = []
        self.given_up: list[tuple[float, bool]] = []
        """How long each had run, and whether it did hang."""
        self.answered = 0

    def usual(self) -> float:
        return self.random.lognormvariate(-0.32, 0.8) * MEAN

    def with_tail(self) -> float:
        return self.usual() * (7 if self.random.random() < 0.03 else 1)

    def run(self, seconds: float, hang: float = 0.0, work: object = None) -> None:
        """Offer 11 requests a second; look at each every 10 ms."""
        draw = work if callable(work) else self.usual
        until = self.now + seconds
        next_at = self.now
        while self.now < until:
            if self.now >= next_at:
                ticket = started(self.now)
                self.watch.note_start(ticket)
                ends = float("inf") if self.random.random() < hang else self.now + draw()
                self.running.append((ticket, ends))
                next_at += 1 / 11
            self.end_due()
            self.now += 0.01

    def end_due(self) -> None:
        for item in tuple(self.running):
            ticket, ends = item
            if ends <= self.now:
                self.watch.note_end(ticket, self.now, answered=True)
                self.answered += 1
            elif self.watch.should_abandon(ticket, self.now):
                self.watch.note_end(ticket, self.now, answered=False)
                self.given_up.append((self.now - ticket.started_at, ends == float("inf")))
            else:
                continue
            self.running.remove(item)


class HangWatchTest(unittest.TestCase):
    def test_a_part_that_hangs_is_found_in_time_and_hardly_anything_else(self) -> None:
        for seed in range(5):
            backend = Backend(seed)
            backend.run(20.0)
            self.assertLessEqual(len(backend.given_up), 2)
            backend.given_up.clear()
            backend.run(6.5, hang=0.45)
            ran = sorted(seconds for seconds, hung in backend.given_up if hung)
            needless = sum(not hung for _, hung in backend.given_up)
            self.assertGreater(len(ran), 15)
            self.assertLessEqual(needless, len(ran) / 4)
            self.assertLess(ran[len(ran) // 2], 5 * MEAN)

    def test_the_share_of_slots_follows_the_share_that_hangs(self) -> None:
        backend = Backend()
        backend.run(20.0)
        self.assertEqual(backend.watch.advertised_slots(12, backend.now), 12)
        backend.run(6.0, hang=0.45)
        self.assertIn(backend.watch.advertised_slots(12, backend.now), range(5, 10))
        backend.run(15.0)
        self.assertEqual(backend.watch.advertised_slots(12, backend.now), 12)

    def test_long_answers_that_are_usual_are_waited_for(self) -> None:
        backend = Backend()
        backend.run(60.0, work=backend.with_tail)
        backend.given_up.clear()
        before = backend.answered
        backend.run(60.0, work=backend.with_tail)
        needless = sum(not hung for _, hung in backend.given_up)
        self.assertLessEqual(needless, 0.01 * (backend.answered - before))

    def test_a_back_end_that_turns_slow_is_hardly_taken_to_hang(self) -> None:
        backend = Backend()
        backend.run(20.0)
        backend.given_up.clear()
        backend.run(10.0, work=lambda: 5 * backend.usual())
        self.assertLessEqual(len(backend.given_up), 11)

    def test_one_that_pauses_and_goes_on_is_not_taken_to_hang(self) -> None:
        for seed in range(5):
            backend = Backend(seed)
            backend.run(20.0)
            backend.given_up.clear()
            goes_on = backend.now + 10 * MEAN
            backend.running = [(ticket, max(ends, goes_on)) for ticket, ends in backend.running]
            backend.run(10 * MEAN, work=lambda b=backend, at=goes_on: max(b.usual(), at - b.now))
            backend.run(2.0)
            self.assertEqual(backend.given_up, [])

    def test_one_that_answers_nothing_any_longer_is_left_in_the_end(self) -> None:
        backend = Backend()
        backend.run(20.0)
        backend.given_up.clear()
        backend.run(10.0, hang=1.0)
        self.assertLess(min(seconds for seconds, _ in backend.given_up), 20 * MEAN)

    def test_one_that_is_being_answered_does_not_hang(self) -> None:
        backend = Backend()
        backend.run(20.0)
        later = backend.now + 10 * MEAN
        usual = backend.watch.hanging_share(later)
        slow = [started(backend.now) for _ in range(3)]
        for ticket in slow:
            backend.watch.note_start(ticket)
            ticket.answering = True
        self.assertAlmostEqual(backend.watch.hanging_share(later), usual, places=6)
        self.assertFalse(any(backend.watch.should_abandon(ticket, later) for ticket in slow))

    def test_nothing_is_judged_before_anything_was_answered(self) -> None:
        watch, ticket = HangDetector(), started(0.0)
        watch.note_start(ticket)
        self.assertIsNone(watch.first_check(ticket))
        self.assertFalse(watch.should_abandon(ticket, 50.0))
        self.assertLessEqual(watch.hanging_share(9.0), PRIOR_HANGING_SHARE)

    def test_a_request_is_not_left_when_no_time_is_left_elsewhere(self) -> None:
        backend = Backend()
        backend.run(20.0)
        hung = started(backend.now, deadline=backend.now + 4.0)
        backend.watch.note_start(hung)
        backend.run(10.0)
        late = 2 * MEAN
        self.assertTrue(backend.watch.should_abandon(hung, hung.deadline - late))
        self.assertFalse(backend.watch.should_abandon(hung, hung.deadline - late / 4))

    def test_an_end_that_was_never_begun_changes_nothing(self) -> None:
        watch = HangDetector()
        watch.note_end(started(0.0), 1.0, answered=False)
        self.assertLessEqual(watch.hanging_share(9.0), PRIOR_HANGING_SHARE)
