"""Long bodies take turns on a machine's link."""

import math
import unittest

from hypothesis import given
from hypothesis import strategies as st

from pewtertack.routing.link import (
    BITS_PER_BYTE,
    BITS_PER_MEGABIT,
    LINK_SHARE,
    LONG_BYTES,
    PART_BYTES,
    SEND_AHEAD_BYTES,
    LinkScheduler,
)
from pewtertack.routing.long_body import RECEIVER_STOPPING, LongBody

MEGABITS = 10.0
RATE = MEGABITS * BITS_PER_MEGABIT / BITS_PER_BYTE
"""Bytes per second that the link carries."""
DOWNLOAD = 90_000
URGENT, BULK = (0, 0), (2, 0)
SOON = 60.0
"""Until when bodies are wanted that are not late."""


def nobody() -> None:
    """Wake nobody."""


class Sending:
    """Sends the parts of several bodies as soon as each may, and keeps the link's line."""

    def __init__(self) -> None:
        self.share = LinkScheduler(MEGABITS)
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
            for item in going:
                self.share.send_delay(item, self.now)
            waits = [(self.share.send_delay(item, self.now), item) for item in going]
            wait, body = next((wait, item) for wait, item in waits if wait is not None)
            self.pass_time(wait)
            self.share.note_part(body, PART_BYTES, self.now)
            self.add(PART_BYTES)
            if not body.remaining_bytes:
                self.share.remove(body, self.now)
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
        bodies = [sending.share.enqueue(BULK, DOWNLOAD, SOON, nobody) for _ in range(12)]
        sending.run(bodies)
        self.assertLessEqual(sending.longest, SEND_AHEAD_BYTES + PART_BYTES)

    def test_downloads_fill_most_of_the_link(self) -> None:
        sending = Sending()
        bodies = [sending.share.enqueue(BULK, DOWNLOAD, SOON, nobody) for _ in range(12)]
        sending.run(bodies)
        parts = math.ceil(DOWNLOAD / PART_BYTES)
        self.assertLessEqual(sending.now, 12 * parts * PART_BYTES / (LINK_SHARE * RATE))

    def test_they_leave_one_after_the_other_the_more_urgent_first(self) -> None:
        sending = Sending()
        first = sending.share.enqueue(BULK, DOWNLOAD, SOON, nobody)
        second = sending.share.enqueue(BULK, DOWNLOAD, SOON, nobody)
        urgent = sending.share.enqueue(URGENT, DOWNLOAD, SOON, nobody)
        sending.run([first, second, urgent])
        self.assertEqual(sending.finished, [urgent, first, second])

    def test_what_is_late_lets_go_first_what_can_be_in_time(self) -> None:
        sending = Sending()
        late = sending.share.enqueue(BULK, DOWNLOAD, 0.01, nobody)
        later = sending.share.enqueue(BULK, DOWNLOAD, 50.0, nobody)
        sooner = sending.share.enqueue(BULK, DOWNLOAD, 40.0, nobody)
        sending.run([late, later, sooner])
        self.assertEqual(sending.finished, [sooner, later, late])

    def test_what_has_begun_goes_on_though_it_turns_late(self) -> None:
        share = LinkScheduler(MEGABITS)
        begun = share.enqueue(BULK, DOWNLOAD, 0.08, nobody)
        self.assertEqual(share.send_delay(begun, 0.0), 0.0)
        share.note_part(begun, PART_BYTES, 0.0)
        self.assertIsNotNone(share.send_delay(begun, 1.0))
        other = share.enqueue(BULK, DOWNLOAD, SOON, nobody)
        self.assertIsNone(share.send_delay(other, 1.0))
        urgent = share.enqueue(URGENT, DOWNLOAD, SOON, nobody)
        self.assertIsNotNone(share.send_delay(urgent, 1.0))
        self.assertIsNone(share.send_delay(begun, 1.0))

    def test_one_whose_reader_is_slow_holds_nobody_up(self) -> None:
        woken: list[str] = []
        share = LinkScheduler(MEGABITS)
        slow = share.enqueue(URGENT, DOWNLOAD, SOON, nobody)
        other = share.enqueue(BULK, DOWNLOAD, SOON, lambda: woken.append("other"))
        self.assertEqual(share.send_delay(slow, 0.0), 0.0)
        self.assertIsNone(share.send_delay(other, 0.0))
        share.note_part(slow, PART_BYTES, 0.0)
        self.assertEqual(woken, ["other"])
        self.assertIsNotNone(share.send_delay(other, 0.0))

    def test_who_leaves_the_line_wakes_the_next(self) -> None:
        woken: list[str] = []
        share = LinkScheduler(MEGABITS)
        first = share.enqueue(BULK, DOWNLOAD, SOON, lambda: woken.append("first"))
        second = share.enqueue(BULK, DOWNLOAD, SOON, lambda: woken.append("second"))
        share.send_delay(first, 0.0)
        share.send_delay(second, 0.0)
        woken.clear()
        share.remove(first, 0.0)
        self.assertEqual(woken, ["second"])

    def test_what_is_for_a_node_that_stops_goes_before_all_others(self) -> None:
        sending = Sending()
        urgent = sending.share.enqueue(URGENT, DOWNLOAD, SOON, nobody)
        bulk = sending.share.enqueue(BULK, DOWNLOAD, SOON, nobody)
        last = sending.share.enqueue(BULK, DOWNLOAD, SOON, nobody)
        sending.share.expedite(last, RECEIVER_STOPPING, 1.0, 1.0, 0.0)
        sending.run([urgent, bulk, last])
        self.assertEqual(sending.finished, [last, urgent, bulk])

    def test_who_is_hastened_is_woken(self) -> None:
        woken: list[str] = []
        share = LinkScheduler(MEGABITS)
        first = share.enqueue(BULK, DOWNLOAD, SOON, lambda: woken.append("first"))
        second = share.enqueue(BULK, DOWNLOAD, SOON, lambda: woken.append("second"))
        share.send_delay(first, 0.0)
        self.assertIsNone(share.send_delay(second, 0.0))
        woken.clear()
        share.expedite(second, RECEIVER_STOPPING, 1.0, 1.0, 0.0)
        self.assertEqual(woken, ["second"])

    def test_short_answers_slow_long_ones_down(self) -> None:
        share = LinkScheduler(MEGABITS)
        body = share.enqueue(BULK, DOWNLOAD, SOON, nobody)
        self.assertEqual(share.send_delay(body, 0.0), 0.0)
        for _ in range(100):
            share.note_sent(5000, 0.0)
        wait = share.send_delay(body, 0.0)
        assert wait is not None
        self.assertGreaterEqual(wait, (100 * 5000 - SEND_AHEAD_BYTES) / RATE)

    @given(st.lists(st.tuples(st.integers(0, 3), st.integers(1, 300_000)), max_size=12))
    def test_the_line_of_the_link_never_grows(self, wanted: list[tuple[int, int]]) -> None:
        sending = Sending()
        bodies = [sending.share.enqueue((rank, 0), size, SOON, nobody) for rank, size in wanted]
        sending.run(bodies)
        self.assertLessEqual(sending.longest, SEND_AHEAD_BYTES + PART_BYTES)


