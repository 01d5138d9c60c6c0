"""The link queue under random entries, cancellations, slow readers, stops and reservations.

Each body acts as its sending task does: it asks for its turn, sleeps for the given time or until
it is woken, asks again, sends a part, and waits for its reader.
"""

import math
import unittest
from collections.abc import Callable

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from pewtertack.routing.link import (
    LONG_BYTES,
    OVERDUE_SECONDS,
    PART_BYTES,
    SEND_AHEAD_BYTES,
    LinkScheduler,
)
from pewtertack.routing.long_body import RECEIVER_STOPPING, LongBody, Rank

MEGABITS = 5.0
UNCOMMITTED_BYTES = 4 * PART_BYTES
SHORT_BYTES = 400
ROUNDING_SECONDS = 1e-9
ROUTES = ("export", "archive", "images")


class Entry(msgspec.Struct, frozen=True):
    """One long answer: requested, queued, then sent or cancelled. Times in seconds."""

    gap: float
    """After the previous entry."""
    execution_seconds: float
    """From its request, with which bytes are reserved, to the answer."""
    size: int
    target_time: float
    time_to_expiry: float
    """From its target time until it expires."""
    rank: int
    reader_pause: float
    """Delay of its reader after each part."""
    cancel_after: float | None
    """After its request."""
    expedite_after: float | None
    """After its request: its receiver's node reports that it stops."""
    can_hand_back: bool


class Waiting(msgspec.Struct):
    """Bytes that a started body may have to wait for."""

    since: float
    link_bytes: float
    """Bytes in the link's queue at that time."""
    bytes_ahead: int
    """Remaining bytes of started bodies at that time, of its rank and those before it."""
    bytes_sent: int = 0
    """Bytes that have been sent since."""


class Answer:
    """One long answer and the task that sends it."""

    def __init__(self, link: "SimulatedLink", entry: Entry) -> None:
        self.link = link
        self.entry = entry
        self.rank: Rank = (entry.rank, 0)
        self.asked_at = link.now
        self.expires_at = link.now + entry.target_time + entry.time_to_expiry
        self.reserved = 0
        self.body: LongBody | None = None
        self.ended = False
        self.removed = False
        self.ready_at = 0.0
        """When its reader will have read the previous part."""
        self.waiting: Waiting | None = None

    def reserve(self) -> None:
        self.reserved = self.link.scheduler.reserve(ROUTES[self.entry.size % 3], self.rank)

    def arrive(self) -> None:
        """The answer arrives and is queued; its reservation is released."""
        if self.removed:
            return
        scheduler, entry = self.link.scheduler, self.entry
        self.release_reservation()
        scheduler.note_answer_size(ROUTES[entry.size % 3], entry.size)
        target_time = self.asked_at + entry.target_time
        uncommitted_bytes = UNCOMMITTED_BYTES if entry.can_hand_back else 0
        self.body = scheduler.enqueue(
            self.rank,
            entry.size,
            target_time,
            self.wake,
            expires_at=self.expires_at,
            uncommitted_bytes=uncommitted_bytes,
        )
        self.link.take_turn(self)

    def release_reservation(self) -> None:
        self.link.scheduler.release(self.rank, self.reserved)
        self.reserved = 0

    def expedite(self) -> None:
        if self.removed:
            return
        reserved = self.reserved > 0
        self.release_reservation()
        self.rank = RECEIVER_STOPPING
        self.expires_at = min(self.expires_at, self.link.now + 1.0)
        if reserved:
            self.reserve()
        if self.body is not None:
            self.link.forget_waiting()
            self.link.scheduler.expedite(
                self.body, self.rank, self.expires_at, self.expires_at, self.link.now
            )

    def remove(self) -> None:
        if self.removed:
            return
        self.removed = True
        self.release_reservation()
        if self.body is not None:
            self.link.scheduler.remove(self.body, self.link.now)

    def wake(self) -> None:
        self.link.at(self.link.now, lambda: self.link.take_turn(self))


