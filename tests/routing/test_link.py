"""Long bodies take turns on a machine's link."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from pewtertack.routing.link import (
    AHEAD_BYTES,
    BITS,
    LONG_BYTES,
    MEGA,
    PART_BYTES,
    LinkShare,
    LongBody,
)

MEGABITS = 10.0
RATE = MEGABITS * MEGA / BITS
"""Bytes per second that the link carries."""
DOWNLOAD = 90_000
URGENT, BULK = (0, 0), (2, 0)


def nobody() -> None:
    """Wake nobody."""


class Sending:
    """Sends the parts of several bodies as soon as each may, and keeps the link's line."""

    def __init__(self) -> None:
        self.share = LinkShare(MEGABITS)
        self.now = 0.0
        self.in_line = 0.0
        """Bytes that were sent and that the link has not carried yet."""
        self.longest = 0.0
        self.finished: list[LongBody] = []

    def run(self, bodies: list[LongBody]) -> None:
        for _ in range(10_000):
            going = [item for item in bodies if item not in self.finished]
            if not going:
                return
            waits = [(self.share.wait_of(item, self.now), item) for item in going]
            wait, body = next((wait, item) for wait, item in waits if wait is not None)
            self.pass_time(wait)
            self.share.note_part(body, PART_BYTES, self.now)
            self.add(PART_BYTES)
            if not body.left:
                self.share.leave(body)
                self.finished.append(body)
        self.fail()

    def fail(self) -> None:
        raise AssertionError("the bodies are never sent")

    def pass_time(self, seconds: float) -> None:
        self.now += seconds
        self.in_line = max(0.0, self.in_line - seconds * RATE)

    def add(self, size: int) -> None:
        self.in_line += size
        self.longest = max(self.longest, self.in_line)


class LineTest(unittest.TestCase):
    def test_a_short_answer_waits_for_two_parts_of_a_dozen_downloads(self) -> None:
        sending = Sending()
        bodies = [sending.share.enter(BULK, DOWNLOAD, nobody) for _ in range(12)]
        sending.run(bodies)
        self.assertLessEqual(sending.longest, AHEAD_BYTES + PART_BYTES)

    def test_downloads_fill_most_of_the_link(self) -> None:
        sending = Sending()
        bodies = [sending.share.enter(BULK, DOWNLOAD, nobody) for _ in range(12)]
        sending.run(bodies)
        self.assertLess(sending.now, 1.2 * 12 * DOWNLOAD / RATE)

    def test_they_leave_one_after_the_other_the_more_urgent_first(self) -> None:
        sending = Sending()
        first = sending.share.enter(BULK, DOWNLOAD, nobody)
        second = sending.share.enter(BULK, DOWNLOAD, nobody)
        urgent = sending.share.enter(URGENT, DOWNLOAD, nobody)
        sending.run([first, second, urgent])
        self.assertEqual(sending.finished, [urgent, first, second])

    def test_who_leaves_the_line_wakes_the_next(self) -> None:
        woken: list[str] = []
        share = LinkShare(MEGABITS)
        first = share.enter(BULK, DOWNLOAD, lambda: woken.append("first"))
        share.enter(BULK, DOWNLOAD, lambda: woken.append("second"))
        share.leave(first)
        self.assertEqual(woken, ["second"])

    def test_short_answers_slow_long_ones_down(self) -> None:
        share = LinkShare(MEGABITS)
        body = share.enter(BULK, DOWNLOAD, nobody)
        self.assertEqual(share.wait_of(body, 0.0), 0.0)
        for _ in range(100):
            share.note_sent(5000, 0.0)
        wait = share.wait_of(body, 0.0)
        assert wait is not None
        self.assertGreaterEqual(wait, (100 * 5000 - AHEAD_BYTES) / RATE)

    @given(st.lists(st.tuples(st.integers(0, 3), st.integers(1, 300_000)), max_size=12))
    def test_the_line_of_the_link_never_grows(self, wanted: list[tuple[int, int]]) -> None:
        sending = Sending()
        bodies = [sending.share.enter((rank, 0), size, nobody) for rank, size in wanted]
        sending.run(bodies)
        self.assertLessEqual(sending.longest, AHEAD_BYTES + PART_BYTES)


class AnswerTimeTest(unittest.TestCase):
    def test_a_route_of_short_answers_waits_for_no_link(self) -> None:
        share = LinkShare(MEGABITS)
        share.enter(BULK, 10_000_000, nobody)
        share.note_answer("lookup", LONG_BYTES)
        self.assertEqual(share.answer_time("lookup", BULK, 0.0), 0.0)
        self.assertEqual(share.answer_time("unknown", BULK, 0.0), 0.0)

    def test_a_route_of_long_answers_waits_for_those_that_go_first(self) -> None:
        share = LinkShare(MEGABITS)
        share.note_answer("export", DOWNLOAD)
        alone = share.answer_time("export", BULK, 0.0)
        for _ in range(9):
            share.enter(BULK, DOWNLOAD, nobody)
        self.assertAlmostEqual(share.answer_time("export", BULK, 0.0), 10 * alone)
        self.assertAlmostEqual(share.answer_time("export", URGENT, 0.0), alone)


if __name__ == "__main__":
    unittest.main()
