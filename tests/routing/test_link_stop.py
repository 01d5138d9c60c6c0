"""The queue of a link whose node stops: started bodies are sent, others are handed back."""

import math
import unittest

from hypothesis import given
from hypothesis import strategies as st

from pewtertack.routing.link import (
    LONG_BYTES,
    PART_BYTES,
    SLOW_READER_SECONDS,
    LinkScheduler,
)
from pewtertack.routing.long_body import RECEIVER_STOPPING, LongBody, Rank

MEGABITS = 5.0
URGENT, BULK = (0, 0), (2, 0)
UNCOMMITTED_BYTES = 4 * PART_BYTES
"""Uncommitted bytes of each body that can be handed back."""
TARGET_TIME = 60.0


class SimulatedLink:
    """A simulated link whose readers read each part at once."""

    def __init__(self) -> None:
        self.scheduler = LinkScheduler(MEGABITS)
        self.now = 0.0
        self.bodies: list[LongBody] = []
        self.woken = 0
        self.sent_at: dict[LongBody, float] = {}

    def enqueue(
        self, size: int, rank: Rank = BULK, uncommitted_bytes: int = UNCOMMITTED_BYTES
    ) -> LongBody:
        body = self.scheduler.enqueue(
            rank, size, TARGET_TIME, self.wake, uncommitted_bytes=uncommitted_bytes
        )
        body.is_ready = True
        self.bodies.append(body)
        return body

    def wake(self) -> None:
        self.woken += 1

    def seconds(self, size: float) -> float:
        return size / self.scheduler.bytes_per_second

    def send_part(self) -> LongBody | None:
        """Send the next part as soon as possible; return its body."""
        for body in self.bodies:
            if body.handed_back or body in self.sent_at:
                continue
            wait = self.scheduler.send_delay(body, self.now)
            if wait is not None and not body.handed_back:
                self.now += wait
                self.scheduler.note_part(body, min(PART_BYTES, body.remaining_bytes), self.now)
                body.is_ready = True
                if not body.remaining_bytes:
                    self.sent_at[body] = max(self.now, self.scheduler._free_at)
                    self.scheduler.remove(body, self.now)
                return body
        return None

    def send_all(self) -> None:
        while self.send_part():
            pass


