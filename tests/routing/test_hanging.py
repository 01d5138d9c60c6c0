"""Detection of requests on which a back end has most likely hung, from times alone."""

import unittest
from random import Random

from pewtertack.routing.admission_ticket import AdmissionTicket
from pewtertack.routing.hanging import PRIOR_HANGING_SHARE, HangDetector

MEAN_SECONDS = 0.2
DEADLINE_SECONDS = 60.0


def started(
    at: float, route: str = "lookup", deadline: float = DEADLINE_SECONDS
) -> AdmissionTicket:
    ticket = AdmissionTicket(route, (0, 0), at + 1.0, deadline)
    ticket.started_at = at
    return ticket


class Backend:
    """Requests to one back end, which hangs on some of them.

    ``work`` draws the seconds that an answer takes. A request that the detector abandons ends then.
    """

    def __init__(self, seed: int = 1) -> None:
        self.random = Random(seed)
        self.detector = HangDetector()
        self.now = 0.0
        self.running: list[tuple[AdmissionTicket, float]] = []
        self.abandoned: list[tuple[float, bool]] = []
        """Seconds that each had run, and whether it hung."""
        self.answered = 0

    def usual_seconds(self) -> float:
        return self.random.lognormvariate(-0.32, 0.8) * MEAN_SECONDS

    def seconds_with_tail(self) -> float:
        return self.usual_seconds() * (7 if self.random.random() < 0.03 else 1)

    def run(self, seconds: float, hang: float = 0.0, work: object = None) -> None:
        """Send 11 requests a second; check each every 10 ms."""
        draw = work if callable(work) else self.usual_seconds
        until = self.now + seconds
        next_at = self.now
        while self.now < until:
            if self.now >= next_at:
                ticket = started(self.now)
                self.detector.note_start(ticket)
                ends = float("inf") if self.random.random() < hang else self.now + draw()
                self.running.append((ticket, ends))
                next_at += 1 / 11
            self.end_due()
            self.now += 0.01

    def end_due(self) -> None:
        for item in tuple(self.running):
            ticket, ends = item
            if ends <= self.now:
                self.detector.note_end(ticket, self.now, answered=True)
                self.answered += 1
            elif self.detector.should_abandon(ticket, self.now):
                self.detector.note_end(ticket, self.now, answered=False)
                self.abandoned.append((self.now - ticket.started_at, ends == float("inf")))
            else:
                continue
            self.running.remove(item)


class HangDetectorTest(unittest.TestCase):
    def test_hung_requests_are_detected_in_time_with_few_false_positives(self) -> None:
        for seed in range(5):
            backend = Backend(seed)
            backend.run(20.0)
            self.assertLessEqual(len(backend.abandoned), 2)
            backend.abandoned.clear()
            backend.run(6.5, hang=0.45)
            ran = sorted(seconds for seconds, hung in backend.abandoned if hung)
            needless = sum(not hung for _, hung in backend.abandoned)
            self.assertGreater(len(ran), 15)
            self.assertLessEqual(needless, len(ran) / 4)
            self.assertLess(ran[len(ran) // 2], 5 * MEAN_SECONDS)

    def test_the_advertised_slots_follow_the_share_that_hangs(self) -> None:
        backend = Backend()
        backend.run(20.0)
        self.assertEqual(backend.detector.advertised_slots(12, backend.now), 12)
        backend.run(6.0, hang=0.45)
        self.assertIn(backend.detector.advertised_slots(12, backend.now), range(5, 10))
        backend.run(15.0)
        self.assertEqual(backend.detector.advertised_slots(12, backend.now), 12)

    def test_usual_long_answers_are_awaited(self) -> None:
        backend = Backend()
        backend.run(60.0, work=backend.seconds_with_tail)
        backend.abandoned.clear()
        before = backend.answered
        backend.run(60.0, work=backend.seconds_with_tail)
        needless = sum(not hung for _, hung in backend.abandoned)
        self.assertLessEqual(needless, 0.01 * (backend.answered - before))

    def test_few_requests_are_abandoned_at_a_back_end_that_becomes_slow(self) -> None:
        backend = Backend()
        backend.run(20.0)
        backend.abandoned.clear()
        backend.run(10.0, work=lambda: 5 * backend.usual_seconds())
        self.assertLessEqual(len(backend.abandoned), 11)

    def test_a_back_end_that_pauses_and_continues_does_not_count_as_hanging(self) -> None:
        for seed in range(5):
            backend = Backend(seed)
            backend.run(20.0)
            backend.abandoned.clear()
            resumes_at = backend.now + 10 * MEAN_SECONDS
            backend.running = [(ticket, max(ends, resumes_at)) for ticket, ends in backend.running]
            backend.run(
                10 * MEAN_SECONDS,
                work=lambda b=backend, at=resumes_at: max(b.usual_seconds(), at - b.now),
            )
            backend.run(2.0)
            self.assertEqual(backend.abandoned, [])

    def test_requests_are_abandoned_if_nothing_is_answered_any_more(self) -> None:
        backend = Backend()
        backend.run(20.0)
        backend.abandoned.clear()
        backend.run(10.0, hang=1.0)
        self.assertLess(min(seconds for seconds, _ in backend.abandoned), 20 * MEAN_SECONDS)

    def test_a_request_that_is_being_answered_does_not_hang(self) -> None:
        backend = Backend()
        backend.run(20.0)
        later = backend.now + 10 * MEAN_SECONDS
        usual_share = backend.detector.hanging_share(later)
        slow = [started(backend.now) for _ in range(3)]
        for ticket in slow:
            backend.detector.note_start(ticket)
            ticket.answering = True
        self.assertAlmostEqual(backend.detector.hanging_share(later), usual_share, places=6)
        self.assertFalse(any(backend.detector.should_abandon(ticket, later) for ticket in slow))

    def test_nothing_is_judged_before_the_first_answer(self) -> None:
        detector, ticket = HangDetector(), started(0.0)
        detector.note_start(ticket)
        self.assertIsNone(detector.first_check(ticket))
        self.assertFalse(detector.should_abandon(ticket, 50.0))
        self.assertLessEqual(detector.hanging_share(9.0), PRIOR_HANGING_SHARE)

    def test_a_request_is_not_abandoned_without_time_for_another_attempt(self) -> None:
        backend = Backend()
        backend.run(20.0)
        hung = started(backend.now, deadline=backend.now + 4.0)
        backend.detector.note_start(hung)
        backend.run(10.0)
        late = 2 * MEAN_SECONDS
        self.assertTrue(backend.detector.should_abandon(hung, hung.deadline - late))
        self.assertFalse(backend.detector.should_abandon(hung, hung.deadline - late / 4))

    def test_an_end_without_a_start_is_ignored(self) -> None:
        detector = HangDetector()
        detector.note_end(started(0.0), 1.0, answered=False)
        self.assertLessEqual(detector.hanging_share(9.0), PRIOR_HANGING_SHARE)