class SimulatedLink:
    """A simulated link that processes events in order of time."""

    def __init__(self) -> None:
        self.scheduler = LinkScheduler(MEGABITS)
        self.now = 0.0
        self.answers: list[Answer] = []
        self.stopped = False
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0

    def seconds(self, size: float) -> float:
        return size / self.scheduler.bytes_per_second

    def at(self, moment: float, act: Callable[[], None]) -> None:
        self._count += 1
        self._events.append((moment, self._count, act))

    def run(self) -> None:
        """Process all events in order until none is left."""
        while self._events:
            event = min(self._events, key=lambda item: item[:2])
            self._events.remove(event)
            self.check_not_idle(event[0])
            self.now = max(self.now, event[0])
            event[2]()

    def add(self, entry: Entry) -> None:
        answer = Answer(self, entry)
        self.answers.append(answer)
        answer.reserve()
        self.at(self.now + entry.execution_seconds, answer.arrive)
        if entry.cancel_after is not None:
            self.at(self.now + entry.cancel_after, answer.remove)
        if entry.expedite_after is not None:
            self.at(self.now + entry.expedite_after, answer.expedite)
        self.at(answer.expires_at, answer.remove)

    def stop(self, seconds: float) -> None:
        self.stopped = True
        self.forget_waiting()
        self.scheduler.stop_at(self.now + seconds, self.now)

    def queued(self) -> list[Answer]:
        return [
            item
            for item in self.answers
            if item.body is not None and not item.removed and not item.body.handed_back
        ]

    def check_not_idle(self, moment: float) -> None:
        """Check that nothing waits that the link could have taken before the next event."""
        ready = [item for item in self.queued() if item.body is not None and item.body.is_ready]
        free_at = max(self.now, self.scheduler._free_at - self.seconds(SEND_AHEAD_BYTES))
        if ready and moment > free_at + ROUNDING_SECONDS:
            raise AssertionError("the link is idle while a part may go")

    def take_turn(self, answer: Answer) -> None:
        """Ask for the next part's turn, as a woken task does."""
        body = answer.body
        if body is None or answer.removed:
            return
        if body.handed_back:
            answer.remove()
            return
        if self.now < answer.ready_at:
            return
        wait = self.scheduler.send_delay(body, self.now)
        if body.handed_back:
            answer.remove()
            return
        self.begin_waiting(answer, body)
        if wait is None:
            return
        if wait > 0:
            self.at(self.now + wait, lambda: self.take_turn(answer))
            return
        self.send(answer, body)

    def begin_waiting(self, answer: Answer, body: LongBody) -> None:
        """Record what precedes a started body when its next part becomes ready."""
        if not body.started or answer.waiting is not None or self.stopped:
            return
        before = [
            item.body.remaining_bytes
            for item in self.queued()
            if item is not answer and item.body is not None
            if item.body.started  # also of a lower rank: first when little time is left
        ]
        link_bytes = max(0.0, self.scheduler._free_at - self.now) * self.scheduler.bytes_per_second
        answer.waiting = Waiting(self.now, link_bytes, sum(before))

    def forget_waiting(self) -> None:
        """Forget records, since other ranks apply from now on."""
        for item in self.answers:
            item.waiting = None

    def send(self, answer: Answer, body: LongBody) -> None:
        size = min(PART_BYTES, body.remaining_bytes)
        self.check_waits(answer, body, size)
        answer.waiting = None
        self.scheduler.note_part(body, size, self.now)
        if not body.remaining_bytes:
            answer.ended = True
            answer.remove()
        else:
            answer.ready_at = self.now + answer.entry.reader_pause
            self.at(answer.ready_at, lambda: self.take_turn(answer))

    def check_waits(self, sender: Answer, sent: LongBody, size: int) -> None:
        """Check that a started body waits only for bodies of its rank that were started before."""
        for item in self.queued():
            body, waiting = item.body, item.waiting
            if body is None or waiting is None or not body.is_ready:
                continue
            if item is sender:
                lasted = self.now - waiting.since
                longest = self.seconds(
                    max(0.0, waiting.link_bytes - SEND_AHEAD_BYTES) + waiting.bytes_sent
                )
                if lasted > longest + ROUNDING_SECONDS:
                    raise AssertionError("it waits longer than the bytes before it take")
                continue
            waiting.bytes_sent += size
            end = self.now + self.seconds(body.remaining_bytes)
            if sent.rank < body.rank or end > body.expires_at + OVERDUE_SECONDS:
                continue  # another rank goes first, or it cannot end in time any longer
            waiting.bytes_ahead -= size
            if waiting.bytes_ahead < 0:
                raise AssertionError("a started body is passed over")

    def note_short(self) -> None:
        self.scheduler.note_sent(SHORT_BYTES, self.now)
        for item in self.answers:
            if item.waiting is not None:
                item.waiting.bytes_sent += SHORT_BYTES


