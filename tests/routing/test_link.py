"""Long bodies are sent in turns on a machine's link."""

import math
import unittest
from functools import partial

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
BYTES_PER_SECOND = MEGABITS * BITS_PER_MEGABIT / BITS_PER_BYTE
"""Bytes per second that the link carries."""
DOWNLOAD_BYTES = 90_000
URGENT, BULK = (0, 0), (2, 0)
TARGET_TIME = 60.0
"""Target time of bodies that are not late."""


def wake_nobody() -> None:
    """Do nothing when it is a body's turn."""


class SimulatedLink:
    """Sends the parts of several bodies as soon as possible and simulates the link's queue."""

    def __init__(self) -> None:
        self.scheduler = LinkScheduler(MEGABITS)
        self.now = 0.0
        self.queued_bytes = 0.0
        """Bytes that were sent and that the link has not carried yet."""
        self.longest = 0.0
        self.finished: list[LongBody] = []

    def run(self, bodies: list[LongBody]) -> None:
        for _ in range(10_000):
            pending = [item for item in bodies if item not in self.finished]
            if not pending:
                return
            for item in pending:
                self.scheduler.send_delay(item, self.now)
            waits = [(self.scheduler.send_delay(item, self.now), item) for item in pending]
            wait, body = next((wait, item) for wait, item in waits if wait is not None)
            self.pass_time(wait)
            self.scheduler.note_part(body, PART_BYTES, self.now)
            self.add(PART_BYTES)
            if not body.remaining_bytes:
                self.scheduler.remove(body, self.now)
                self.finished.append(body)
        self.fail()

    def fail(self) -> None:
        raise AssertionError("the bodies are never sent")

    def pass_time(self, seconds: float) -> None:
        self.now += seconds
        self.queued_bytes = max(0.0, self.queued_bytes - seconds * BYTES_PER_SECOND)

    def add(self, size: int) -> None:
        self.queued_bytes += size
        self.longest = max(self.longest, self.queued_bytes)


