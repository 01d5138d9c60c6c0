"""The line of a link under random entries, cancels, slow readers, stops and promises.

Each body does what a task does that sends it: it asks, sleeps for the time it is told, or until
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
HELD_BACK = 4 * PART_BYTES
SHORT = 400
TINY = 1e-9
ROUTES = ("export", "archive", "images")


class Entry(msgspec.Struct, frozen=True):
    """One long answer: its request is taken, it comes, it leaves or is cancelled. Seconds."""

    gap: float
    """After the one before."""
    run: float
    """From its request, whose answer is promised, to the answer."""
    size: int
    wanted: float
    more: float
    """From when it is wanted until it is of no use."""
    rank: int
    pause: float
    """Its reader's, after each part."""
    cancelled: float | None
    """After its request."""
    hastened: float | None
    """After its request: its receiver's node says that it stops."""
    returnable: bool


class Waiting(msgspec.Struct):
    """What a body that has begun may wait for."""

    since: float
    carried: float
    """Bytes in the link's own line then."""
    ahead: int
    """Bytes of what had begun then, is of its rank and of those before it."""
    sent: int = 0
    """Bytes that have been sent since."""


class Answer:
    """One long answer and the task that sends it."""

    def __init__(self, line: "Line", entry: Entry) -> None:
        self.line = line
        self.entry = entry
        self.rank: Rank = (entry.rank, 0)
        self.asked_at = line.now
        self.latest = line.now + entry.wanted + entry.more
        self.promised = 0
        self.place: LongBody | None = None
        self.ended = False
        self.gone = False
        self.ready_at = 0.0
        """When its reader will have taken the part before."""
        self.waiting: Waiting | None = None

    def ask(self) -> None:
        self.promised = self.line.share.reserve(ROUTES[self.entry.size % 3], self.rank)

    def come(self) -> None:
        """The answer has come: it is in line, in place of what was promised."""
        if self.gone:
            return
        share, entry = self.line.share, self.entry
        self.forget_promise()
        share.note_answer_size(ROUTES[entry.size % 3], entry.size)
        wanted = self.asked_at + entry.wanted
        returnable = HELD_BACK if entry.returnable else 0
        self.place = share.enqueue(
            self.rank,
            entry.size,
            wanted,
            self.wake,
            expires_at=self.latest,
            uncommitted_bytes=returnable,
        )
        self.line.take_turn(self)

    def forget_promise(self) -> None:
        self.line.share.release(self.rank, self.promised)
        self.promised = 0

    def hasten(self) -> None:
        if self.gone:
            return
        promised = self.promised > 0
        self.forget_promise()
        self.rank = RECEIVER_STOPPING
        self.latest = min(self.latest, self.line.now + 1.0)
        if promised:
            self.ask()
        if self.place is not None:
            self.line.forget_waiting()
            self.line.share.expedite(self.place, self.rank, self.latest, self.latest, self.line.now)

    def leave(self) -> None:
        if self.gone:
            return
        self.gone = True
        self.forget_promise()
        if self.place is not None:
            self.line.share.remove(self.place, self.line.now)

    def wake(self) -> None:
        self.line.at(self.line.now, lambda: self.line.take_turn(self))


class Line:
    """A line in virtual time."""

    def __init__(self) -> None:
        self.share = LinkScheduler(MEGABITS)
        self.now = 0.0
        self.answers: list[Answer] = []
        self.stopped = False
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0

    def seconds(self, size: float) -> float:
        return size / self.share.bytes_per_second

    def at(self, moment: float, act: Callable[[], None]) -> None:
        self._count += 1
        self._events.append((moment, self._count, act))

    def run(self) -> None:
        """Do everything in its order, until nothing is left to happen."""
        while self._events:
            event = min(self._events, key=lambda item: item[:2])
            self._events.remove(event)
            self.check_not_idle(event[0])
            self.now = max(self.now, event[0])
            event[2]()

    def add(self, entry: Entry) -> None:
        answer = Answer(self, entry)
        self.answers.append(answer)
        answer.ask()
        self.at(self.now + entry.run, answer.come)
        if entry.cancelled is not None:
            self.at(self.now + entry.cancelled, answer.leave)
        if entry.hastened is not None:
            self.at(self.now + entry.hastened, answer.hasten)
        self.at(answer.latest, answer.leave)

    def stop(self, seconds: float) -> None:
        self.stopped = True
        self.forget_waiting()
        self.share.stop_at(self.now + seconds, self.now)

    def in_line(self) -> list[Answer]:
        return [
            item
            for item in self.answers
            if item.place is not None and not item.gone and not item.place.handed_back
        ]

    def check_not_idle(self, moment: float) -> None:
        """Nothing waits that the link could have taken long before the next event."""
        ready = [item for item in self.in_line() if item.place is not None and item.place.is_ready]
        free_at = max(self.now, self.share._free_at - self.seconds(SEND_AHEAD_BYTES))
        if ready and moment > free_at + TINY:
            raise AssertionError("the link is idle while a part may go")

    def take_turn(self, answer: Answer) -> None:
        """Ask for the next part's turn, as a task does that was woken."""
        body = answer.place
        if body is None or answer.gone:
            return
        if body.handed_back:
            answer.leave()
            return
        if self.now < answer.ready_at:
            return
        wait = self.share.send_delay(body, self.now)
        if body.handed_back:
            answer.leave()
            return
        self.begin_waiting(answer, body)
        if wait is None:
            return
        if wait > 0:
            self.at(self.now + wait, lambda: self.take_turn(answer))
            return
        self.send(answer, body)

    def begin_waiting(self, answer: Answer, body: LongBody) -> None:
        """Note what stands before a body that has begun, when its next part comes to be there."""
        if not body.started or answer.waiting is not None or self.stopped:
            return
        before = [
            item.place.remaining_bytes
            for item in self.in_line()
            if item is not answer and item.place is not None
            if item.place.started  # also of a lower rank: first when little time is left
        ]
        carried = max(0.0, self.share._free_at - self.now) * self.share.bytes_per_second
        answer.waiting = Waiting(self.now, carried, sum(before))

    def forget_waiting(self) -> None:
        """Other ranks hold from now on."""
        for item in self.answers:
            item.waiting = None

    def send(self, answer: Answer, body: LongBody) -> None:
        size = min(PART_BYTES, body.remaining_bytes)
        self.check_waits(answer, body, size)
        answer.waiting = None
        self.share.note_part(body, size, self.now)
        if not body.remaining_bytes:
            answer.ended = True
            answer.leave()
        else:
            answer.ready_at = self.now + answer.entry.pause
            self.at(answer.ready_at, lambda: self.take_turn(answer))

    def check_waits(self, sender: Answer, sent: LongBody, size: int) -> None:
        """Of its own rank, what has begun waits for what had begun before it waits, and no more."""
        for item in self.in_line():
            body, waiting = item.place, item.waiting
            if body is None or waiting is None or not body.is_ready:
                continue
            if item is sender:
                lasted = self.now - waiting.since
                most = self.seconds(max(0.0, waiting.carried - SEND_AHEAD_BYTES) + waiting.sent)
                if lasted > most + TINY:
                    raise AssertionError("it waits longer than the bytes before it take")
                continue
            waiting.sent += size
            end = self.now + self.seconds(body.remaining_bytes)
            if sent.rank < body.rank or end > body.expires_at + OVERDUE_SECONDS:
                continue  # owed to another rank; or it can't end in time any longer
            waiting.ahead -= size
            if waiting.ahead < 0:
                raise AssertionError("what has begun is passed over")

    def note_short(self) -> None:
        self.share.note_sent(SHORT, self.now)
        for item in self.answers:
            if item.waiting is not None:
                item.waiting.sent += SHORT


