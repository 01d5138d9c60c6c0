"""No long body waits forever, and the link is never idle while a part may be sent."""

import math
import random
import unittest

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from pewtertack.routing.link import LONG_BYTES, OVERDUE_SECONDS, PART_BYTES, LinkScheduler
from pewtertack.routing.long_body import RECEIVER_STOPPING, LongBody, Rank

MEGABITS = 5.0
DOWNLOAD_BYTES = 90_000
BULK = (2, 0)
OBJECTIVE, DEADLINE = 2.0, 6.0
"""Seconds after a request's arrival."""
LONG_SECONDS = 1000.0
"""Longer than the bodies of any test take."""


class Answer(msgspec.Struct, eq=False):
    """One long answer, from its entry into the queue to its end."""

    body: LongBody
    queued_at: float
    pause: float
    """Seconds for which its reader is slow after each part."""
    ready_at: float = 0.0
    started_at: float = math.inf
    ended_at: float = math.inf

    @property
    def halfway(self) -> float:
        return (self.body.target_time + self.body.expires_at) / 2


class SimulatedLink:
    """A simulated link of a machine; each part is sent as soon as possible."""

    def __init__(self) -> None:
        self.scheduler = LinkScheduler(MEGABITS)
        self.now = 0.0
        self.pending: list[Answer] = []
        self.all: list[Answer] = []

    def seconds(self, size: int) -> float:
        return size / self.scheduler.bytes_per_second

    def enqueue(
        self,
        size: int,
        target_time: float,
        expires_at: float = math.inf,
        rank: Rank = BULK,
        pause: float = 0.0,
    ) -> Answer:
        body = self.scheduler.enqueue(rank, size, target_time, wake_nobody, expires_at=expires_at)
        answer = Answer(body, self.now, pause, self.now)
        self.pending.append(answer)
        self.all.append(answer)
        return answer

    def advance(self, until: float) -> None:
        """Send parts until then; answers that expire are removed."""
        while True:
            self._drop_ended()
            wait, first = self._first()
            slow = [item.ready_at for item in self.pending if item.ready_at > self.now]
            ends = [item.body.expires_at for item in self.pending]
            event = min([*slow, *ends, until])
            if first is not None and self.now + wait <= event:
                self._send(wait, first)
            elif event < until:
                self.now = event
            else:
                break
        self.now = max(self.now, until)

    def _drop_ended(self) -> None:
        for item in [item for item in self.pending if item.body.expires_at <= self.now]:
            self._leave(item)

    def _leave(self, item: Answer) -> None:
        self.pending.remove(item)
        self.scheduler.remove(item.body, self.now)

    @property
    def waiting(self) -> list[Answer]:
        """Answers whose next part may be sent."""
        return [item for item in self.pending if item.ready_at <= self.now]

    def _first(self) -> tuple[float, Answer | None]:
        for item in self.waiting:
            item.body.is_ready = True
        for item in self.waiting:
            wait = self.scheduler.send_delay(item.body, self.now)
            if wait is not None:
                return wait, item
        if self.waiting:
            raise AssertionError("all wait for one another")
        return 0.0, None

    def _send(self, wait: float, item: Answer) -> None:
        if wait > 0 and self.now + wait > self.scheduler._free_at:
            raise AssertionError("the link is idle while a part may go")
        self.now += wait
        self._check_order(item)
        item.started_at = min(item.started_at, self.now)
        self.scheduler.note_part(item.body, min(PART_BYTES, item.body.remaining_bytes), self.now)
        item.ready_at = self.now + item.pause
        if item.body.remaining_bytes <= 0:
            item.ended_at = self.now
            self._leave(item)

    def _check_order(self, first: Answer) -> None:
        """A started or due body waits for no newer one of its rank that has not started, unless
        it is far too late.
        """
        if first.body.started:
            return
        for other in self.waiting:
            if other.body.rank > first.body.rank or other is first:
                continue
            end = self.now + self.seconds(other.body.remaining_bytes)
            can_end = end <= other.body.expires_at
            continues = other.body.started and end <= other.body.expires_at + OVERDUE_SECONDS
            if continues or (can_end and first.queued_at > other.halfway):
                raise AssertionError("a started or due body is passed over")


def wake_nobody() -> None:
    """Do nothing when it is a body's turn."""


ENTRIES = st.lists(
    st.tuples(
        st.floats(0.0, 0.5),  # seconds after the previous one
        st.integers(LONG_BYTES + 1, 300_000),
        st.floats(0.0, 3.0),  # seconds until its target time
        st.one_of(st.just(LONG_SECONDS), st.floats(0.0, 6.0)),  # from then on until it expires
        st.integers(0, 1),
        st.sampled_from((0.0, 0.0, 0.05, 1.0)),
    ),
    max_size=40,
)