class StopTest(unittest.TestCase):
    def setUp(self) -> None:
        self.link = SimulatedLink()
        self.scheduler = self.link.scheduler

    def test_a_body_that_misses_its_receivers_stop_is_handed_back(self) -> None:
        """An answer for a receiver that stops before the sender must be handed back as well.

        It was kept, behind bodies that could not be handed back: it could be sent before the
        sender's end, but not before its receiver's, and was lost there.
        """
        seconds = self.link.seconds
        self.link.enqueue(400_000, uncommitted_bytes=0)
        expedited = self.link.enqueue(100_000)
        self.scheduler.expedite(
            expedited, RECEIVER_STOPPING, seconds(200_000), seconds(200_000), 0.0
        )
        self.scheduler.stop_at(seconds(600_000), 0.0)
        self.assertTrue(expedited.handed_back)

    def test_bodies_that_cannot_be_sent_are_handed_back_at_once(self) -> None:
        bodies = [self.link.enqueue(100_000) for _ in range(5)]
        self.scheduler.stop_at(self.link.seconds(250_000), 0.0)
        self.assertEqual([body.handed_back for body in bodies], [False] * 2 + [True] * 3)
        self.assertEqual(self.link.woken, 3)
        self.link.send_all()
        self.assertEqual(list(self.link.sent_at), bodies[:2])

    def test_a_shorter_body_uses_the_time_of_a_longer_one_handed_back(self) -> None:
        longer, shorter = self.link.enqueue(300_000), self.link.enqueue(90_000)
        self.scheduler.stop_at(self.link.seconds(100_000), 0.0)
        self.assertEqual((longer.handed_back, shorter.handed_back), (True, False))

    def test_a_committed_body_precedes_all_others_at_a_stop(
        self,
    ) -> None:
        started_body = self.link.enqueue(300_000)
        for _ in range(4):
            self.link.send_part()
        self.assertEqual(started_body.uncommitted_bytes, 0)
        newer = self.link.enqueue(20_000, URGENT)
        self.scheduler.stop_at(TARGET_TIME, self.link.now)
        self.assertIs(self.link.send_part(), started_body)
        self.link.send_all()
        self.assertEqual(list(self.link.sent_at), [started_body, newer])

    def test_a_started_body_can_be_handed_back_until_it_is_committed(self) -> None:
        started_body = self.link.enqueue(300_000)
        for _ in range(3):
            self.link.send_part()
        self.scheduler.stop_at(self.link.seconds(200_000), self.link.now)
        self.assertTrue(started_body.handed_back)

    def test_a_committed_body_is_not_handed_back(self) -> None:
        only = self.link.enqueue(300_000, uncommitted_bytes=0)
        other = self.link.enqueue(20_000, URGENT)
        self.scheduler.stop_at(self.link.seconds(100_000), 0.0)
        self.assertEqual((only.handed_back, other.handed_back), (False, True))
        self.link.send_all()
        self.assertEqual(list(self.link.sent_at), [only])

    def test_a_body_of_a_slow_reader_does_not_delay_others(self) -> None:
        slow = self.link.enqueue(300_000, uncommitted_bytes=0)
        self.scheduler.note_part(slow, PART_BYTES, 0.0)
        other = self.link.enqueue(90_000)
        self.scheduler.stop_at(1.0, SLOW_READER_SECONDS)
        self.assertFalse(other.handed_back)

    def test_a_body_that_cannot_be_sent_before_its_receiver_stops_is_handed_back(self) -> None:
        first, second, other = (self.link.enqueue(100_000) for _ in range(3))
        ends_at = self.link.seconds(150_000)
        for body in (first, second):
            self.scheduler.expedite(body, RECEIVER_STOPPING, ends_at, ends_at, 0.0)
        self.link.send_all()
        self.assertEqual([body.handed_back for body in self.link.bodies], [False, True, False])
        self.assertEqual(list(self.link.sent_at), [first, other])
        self.assertLessEqual(self.link.sent_at[first], ends_at)

    def test_a_body_handed_back_is_removed_once(self) -> None:
        first, second = self.link.enqueue(100_000), self.link.enqueue(100_000)
        self.scheduler.stop_at(0.0, 0.0)
        self.assertTrue(first.handed_back and second.handed_back)
        self.assertEqual(self.scheduler.queue_time(BULK, 0.0), 0.0)
        self.scheduler.remove(first, 0.0)
        self.assertIsNone(self.scheduler.send_delay(second, 0.0))

    def test_an_answer_that_could_not_be_sent_is_known_before_its_execution(self) -> None:
        self.scheduler.note_answer_size("export", 100_000)
        self.link.enqueue(100_000, uncommitted_bytes=0)
        self.assertFalse(self.scheduler.stops_before("export", BULK, 0.0, 9.0))
        self.scheduler.stop_at(self.link.seconds(250_000), 0.0)
        cases = (("export", 0.0, False), ("export", 0.5, True), ("short", 9.0, False))
        for route, execution_seconds, ends in cases:
            with self.subTest(route=route, run=execution_seconds):
                self.assertIs(
                    self.scheduler.stops_before(route, BULK, 0.0, execution_seconds), ends
                )
        self.link.enqueue(60_000, uncommitted_bytes=0)
        self.assertTrue(self.scheduler.stops_before("export", BULK, 0.0, 0.0))
        self.assertFalse(self.scheduler.stops_before("export", URGENT, 0.0, 0.0))

    @given(
        st.lists(
            st.tuples(
                st.integers(LONG_BYTES + 1, 300_000),
                st.sampled_from((URGENT, BULK)),
                st.booleans(),  # whether it is queued after the stop has begun
            ),
            max_size=12,
        ),
        st.integers(0, 20),
        st.floats(0.0, 4.0),
    )
    def test_no_uncommitted_body_is_cut_off_whatever_is_queued(
        self, entries: list[tuple[int, Rank, bool]], sent: int, seconds: float
    ) -> None:
        link = SimulatedLink()
        for size, rank, later in entries:
            if not later:
                link.enqueue(size, rank)
        for _ in range(sent):
            link.send_part()
        sent_before = set(link.sent_at)  # passed to the operating system before the stop
        started_body = [
            body for body in link.bodies if not body.uncommitted_bytes or body in sent_before
        ]
        ends_at = link.now + seconds
        link.scheduler.stop_at(ends_at, link.now)
        for size, rank, later in entries:
            if later:
                link.enqueue(size, rank)
        link.send_all()
        for body in link.bodies:
            if body not in started_body and not body.handed_back:
                self.assertLessEqual(link.sent_at.get(body, math.inf), ends_at + 1e-6)


if __name__ == "__main__":
    unittest.main()
