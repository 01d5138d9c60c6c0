"""The line of a link whose node stops: what has begun leaves, what can't leave is had elsewhere."""

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
HELD_BACK = 4 * PART_BYTES
"""Of each body that can be had elsewhere so much may be sent before that ends."""
SOON = 60.0


class Line:
    """A line in virtual time whose readers take each part at once."""

    def __init__(self) -> None:
        self.share = LinkScheduler(MEGABITS)
        self.now = 0.0
        self.bodies: list[LongBody] = []
        self.woken = 0
        self.left_at: dict[LongBody, float] = {}

    def enter(self, size: int, rank: Rank = BULK, returnable: int = HELD_BACK) -> LongBody:
        body = self.share.enqueue(rank, size, SOON, self.wake, uncommitted_bytes=returnable)
        body.is_ready = True
        self.bodies.append(body)
        return body

    def wake(self) -> None:
        self.woken += 1

    def seconds(self, size: float) -> float:
        return size / self.share.bytes_per_second

    def send_part(self) -> LongBody | None:
        """Send the next part, as soon as it may go; tell whose it was."""
        for body in self.bodies:
            if body.handed_back or body in self.left_at:
                continue
            wait = self.share.send_delay(body, self.now)
            if wait is not None and not body.handed_back:
                self.now += wait
                self.share.note_part(body, min(PART_BYTES, body.remaining_bytes), self.now)
                body.is_ready = True
                if not body.remaining_bytes:
                    self.left_at[body] = max(self.now, self.share._free_at)
                    self.share.remove(body, self.now)
                return body
        return None

    def send_all(self) -> None:
        while self.send_part():
            pass


