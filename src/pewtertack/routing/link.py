"""Turns of long bodies on a machine's link, so that nothing short waits behind them.

What a machine sends waits in one line for its link. Each long body that is written at once
puts a window of the connection into that line; where a dozen are written together, each
answer of a few hundred bytes, and the machine's part in each new connection, waits for all
of them: with downloads of 90 kB on links of 5 Mbit/s answers of 400 bytes took 59 ms in the
middle and 358 ms in a tenth of all cases from one node to another, and new connections over
250 ms, where 2 ms are usual. So long bodies leave in parts, one after the other, at the
link's pace: by rank; then what has begun, unless for nothing; then by when each is due, which is
late for what can't be in time any more, and never for what nobody would wait for to its end.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from pewtertack.routing.long_body import FINISHING_SOON, LongBody, Rank, SchedulingKey
from pewtertack.routing.policies import LongBodyPolicy, Parameter, PolicyKind, policy
from pewtertack.routing.queueing import smoothed

LONG_BYTES = 16 * 1024
"""A longer body takes turns; 13 ms of a link of 10 Mbit/s."""
PART_BYTES = 16 * 1024
"""A long body leaves in parts of this length."""
LINK_SHARE = 0.8
"""Share of the link's rate that long bodies and what is noted beside them may fill: the rest
is for heads, acknowledgements and messages between nodes, which nobody counts."""
SEND_AHEAD_BYTES = PART_BYTES
"""So much may still be in the link's line when the next part follows, or the link stands idle
while a process with half a core gets its turn."""
PROBE_INTERVAL_SECONDS = 1.0
"""Of a route whose answers are too long for any deadline one request in so long is let through:
answers alone teach how long they are."""
SLOW_READER_SECONDS = 0.5
"""A body of which nothing has left for so long waits for its reader, not for the link: eight
parts of a link of 2.5 Mbit/s have gone meanwhile."""
OVERDUE_SECONDS = 0.5
"""What has begun and would end so much later than it is of use is sent for nothing: it lets all
others go first. A node that stops keeps as long for last answers."""
LAST_RANK: Rank = (1 << 62, 0)
"""Behind every rank that there is."""
BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1_000_000


@policy(
    PolicyKind.LONG_BODIES,
    LongBodyPolicy.IN_TURNS,
    "long bodies leave one after the other at the link's pace; short ones wait for none",
    Parameter("long_bytes", LONG_BYTES, "B", "13 ms of a link of 10 Mbit/s"),
    Parameter("link_share", LINK_SHARE, "", "the rest is for what nobody counts"),
)
class LinkScheduler:
    """Who may send a part of a long body, and when. Times are monotonic seconds.

    Args:
        megabits: the link's rate in Mbit/s.
    """

    __slots__ = (
        "_arrivals",
        "_stops_at",
        "_free_at",
        "_queue",
        "_sends_all_now",
        "_probed_at",
        "_reserved_bytes",
        "_mean_sizes",
        "bytes_per_second",
    )

    def __init__(self, megabits: float) -> None:
        self.bytes_per_second = megabits * BITS_PER_MEGABIT / BITS_PER_BYTE * LINK_SHARE
        self._free_at = 0.0
        """When the link will have carried all that was sent."""
        self._stops_at = math.inf
        """When the link's node carries nothing any longer."""
        self._queue: list[LongBody] = []
        self._sends_all_now = False
        """Whether nothing waits any longer."""
        self._arrivals = 0
        self._reserved_bytes: dict[Rank, int] = {}
        """Bytes of long answers that are to come, by rank; whole ones, so that they add up."""
        self._probed_at: dict[str, float] = {}
        """When a request of a route too long was last let through, or first refused."""
        self._mean_sizes: dict[str, float] = {}
        """Mean length of the long answers of each route; 0 bytes for routes without."""

    def note_sent(self, size: int, now: float) -> None:
        """Something was sent without waiting."""
        self._free_at = max(self._free_at, now) + size / self.bytes_per_second

    def enqueue(
        self,
        rank: Rank,
        size: int,
        target_time: float,
        wake: Callable[[], None],
        started: bool = False,
        expires_at: float = math.inf,
        uncommitted_bytes: int = 0,
        only_source: bool = False,
    ) -> LongBody:
        """Put a long body into the line; ``wake`` is called when its turn may have come.

        Args:
            rank: the request's.
            size: bytes.
            wanted: when it should have left.
            wake: must not block.
            begun: some of the same answer has left before.
            latest: until when it must have left, or it is sent for nothing.
            returnable, only_here: see ``LongBody``.
        """
        self._arrivals += 1
        body = LongBody(rank, size, min(target_time, expires_at), self._arrivals, wake)
        body.started = started
        body.expires_at = expires_at
        body.uncommitted_bytes = uncommitted_bytes
        body.only_source = only_source
        self._queue.append(body)
        return body

    def expedite(
        self, body: LongBody, rank: Rank, target_time: float, expires_at: float, now: float
    ) -> None:
        """Give a body another place, since it must have left earlier than it said (``enter``)."""
        body.rank = rank
        body.target_time = min(target_time, expires_at)
        body.expires_at = expires_at
        self._wake_next(now)

    def remove(self, body: LongBody, now: float) -> None:
        """The body has been sent, or will not be."""
        if not body.handed_back:
            self._queue.remove(body)
        self._wake_next(now)

    def stop_at(self, stops_at: float, now: float) -> None:
        """The link's node stops, and carries nothing after ``moment``.

        What has begun goes on, before all others. What can't leave by then is given back while
        it can be had elsewhere: begun shortly before the end, it would be broken off there.
        """
        self._stops_at = stops_at
        self._hand_back(now)

    def _hand_back(self, now: float) -> None:
        """Take out of the line what will not leave before a node stops, as far as it may be."""
        if self._stops_at == math.inf and not any(item.receiver_stopping for item in self._queue):
            return
        free_at = max(now, self._free_at)
        for body in sorted(self._queue, key=lambda item: self._scheduling_key(item, now)):
            if self._is_blocked(body, now):
                continue
            left_at = free_at + body.remaining_bytes / self.bytes_per_second
            if left_at <= self._cutoff_for(body) or not body.uncommitted_bytes:
                free_at = left_at
                continue
            self._queue.remove(body)
            body.handed_back = True
            body.wake()

    def _cutoff_for(self, body: LongBody) -> float:
        """Return when the node carries the body no longer, or its receiver's node takes it no more.

        That one would not live to see it late; the others at least wait until their deadlines.
        What could be had nowhere else is better given to the system at this node's end (``open``).
        """
        node_stop = math.inf if body.only_source else self._stops_at
        return min(node_stop, body.expires_at) if body.receiver_stopping else node_stop

    def stops_before(self, route: str, rank: Rank, now: float, execution_seconds: float) -> bool:
        """Tell whether the node stops before an answer of the route, not run yet, has left."""
        transfer_time = self.transfer_time(route)
        if not transfer_time or self._stops_at == math.inf:
            return False
        queue_seconds = self._queued_bytes(rank, now) / self.bytes_per_second
        free_at = max(now, self._free_at) + queue_seconds
        return max(free_at, now + execution_seconds) + transfer_time > self._stops_at

    def _wake_next(self, now: float) -> None:
        next_body = self._next(now)
        if next_body is not None:
            next_body.wake()

    def _next(self, now: float) -> LongBody | None:
        """Return whose turn is next."""
        waiting = (item for item in self._queue if item.is_ready)
        return min(waiting, key=lambda item: self._scheduling_key(item, now), default=None)

    def _scheduling_key(self, item: LongBody, now: float) -> SchedulingKey:
        """Return the body's place in the line; the smallest goes first.

        Where the node stops, what can be had elsewhere lets all go first that can not.
        """
        can_hand_back = item.uncommitted_bytes > 0 and not item.only_source
        is_deferred = self._stops_at < math.inf and can_hand_back
        end = now + item.remaining_bytes / self.bytes_per_second
        continues = item.started and end <= item.expires_at + OVERDUE_SECONDS
        # Else what is more urgent and keeps coming would have it broken off, sent for nothing.
        rank = FINISHING_SOON if continues and self._is_finishing(item, now) else item.rank
        return is_deferred, rank, not continues, item.due_time(end), item.sequence

    def _is_finishing(self, item: LongBody, now: float) -> bool:
        """Tell whether no more time was left to it once than twice what it then took.

        It stays so: with each part that leaves, what is left takes less.
        """
        transfer_seconds = item.remaining_bytes / self.bytes_per_second
        item.is_urgent = item.is_urgent or (
            item.started and now + 2 * transfer_seconds >= item.expires_at
        )
        return item.is_urgent and not item.receiver_stopping

    def send_delay(self, body: LongBody, now: float) -> float | None:
        """Return in how many seconds it may send a part.

        ``None`` while another goes first, which is woken: it may have become the first since.
        """
        body.is_ready = True
        if self._sends_all_now:
            return 0.0
        self._hand_back(now)
        if self._next(now) is not body:
            self._wake_next(now)
            return None
        return max(0.0, self._free_at - SEND_AHEAD_BYTES / self.bytes_per_second - now)

    def send_all_now(self) -> None:
        """Let everything go at once from now on: what this process keeps ends with it, while the
        system goes on sending what it was given.
        """
        self._sends_all_now = True
        for body in sorted(self._queue, key=lambda item: (item.rank, not item.started)):
            body.wake()

    def note_part(self, body: LongBody, size: int, now: float) -> None:
        """A part of the body was sent."""
        body.started = True
        body.is_ready = False
        body.last_sent_at = now
        body.remaining_bytes = max(0, body.remaining_bytes - size)
        body.uncommitted_bytes = max(0, body.uncommitted_bytes - size)
        self.note_sent(size, now)
        self._wake_next(now)

    def note_answer_size(self, route: str, size: int) -> None:
        """Learn how long the answers of a route are; routes of short ones are not kept."""
        if size <= LONG_BYTES and route not in self._mean_sizes:
            return
        self._mean_sizes[route] = smoothed(self._mean_sizes.get(route, 0.0), float(size))

    def reserve(self, route: str, rank: Rank) -> int:
        """An answer of the route is to come; return the bytes to reckon with, 0 if it is short."""
        size = round(self._mean_sizes.get(route, 0.0))
        if size <= LONG_BYTES:
            return 0
        self._reserved_bytes[rank] = self._reserved_bytes.get(rank, 0) + size
        return size

    def release(self, rank: Rank, reserved: int) -> None:
        """What was promised is in line now, or will not come."""
        left = self._reserved_bytes.pop(rank, 0) - reserved
        if left > 0:
            self._reserved_bytes[rank] = left

    def transfer_time(self, route: str) -> float:
        """Return the seconds that an answer of the route takes alone; 0 if it is short."""
        size = self._mean_sizes.get(route, 0.0)
        return size / self.bytes_per_second if size > LONG_BYTES else 0.0

    def may_probe(self, route: str, now: float) -> bool:
        """Tell whether to let a request through although answers of its route are too long."""
        if now - self._probed_at.setdefault(route, now) < PROBE_INTERVAL_SECONDS:
            return False
        self._probed_at[route] = now
        return True

    def queue_time(self, rank: Rank, now: float) -> float:
        """Return the seconds for which others take the link before a long answer of the rank."""
        queued_bytes = self._queued_bytes(rank, now)
        queued_bytes += sum(total for other, total in self._reserved_bytes.items() if other <= rank)
        return max(0.0, self._free_at - now) + queued_bytes / self.bytes_per_second

    def total_queue_time(self, now: float) -> float:
        """Return the seconds that all take the link that stand in its line or are to come."""
        return self.queue_time(LAST_RANK, now)

    def _queued_bytes(self, rank: Rank, now: float) -> float:
        """Return the bytes in line of what goes before a long answer of the rank."""
        return sum(
            float(item.remaining_bytes)
            for item in self._queue
            if item.rank <= rank or self._is_finishing(item, now)
            if not self._is_blocked(item, now)
        )

    def _is_blocked(self, item: LongBody, now: float) -> bool:
        """Tell whether its reader, or its sender, is slow, so that it takes nobody's time."""
        return not item.is_ready and now - item.last_sent_at >= SLOW_READER_SECONDS

    def delivery_time(self, route: str, rank: Rank, now: float) -> float:
        """Return in how many seconds an answer of the route would have left; 0 if it is short."""
        transfer_time = self.transfer_time(route)
        return transfer_time + self.queue_time(rank, now) if transfer_time else 0.0