ENTRIES = st.lists(
    st.builds(
        Entry,
        gap=st.floats(0.0, 0.5),
        run=st.sampled_from((0.0, 0.1, 0.7)),
        size=st.integers(LONG_BYTES + 1, 300_000),
        wanted=st.floats(0.0, 3.0),
        more=st.one_of(st.just(1000.0), st.floats(0.0, 6.0)),
        rank=st.integers(0, 2),
        pause=st.sampled_from((0.0, 0.0, 0.05, 1.0)),
        cancelled=st.one_of(st.none(), st.floats(0.0, 2.0)),
        hastened=st.one_of(st.none(), st.none(), st.floats(0.0, 2.0)),
        returnable=st.booleans(),
    ),
    max_size=25,
)


class LinePropertiesTest(unittest.TestCase):
    @given(ENTRIES, st.one_of(st.none(), st.floats(0.0, 5.0)))
    def test_work_is_conserved_nobody_is_passed_over_and_all_comes_back_to_zero(
        self, entries: list[Entry], stops: float | None
    ) -> None:
        line = Line()
        moment = 0.0
        for entry in entries:
            moment += entry.gap
            line.at(moment, lambda entry=entry: line.add(entry))  # type: ignore[misc]
            line.at(moment, line.note_short)
        if stops is not None:
            line.at(stops, lambda: line.stop(2.0))
        line.run()
        self.assertEqual((line.in_line(), line.share._queue), ([], []))
        self.assertEqual(line.share._reserved_bytes, {})
        self.assertEqual(line.share.queue_time((9, 9), line.now + 1000.0), 0.0)

    @given(ENTRIES)
    def test_where_nobody_cancels_or_stops_whatever_has_time_ends(
        self, entries: list[Entry]
    ) -> None:
        line = Line()
        moment = 0.0
        for entry in entries:
            moment += entry.gap
            patient = msgspec.structs.replace(entry, more=1000.0, cancelled=None, hastened=None)
            line.at(moment, lambda entry=patient: line.add(entry))  # type: ignore[misc]
        line.run()
        self.assertEqual([item for item in line.answers if not item.ended], [])

    @given(st.lists(st.tuples(st.integers(LONG_BYTES + 1, 600_000), st.integers(0, 2))))
    def test_what_was_promised_comes_back_to_zero_in_whatever_order(
        self, answers: list[tuple[int, int]]
    ) -> None:
        share = LinkScheduler(MEGABITS)
        promised: list[tuple[Rank, int]] = []
        for size, rank in answers:
            share.note_answer_size("export", size)
            promised.append(((rank, 0), share.reserve("export", (rank, 0))))
        for place, size in sorted(promised, key=lambda item: item[1]):
            share.release(place, size)
        self.assertEqual(share._reserved_bytes, {})
        self.assertEqual(share.queue_time((9, 9), 0.0), 0.0)

    def test_a_whole_answer_leaves_at_the_pace_of_the_link(self) -> None:
        line = Line()
        line.add(Entry(0.0, 0.0, 10 * PART_BYTES, 1.0, math.inf, 0, 0.0, None, None, False))
        line.run()
        self.assertAlmostEqual(line.share._free_at, line.seconds(10 * PART_BYTES))


if __name__ == "__main__":
    unittest.main()