class EndTest(unittest.TestCase):
    def setUp(self) -> None:
        self.line = Line()
        self.share = self.line.share

    def test_what_its_own_receiver_takes_no_longer_is_given_back_too(self) -> None:
        """Found by reading, brought about here: a node stops beside another that waits for an
        answer, and ends later. The answer could leave before the end of the sender, behind what
        may not be had elsewhere, but not before that of its receiver, where it was then lost.
        """
        seconds = self.line.seconds
        self.line.enter(400_000, returnable=0)
        own = self.line.enter(100_000)
        self.share.expedite(own, RECEIVER_STOPPING, seconds(200_000), seconds(200_000), 0.0)
        self.share.stop_at(seconds(600_000), 0.0)
        self.assertTrue(own.handed_back)

    def test_what_can_not_leave_is_given_back_at_once_and_the_others_leave(self) -> None:
        bodies = [self.line.enter(100_000) for _ in range(5)]
        self.share.stop_at(self.line.seconds(250_000), 0.0)
        self.assertEqual([body.handed_back for body in bodies], [False] * 2 + [True] * 3)
        self.assertEqual(self.line.woken, 3)
        self.line.send_all()
        self.assertEqual(list(self.line.left_at), bodies[:2])

    def test_a_shorter_one_behind_has_the_time_that_a_longer_one_leaves(self) -> None:
        longer, shorter = self.line.enter(300_000), self.line.enter(90_000)
        self.share.stop_at(self.line.seconds(100_000), 0.0)
        self.assertEqual((longer.handed_back, shorter.handed_back), (True, False))

    def test_what_has_left_so_far_that_it_is_had_nowhere_else_goes_on_before_all_others(
        self,
    ) -> None:
        begun = self.line.enter(300_000)
        for _ in range(4):
            self.line.send_part()
        self.assertEqual(begun.uncommitted_bytes, 0)
        newer = self.line.enter(20_000, URGENT)
        self.share.stop_at(SOON, self.line.now)
        self.assertIs(self.line.send_part(), begun)
        self.line.send_all()
        self.assertEqual(list(self.line.left_at), [begun, newer])

    def test_what_has_begun_can_be_given_back_until_so_much_of_it_has_left(self) -> None:
        begun = self.line.enter(300_000)
        for _ in range(3):
            self.line.send_part()
        self.share.stop_at(self.line.seconds(200_000), self.line.now)
        self.assertTrue(begun.handed_back)

    def test_what_can_be_had_nowhere_else_is_not_given_back(self) -> None:
        only = self.line.enter(300_000, returnable=0)
        other = self.line.enter(20_000, URGENT)
        self.share.stop_at(self.line.seconds(100_000), 0.0)
        self.assertEqual((only.handed_back, other.handed_back), (False, True))
        self.line.send_all()
        self.assertEqual(list(self.line.left_at), [only])

    def test_what_waits_for_its_reader_takes_nobodys_time(self) -> None:
        slow = self.line.enter(300_000, returnable=0)
        self.share.note_part(slow, PART_BYTES, 0.0)
        other = self.line.enter(90_000)
        self.share.stop_at(1.0, SLOW_READER_SECONDS)
        self.assertFalse(other.handed_back)

    def test_what_can_not_leave_before_its_receiver_stops_is_given_back(self) -> None:
        first, second, other = (self.line.enter(100_000) for _ in range(3))
        ends_at = self.line.seconds(150_000)
        for body in (first, second):
            self.share.expedite(body, RECEIVER_STOPPING, ends_at, ends_at, 0.0)
        self.line.send_all()
        self.assertEqual([body.handed_back for body in self.line.bodies], [False, True, False])
        self.assertEqual(list(self.line.left_at), [first, other])
        self.assertLessEqual(self.line.left_at[first], ends_at)

    def test_what_is_given_back_leaves_the_line_once(self) -> None:
        first, second = self.line.enter(100_000), self.line.enter(100_000)
        self.share.stop_at(0.0, 0.0)
        self.assertTrue(first.handed_back and second.handed_back)
        self.assertEqual(self.share.queue_time(BULK, 0.0), 0.0)
        self.share.remove(first, 0.0)
        self.assertIsNone(self.share.send_delay(second, 0.0))

    def test_an_answer_to_come_that_could_not_leave_is_known_before_it_runs(self) -> None:
        self.share.note_answer_size("export", 100_000)
        self.line.enter(100_000, returnable=0)
        self.assertFalse(self.share.stops_before("export", BULK, 0.0, 9.0))
        self.share.stop_at(self.line.seconds(250_000), 0.0)
        cases = (("export", 0.0, False), ("export", 0.5, True), ("short", 9.0, False))
        for route, run_seconds, ends in cases:
            with self.subTest(route=route, run=run_seconds):
                self.assertIs(self.share.stops_before(route, BULK, 0.0, run_seconds), ends)
        self.line.enter(60_000, returnable=0)
        self.assertTrue(self.share.stops_before("export", BULK, 0.0, 0.0))
        self.assertFalse(self.share.stops_before("export", URGENT, 0.0, 0.0))

    @given(
        st.lists(
            st.tuples(
                st.integers(LONG_BYTES + 1, 300_000),
                st.sampled_from((URGENT, BULK)),
                st.booleans(),  # whether it enters after the stop has begun
            ),
            max_size=12,
        ),
        st.integers(0, 20),
        st.floats(0.0, 4.0),
    )
    def test_whatever_comes_nothing_is_broken_off_that_could_be_had_elsewhere(
        self, entries: list[tuple[int, Rank, bool]], sent: int, seconds: float
    ) -> None:
        line = Line()
        for size, rank, later in entries:
            if not later:
                line.enter(size, rank)
        for _ in range(sent):
            line.send_part()
        gone = set(line.left_at)  # was with the system before the stop
        begun = [body for body in line.bodies if not body.uncommitted_bytes or body in gone]
        ends_at = line.now + seconds
        line.share.stop_at(ends_at, line.now)
        for size, rank, later in entries:
            if later:
                line.enter(size, rank)
        line.send_all()
        for body in line.bodies:
            if body not in begun and not body.handed_back:
                self.assertLessEqual(line.left_at.get(body, math.inf), ends_at + 1e-6)


if __name__ == "__main__":
    unittest.main()