class OrderTest(unittest.TestCase):
    @given(ENTRIES)
    def test_no_body_is_passed_over_and_the_link_is_not_idle(
        self, entries: list[tuple[float, int, float, float, int, float]]
    ) -> None:
        link = SimulatedLink()
        for gap, size, target_time, more, rank, pause in entries:
            link.advance(link.now + gap)
            target_time += link.now
            link.enqueue(size, target_time, target_time + more, (rank, 0), pause)
        link.advance(link.now + LONG_SECONDS / 2)
        self.assertEqual((link.pending, link.scheduler._queue), ([], []))
        for item in link.all:
            self.assertTrue(item.ended_at < math.inf or item.body.expires_at < LONG_SECONDS / 2)

    def test_a_late_body_goes_after_half_of_its_remaining_time(self) -> None:
        link = SimulatedLink()
        for _ in range(10):
            link.enqueue(DOWNLOAD_BYTES, OBJECTIVE, DEADLINE)
        late = link.enqueue(DOWNLOAD_BYTES, -0.1, DEADLINE)
        transfer_seconds = link.seconds(DOWNLOAD_BYTES)
        newer = []
        for _ in range(round(DEADLINE / transfer_seconds)):
            link.advance(link.now + transfer_seconds)
            newer.append(link.enqueue(DOWNLOAD_BYTES, link.now + OBJECTIVE, link.now + DEADLINE))
        self.assertGreater(late.started_at, newer[0].started_at)
        self.assertLess(late.ended_at, late.halfway + 2 * transfer_seconds)

    def test_a_body_that_cannot_end_in_time_goes_last(self) -> None:
        link = SimulatedLink()
        hopeless = link.enqueue(10 * DOWNLOAD_BYTES, 0.1, 1.0)
        others = [link.enqueue(DOWNLOAD_BYTES, target_time, 5.0) for target_time in (0.1, 3.0)]
        link.advance(DEADLINE)
        self.assertGreaterEqual(hopeless.started_at, max(item.ended_at for item in others))

    def test_a_started_body_that_cannot_end_in_time_does_not_delay_others(self) -> None:
        """A started answer that cannot end in time must not delay those that can.

        A node stops while one long answer for it, of which 3.5 s are left, has started and four of
        0.2 s wait. At the node's end, 1.5 s later, all five were cut off: started bodies went
        before all others, even if sent for nothing.
        """
        link = SimulatedLink()
        hopeless = link.enqueue(20 * DOWNLOAD_BYTES, OBJECTIVE, DEADLINE)
        link.advance(0.1)
        others = [link.enqueue(DOWNLOAD_BYTES, OBJECTIVE, DEADLINE) for _ in range(4)]
        self.assertEqual(hopeless.started_at, 0.0)
        for item in (hopeless, *others):
            link.scheduler.expedite(item.body, RECEIVER_STOPPING, 1.5, 1.5, link.now)
        link.advance(DEADLINE)
        self.assertLess(max(item.ended_at for item in others), 1.5)

    def test_a_started_body_is_not_overtaken_until_its_deadline(self) -> None:
        """Callers saw downloads cut off in the middle at their deadline, without any stop.

        A download had started, and more urgent long answers that kept arriving all went before
        it, since rank took precedence over started bodies: 184 answers of the first rank were sent
        within the 20 s that a download of the last rank had, of which 163,611 bytes had been sent.
        """
        link = SimulatedLink()
        started_answer = link.enqueue(5 * DOWNLOAD_BYTES, OBJECTIVE, DEADLINE)
        link.advance(0.1)
        urgent = []
        while link.now < DEADLINE:
            urgent.append(
                link.enqueue(DOWNLOAD_BYTES, link.now + 1.0, link.now + DEADLINE, rank=(0, 0))
            )
            link.advance(link.now + link.seconds(DOWNLOAD_BYTES))
        self.assertLess(started_answer.ended_at, DEADLINE)
        with self.subTest("it waits for them while it has time"):
            before = [item for item in urgent if item.ended_at < started_answer.ended_at]
            self.assertGreater(len(before), 5)

    def test_a_started_body_that_is_slightly_late_continues(self) -> None:
        link = SimulatedLink()
        late = link.enqueue(10 * DOWNLOAD_BYTES, OBJECTIVE, DEADLINE)
        link.advance(0.1)
        other = link.enqueue(DOWNLOAD_BYTES, OBJECTIVE, DEADLINE)
        soon = link.seconds(10 * DOWNLOAD_BYTES) - OVERDUE_SECONDS / 2
        link.scheduler.expedite(late.body, RECEIVER_STOPPING, soon, soon, link.now)
        link.scheduler.expedite(other.body, RECEIVER_STOPPING, DEADLINE, DEADLINE, link.now)
        link.advance(soon - 0.01)
        self.assertEqual(other.started_at, math.inf)

    def test_the_target_time_is_bounded_by_the_expiry(self) -> None:
        link = SimulatedLink()
        other = link.enqueue(DOWNLOAD_BYTES, 1.0, DEADLINE)
        soon = link.enqueue(DOWNLOAD_BYTES, 5.0, 0.5)
        link.advance(DEADLINE)
        self.assertLess(soon.ended_at, other.started_at)

    def test_on_an_overloaded_link_accepted_answers_end_in_time(self) -> None:
        for seed in range(20):
            link = overloaded(random.Random(seed))
            self.assertGreater(len(link.all), 200)
            cut = sum(item.ended_at == math.inf for item in link.all)
            self.assertEqual(cut, 0, f"seed {seed}")


def overloaded(chance: random.Random) -> SimulatedLink:
    """Request 1.5 times the link's capacity; accept what should be in time, as gateways do."""
    link = SimulatedLink()
    link.scheduler.note_answer_size("export", DOWNLOAD_BYTES)
    transfer_seconds = link.scheduler.transfer_time("export")
    for _ in range(600):
        link.advance(link.now + chance.expovariate(1.5 / transfer_seconds))
        size = max(
            LONG_BYTES + 1, round(chance.lognormvariate(math.log(DOWNLOAD_BYTES) - 0.18, 0.6))
        )
        if link.scheduler.delivery_time("export", BULK, link.now) <= OBJECTIVE:
            link.enqueue(size, link.now + OBJECTIVE, link.now + DEADLINE)
        link.scheduler.note_sent(chance.choice((400, 5000)), link.now)
    link.advance(link.now + DEADLINE)
    return link


if __name__ == "__main__":
    unittest.main()