class LinkSchedulerTest(unittest.TestCase):
    def test_a_short_answer_waits_for_at_most_two_parts_of_downloads(self) -> None:
        link = SimulatedLink()
        bodies = [
            link.scheduler.enqueue(BULK, DOWNLOAD_BYTES, TARGET_TIME, wake_nobody)
            for _ in range(12)
        ]
        link.run(bodies)
        self.assertLessEqual(link.longest, SEND_AHEAD_BYTES + PART_BYTES)

    def test_downloads_fill_most_of_the_link(self) -> None:
        link = SimulatedLink()
        bodies = [
            link.scheduler.enqueue(BULK, DOWNLOAD_BYTES, TARGET_TIME, wake_nobody)
            for _ in range(12)
        ]
        link.run(bodies)
        parts = math.ceil(DOWNLOAD_BYTES / PART_BYTES)
        self.assertLessEqual(link.now, 12 * parts * PART_BYTES / (LINK_SHARE * BYTES_PER_SECOND))

    def test_bodies_are_sent_one_after_the_other_by_rank(self) -> None:
        link = SimulatedLink()
        first = link.scheduler.enqueue(BULK, DOWNLOAD_BYTES, TARGET_TIME, wake_nobody)
        second = link.scheduler.enqueue(BULK, DOWNLOAD_BYTES, TARGET_TIME, wake_nobody)
        urgent = link.scheduler.enqueue(URGENT, DOWNLOAD_BYTES, TARGET_TIME, wake_nobody)
        link.run([first, second, urgent])
        self.assertEqual(link.finished, [urgent, first, second])

    def test_late_bodies_let_timely_ones_go_first(self) -> None:
        link = SimulatedLink()
        late = link.scheduler.enqueue(BULK, DOWNLOAD_BYTES, 0.01, wake_nobody)
        later = link.scheduler.enqueue(BULK, DOWNLOAD_BYTES, 50.0, wake_nobody)
        sooner = link.scheduler.enqueue(BULK, DOWNLOAD_BYTES, 40.0, wake_nobody)
        link.run([late, later, sooner])
        self.assertEqual(link.finished, [sooner, later, late])

    def test_a_started_body_continues_though_it_becomes_late(self) -> None:
        scheduler = LinkScheduler(MEGABITS)
        started_body = scheduler.enqueue(BULK, DOWNLOAD_BYTES, 0.08, wake_nobody)
        self.assertEqual(scheduler.send_delay(started_body, 0.0), 0.0)
        scheduler.note_part(started_body, PART_BYTES, 0.0)
        self.assertIsNotNone(scheduler.send_delay(started_body, 1.0))
        other = scheduler.enqueue(BULK, DOWNLOAD_BYTES, TARGET_TIME, wake_nobody)
        self.assertIsNone(scheduler.send_delay(other, 1.0))
        urgent = scheduler.enqueue(URGENT, DOWNLOAD_BYTES, TARGET_TIME, wake_nobody)
        self.assertIsNotNone(scheduler.send_delay(urgent, 1.0))
        self.assertIsNone(scheduler.send_delay(started_body, 1.0))

    def test_a_slow_reader_does_not_block_others(self) -> None:
        woken: list[str] = []
        scheduler = LinkScheduler(MEGABITS)
        slow = scheduler.enqueue(URGENT, DOWNLOAD_BYTES, TARGET_TIME, wake_nobody)
        other = scheduler.enqueue(BULK, DOWNLOAD_BYTES, TARGET_TIME, lambda: woken.append("other"))
        self.assertEqual(scheduler.send_delay(slow, 0.0), 0.0)
        self.assertIsNone(scheduler.send_delay(other, 0.0))
        scheduler.note_part(slow, PART_BYTES, 0.0)
        self.assertEqual(woken, ["other"])
        self.assertIsNotNone(scheduler.send_delay(other, 0.0))

    def test_a_removed_body_wakes_the_next(self) -> None:
        woken: list[str] = []
        scheduler = LinkScheduler(MEGABITS)
        first = scheduler.enqueue(BULK, DOWNLOAD_BYTES, TARGET_TIME, lambda: woken.append("first"))
        second = scheduler.enqueue(
            BULK, DOWNLOAD_BYTES, TARGET_TIME, lambda: woken.append("second")
        )
        scheduler.send_delay(first, 0.0)
        scheduler.send_delay(second, 0.0)
        woken.clear()
        scheduler.remove(first, 0.0)
        self.assertEqual(woken, ["second"])

    def test_bodies_for_a_stopping_node_precede_all_others(self) -> None:
        link = SimulatedLink()
        urgent = link.scheduler.enqueue(URGENT, DOWNLOAD_BYTES, TARGET_TIME, wake_nobody)
        bulk = link.scheduler.enqueue(BULK, DOWNLOAD_BYTES, TARGET_TIME, wake_nobody)
        last = link.scheduler.enqueue(BULK, DOWNLOAD_BYTES, TARGET_TIME, wake_nobody)
        link.scheduler.expedite(last, RECEIVER_STOPPING, 1.0, 1.0, 0.0)
        link.run([urgent, bulk, last])
        self.assertEqual(link.finished, [last, urgent, bulk])

    def test_an_expedited_body_is_woken(self) -> None:
        woken: list[str] = []
        scheduler = LinkScheduler(MEGABITS)
        first = scheduler.enqueue(BULK, DOWNLOAD_BYTES, TARGET_TIME, lambda: woken.append("first"))
        second = scheduler.enqueue(
            BULK, DOWNLOAD_BYTES, TARGET_TIME, lambda: woken.append("second")
        )
        scheduler.send_delay(first, 0.0)
        self.assertIsNone(scheduler.send_delay(second, 0.0))
        woken.clear()
        scheduler.expedite(second, RECEIVER_STOPPING, 1.0, 1.0, 0.0)
        self.assertEqual(woken, ["second"])

    def test_short_answers_delay_long_bodies(self) -> None:
        scheduler = LinkScheduler(MEGABITS)
        body = scheduler.enqueue(BULK, DOWNLOAD_BYTES, TARGET_TIME, wake_nobody)
        self.assertEqual(scheduler.send_delay(body, 0.0), 0.0)
        for _ in range(100):
            scheduler.note_sent(5000, 0.0)
        wait = scheduler.send_delay(body, 0.0)
        assert wait is not None
        self.assertGreaterEqual(wait, (100 * 5000 - SEND_AHEAD_BYTES) / BYTES_PER_SECOND)

    @given(st.lists(st.tuples(st.integers(0, 3), st.integers(1, 300_000)), max_size=12))
    def test_the_link_queue_is_bounded(self, wanted: list[tuple[int, int]]) -> None:
        link = SimulatedLink()
        bodies = [
            link.scheduler.enqueue((rank, 0), size, TARGET_TIME, wake_nobody)
            for rank, size in wanted
        ]
        link.run(bodies)
        self.assertLessEqual(link.longest, SEND_AHEAD_BYTES + PART_BYTES)