ENTRIES = st.lists(
    st.builds(
        Entry,
        gap=st.floats(0.0, 0.5),
        execution_seconds=st.sampled_from((0.0, 0.1, 0.7)),
        size=st.integers(LONG_BYTES + 1, 300_000),
        target_time=st.floats(0.0, 3.0),
        time_to_expiry=st.one_of(st.just(1000.0), st.floats(0.0, 6.0)),
        rank=st.integers(0, 2),
        reader_pause=st.sampled_from((0.0, 0.0, 0.05, 1.0)),
        cancel_after=st.one_of(st.none(), st.floats(0.0, 2.0)),
        expedite_after=st.one_of(st.none(), st.none(), st.floats(0.0, 2.0)),
        can_hand_back=st.booleans(),
    ),
    max_size=25,
)


class LinkPropertiesTest(unittest.TestCase):
    @given(ENTRIES, st.one_of(st.none(), st.floats(0.0, 5.0)))
    def test_work_is_conserved_no_body_is_passed_over_and_counts_return_to_zero(
        self, entries: list[Entry], stops: float | None
    ) -> None:
        link = SimulatedLink()
        moment = 0.0
        for entry in entries:
            moment += entry.gap
            link.at(moment, lambda entry=entry: link.add(entry))  # type: ignore[misc]
            link.at(moment, link.note_short)
        if stops is not None:
            link.at(stops, lambda: link.stop(2.0))
        link.run()
        self.assertEqual((link.queued(), link.scheduler._queue), ([], []))
        self.assertEqual(link.scheduler._reserved_bytes, {})
        self.assertEqual(link.scheduler.queue_time((9, 9), link.now + 1000.0), 0.0)

    @given(ENTRIES)
    def test_without_cancellations_or_stops_all_bodies_end(self, entries: list[Entry]) -> None:
        link = SimulatedLink()
        moment = 0.0
        for entry in entries:
            moment += entry.gap
            lasting_entry = msgspec.structs.replace(
                entry, time_to_expiry=1000.0, cancel_after=None, expedite_after=None
            )
            link.at(moment, lambda entry=lasting_entry: link.add(entry))  # type: ignore[misc]
        link.run()
        self.assertEqual([item for item in link.answers if not item.ended], [])

    @given(st.lists(st.tuples(st.integers(LONG_BYTES + 1, 600_000), st.integers(0, 2))))
    def test_reservations_return_to_zero_in_any_order_of_release(
        self, answers: list[tuple[int, int]]
    ) -> None:
        scheduler = LinkScheduler(MEGABITS)
        reserved: list[tuple[Rank, int]] = []
        for size, rank in answers:
            scheduler.note_answer_size("export", size)
            reserved.append(((rank, 0), scheduler.reserve("export", (rank, 0))))
        for reserved_rank, size in sorted(reserved, key=lambda item: item[1]):
            scheduler.release(reserved_rank, size)
        self.assertEqual(scheduler._reserved_bytes, {})
        self.assertEqual(scheduler.queue_time((9, 9), 0.0), 0.0)

    def test_an_answer_is_sent_at_the_rate_of_the_link(self) -> None:
        link = SimulatedLink()
        link.add(Entry(0.0, 0.0, 10 * PART_BYTES, 1.0, math.inf, 0, 0.0, None, None, False))
        link.run()
        self.assertAlmostEqual(link.scheduler._free_at, link.seconds(10 * PART_BYTES))


if __name__ == "__main__":
    unittest.main()