class AnswerTimeTest(unittest.TestCase):
    def test_a_route_of_short_answers_waits_for_no_link(self) -> None:
        share = LinkScheduler(MEGABITS)
        share.enqueue(BULK, 10_000_000, SOON, nobody)
        share.note_answer_size("lookup", LONG_BYTES)
        self.assertEqual(share.delivery_time("lookup", BULK, 0.0), 0.0)
        self.assertEqual(share.delivery_time("unknown", BULK, 0.0), 0.0)

    def test_only_routes_of_long_answers_are_kept_in_mind(self) -> None:
        share = LinkScheduler(MEGABITS)
        for index in range(1000):
            share.note_answer_size(f"lookup-{index}", 400)
        share.note_answer_size("export", DOWNLOAD)
        share.note_answer_size("export", 400)
        self.assertEqual(list(share._mean_sizes), ["export"])
        self.assertLess(share._mean_sizes["export"], DOWNLOAD)

    def test_what_was_promised_counts_until_it_is_kept(self) -> None:
        share = LinkScheduler(MEGABITS)
        share.note_answer_size("export", DOWNLOAD)
        alone = share.delivery_time("export", BULK, 0.0)
        promised = share.reserve("export", BULK)
        self.assertAlmostEqual(share.delivery_time("export", BULK, 0.0), 2 * alone)
        self.assertAlmostEqual(share.delivery_time("export", URGENT, 0.0), alone)
        share.release(BULK, promised)
        self.assertAlmostEqual(share.delivery_time("export", BULK, 0.0), alone)
        self.assertEqual(share.reserve("unknown", BULK), 0.0)
        self.assertEqual(share._reserved_bytes, {})

    def test_bodies_whose_readers_have_stopped_take_nobody_s_time(self) -> None:
        share = LinkScheduler(MEGABITS)
        share.note_answer_size("export", DOWNLOAD)
        alone = share.delivery_time("export", BULK, 0.0)
        for _ in range(16):
            body = share.enqueue(BULK, DOWNLOAD, SOON, nobody)
            share.send_delay(body, 0.0)
            share.note_part(body, 1000, 0.0)
        self.assertGreater(share.delivery_time("export", BULK, 0.1), 10 * alone)
        self.assertAlmostEqual(share.delivery_time("export", BULK, 10.0), alone)
        self.assertEqual(share.queue_time(BULK, 10.0), 0.0)

    def test_a_route_of_long_answers_waits_for_those_that_go_first(self) -> None:
        share = LinkScheduler(MEGABITS)
        share.note_answer_size("export", DOWNLOAD)
        alone = share.delivery_time("export", BULK, 0.0)
        for _ in range(9):
            share.enqueue(BULK, DOWNLOAD, SOON, nobody)
        self.assertAlmostEqual(share.delivery_time("export", BULK, 0.0), 10 * alone)
        self.assertAlmostEqual(share.delivery_time("export", URGENT, 0.0), alone)

    def test_where_the_node_ends_nothing_waits_any_longer_and_what_is_urgent_is_woken_first(
        self,
    ) -> None:
        share, woken = LinkScheduler(MEGABITS), []
        names: dict[str, tuple[int, int]] = {
            "bulk": BULK,
            "urgent": URGENT,
            "stops": RECEIVER_STOPPING,
        }
        bodies = [
            share.enqueue(rank, DOWNLOAD, SOON, lambda name=name: woken.append(name))  # type: ignore[misc]
            for name, rank in names.items()
        ]
        share.note_sent(10 * DOWNLOAD, 0.0)
        share.send_all_now()
        self.assertEqual(woken, ["stops", "urgent", "bulk"])
        self.assertEqual([share.send_delay(body, 0.0) for body in bodies], [0.0] * len(bodies))


if __name__ == "__main__":
    unittest.main()