class DeliveryTimeTest(unittest.TestCase):
    def test_a_route_of_short_answers_has_no_delivery_time(self) -> None:
        scheduler = LinkScheduler(MEGABITS)
        scheduler.enqueue(BULK, 10_000_000, TARGET_TIME, wake_nobody)
        scheduler.note_answer_size("lookup", LONG_BYTES)
        self.assertEqual(scheduler.delivery_time("lookup", BULK, 0.0), 0.0)
        self.assertEqual(scheduler.delivery_time("unknown", BULK, 0.0), 0.0)

    def test_only_routes_of_long_answers_are_recorded(self) -> None:
        scheduler = LinkScheduler(MEGABITS)
        for index in range(1000):
            scheduler.note_answer_size(f"lookup-{index}", 400)
        scheduler.note_answer_size("export", DOWNLOAD_BYTES)
        scheduler.note_answer_size("export", 400)
        self.assertEqual(list(scheduler._mean_sizes), ["export"])
        self.assertLess(scheduler._mean_sizes["export"], DOWNLOAD_BYTES)

    def test_reserved_bytes_count_until_they_are_released(self) -> None:
        scheduler = LinkScheduler(MEGABITS)
        scheduler.note_answer_size("export", DOWNLOAD_BYTES)
        alone = scheduler.delivery_time("export", BULK, 0.0)
        reserved = scheduler.reserve("export", BULK)
        self.assertAlmostEqual(scheduler.delivery_time("export", BULK, 0.0), 2 * alone)
        self.assertAlmostEqual(scheduler.delivery_time("export", URGENT, 0.0), alone)
        scheduler.release(BULK, reserved)
        self.assertAlmostEqual(scheduler.delivery_time("export", BULK, 0.0), alone)
        self.assertEqual(scheduler.reserve("unknown", BULK), 0.0)
        self.assertEqual(scheduler._reserved_bytes, {})

    def test_bodies_of_stalled_readers_do_not_count(self) -> None:
        scheduler = LinkScheduler(MEGABITS)
        scheduler.note_answer_size("export", DOWNLOAD_BYTES)
        alone = scheduler.delivery_time("export", BULK, 0.0)
        for _ in range(16):
            body = scheduler.enqueue(BULK, DOWNLOAD_BYTES, TARGET_TIME, wake_nobody)
            scheduler.send_delay(body, 0.0)
            scheduler.note_part(body, 1000, 0.0)
        self.assertGreater(scheduler.delivery_time("export", BULK, 0.1), 10 * alone)
        self.assertAlmostEqual(scheduler.delivery_time("export", BULK, 10.0), alone)
        self.assertEqual(scheduler.queue_time(BULK, 10.0), 0.0)

    def test_delivery_time_includes_bodies_that_go_first(self) -> None:
        scheduler = LinkScheduler(MEGABITS)
        scheduler.note_answer_size("export", DOWNLOAD_BYTES)
        alone = scheduler.delivery_time("export", BULK, 0.0)
        for _ in range(9):
            scheduler.enqueue(BULK, DOWNLOAD_BYTES, TARGET_TIME, wake_nobody)
        self.assertAlmostEqual(scheduler.delivery_time("export", BULK, 0.0), 10 * alone)
        self.assertAlmostEqual(scheduler.delivery_time("export", URGENT, 0.0), alone)

    def test_send_all_now_wakes_bodies_by_rank_and_none_waits(
        self,
    ) -> None:
        scheduler = LinkScheduler(MEGABITS)
        woken: list[str] = []
        names: dict[str, tuple[int, int]] = {
            "bulk": BULK,
            "urgent": URGENT,
            "stops": RECEIVER_STOPPING,
        }
        bodies = [
            scheduler.enqueue(rank, DOWNLOAD_BYTES, TARGET_TIME, partial(woken.append, name))
            for name, rank in names.items()
        ]
        scheduler.note_sent(10 * DOWNLOAD_BYTES, 0.0)
        scheduler.send_all_now()
        self.assertEqual(woken, ["stops", "urgent", "bulk"])
        self.assertEqual([scheduler.send_delay(body, 0.0) for body in bodies], [0.0] * len(bodies))


if __name__ == "__main__":
    unittest.main()
