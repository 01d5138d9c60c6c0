"""Schedules long bodies on a machine's link, so that nothing short waits behind them.

All that a machine sends passes through one queue of its link. Each long body that is written at
once puts a full connection window into that queue; where a dozen are written together, each
answer of a few hundred bytes, and the machine's part in each new connection, waits for all
of them: with downloads of 90 kB on links of 5 Mbit/s answers of 400 bytes took 59 ms in the
median and 358 ms at the 90th percentile from one node to another, and new connections over
250 ms, where 2 ms are usual. So long bodies are sent in parts, one after the other, at the
link's rate. They are ordered by rank. Within a rank started bodies go first, unless they would end
too late for their receivers; then the due time decides. A body that can no longer be in time gets
a later due time, and one whose receiver would not wait for its end goes last.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from pewtertack.routing.long_body import FINISHING_SOON, LongBody, Rank, SchedulingKey
from pewtertack.routing.policies import LongBodyPolicy, Parameter, PolicyKind, policy
from pewtertack.routing.queueing import smoothed

LONG_BYTES = 16 * 1024
"""A longer body is scheduled; 13 ms of a link of 10 Mbit/s."""
PART_BYTES = 16 * 1024
"""A long body is sent in parts of this length."""
LINK_SHARE = 0.8
"""Share of the link's rate that long bodies and other recorded traffic may use: the rest is for
heads, acknowledgements and messages between nodes, which are not counted."""
SEND_AHEAD_BYTES = PART_BYTES
"""Bytes that may still be in the link's queue when the next part is sent. Without them the link
would be idle until the process, which may have only half a core, is scheduled."""
PROBE_INTERVAL_SECONDS = 1.0
"""If the answers of a route are too long for any deadline, one request per interval is let through,
since only answers show how long they are."""
SLOW_READER_SECONDS = 0.5
"""A body of which nothing was sent for this long is limited by its reader, not by the link: eight
parts pass a link of 2.5 Mbit/s in that time."""
OVERDUE_SECONDS = 0.5
"""A started body whose end would be sent more than this after it expires goes after all others of
its rank, since its receiver no longer accepts it. A stopping node waits as long for last
answers."""
LAST_RANK: Rank = (1 << 62, 0)
"""A rank behind all others."""
BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1_000_000


@policy(
    PolicyKind.LONG_BODIES,
    LongBodyPolicy.IN_TURNS,
    "Long bodies are sent one after the other at the link's rate; short ones wait for none.",
    Parameter("long_bytes", LONG_BYTES, "B", "13 ms of a link of 10 Mbit/s"),
    Parameter("link_share", LINK_SHARE, "", "the rest is for traffic that is not counted"),
)
class LinkScheduler:
    """Decides which long body may send its next part, and when. Times are monotonic seconds.

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
        """When the link's node stops; nothing can be sent after that."""
        self._queue: list[LongBody] = []
        self._sends_all_now = False
        """Whether all bodies may be sent without waiting."""
        self._arrivals = 0
        self._reserved_bytes: dict[Rank, int] = {}
        """Bytes of expected long answers, by rank; integers, so that sums are exact."""
        self._probed_at: dict[str, float] = {}
        """When a request of a route whose answers are too long was last let through or first
        refused."""
        self._mean_sizes: dict[str, float] = {}
        """Mean length in bytes of the long answers of each route; none for routes of short ones."""

    def note_sent(self, size: int, now: float) -> None:
        """Record bytes that were sent without being queued."""
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
        no_alternative: bool = False,
    ) -> LongBody:
        """Queue a long body; ``wake`` is called when its turn may have come.

        Args:
            rank: the request's rank.
            size: bytes.
            target_time: when the body should have been sent.
            wake: must not block.
            started: whether part of the same answer was sent before.
            expires_at: when the body must have been sent; after that its receiver has no use for
                it.
            uncommitted_bytes, no_alternative: see ``LongBody``.
        """
        self._arrivals += 1
        body = LongBody(rank, size, min(target_time, expires_at), self._arrivals, wake)
        body.started = started
        body.expires_at = expires_at
        body.uncommitted_bytes = uncommitted_bytes
        body.no_alternative = no_alternative
        self._queue.append(body)
        return body

    def expedite(
        self, body: LongBody, rank: Rank, target_time: float, expires_at: float, now: float
    ) -> None:
        """Reschedule a body that must be sent earlier than announced; see ``enqueue``."""
        body.rank = rank
        body.target_time = min(target_time, expires_at)
        body.expires_at = expires_at
        self._wake_next(now)

    def remove(self, body: LongBody, now: float) -> None:
        """Remove a body that has been sent or will not be sent."""
        if not body.handed_back:
            self._queue.remove(body)
        self._wake_next(now)

    def stop_at(self, stops_at: float, now: float) -> None:
        """Record that the link's node stops at ``stops_at`` and can send nothing after that.

        Started bodies continue, before all others. A body that cannot be sent by then is handed
        back while another source can send it: started shortly before, it would be cut off.
        """
        self._stops_at = stops_at
        self._hand_back(now)

    def _hand_back(self, now: float) -> None:
        """Remove bodies that cannot be sent before a node stops, if another source has them."""
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
        """Return when the body's sender stops, or its receiver's node no longer accepts it.

        A stopping receiver would not be there for a late body; others wait at least until their
        deadlines. At this node's stop a body of which it is the only source is better passed to the
        operating system (``send_all_now``).
        """
        node_stop = math.inf if body.no_alternative else self._stops_at
        return min(node_stop, body.expires_at) if body.receiver_stopping else node_stop

    def stops_before(self, route: str, rank: Rank, now: float, execution_seconds: float) -> bool:
        """Tell whether the node stops before it could run a request of the route and answer it."""
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
        """Return the body that may send the next part."""
        waiting = (item for item in self._queue if item.is_ready)
        return min(waiting, key=lambda item: self._scheduling_key(item, now), default=None)

    def _scheduling_key(self, item: LongBody, now: float) -> SchedulingKey:
        """Return the body's position in the queue; the smallest key goes first.

        When the node is stopping, bodies that other sources can send go last.
        """
        can_hand_back = item.uncommitted_bytes > 0 and not item.no_alternative
        is_deferred = self._stops_at < math.inf and can_hand_back
        end = now + item.remaining_bytes / self.bytes_per_second
        continues = item.started and end <= item.expires_at + OVERDUE_SECONDS
        # Otherwise more urgent bodies that keep arriving would delay it until it is cut off.
        rank = FINISHING_SOON if continues and self._is_finishing(item, now) else item.rank
        return is_deferred, rank, not continues, item.due_time(end), item.sequence

    def _is_finishing(self, item: LongBody, now: float) -> bool:
        """Tell whether a started body has, or had, at most twice the time that it needs.

        This remains true: the time needed shrinks with each part that is sent.
        """
        transfer_seconds = item.remaining_bytes / self.bytes_per_second
        item.is_urgent = item.is_urgent or (
            item.started and now + 2 * transfer_seconds >= item.expires_at
        )
        return item.is_urgent and not item.receiver_stopping

    def send_delay(self, body: LongBody, now: float) -> float | None:
        """Return the seconds after which the body may send a part.

        ``None`` while another body precedes it. That body is woken, since it may just have become
        the first.
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
        """Stop scheduling and let all bodies be sent at once.

        What this process keeps is lost when it ends, while the operating system goes on sending
        the data that it was given.
        """
        self._sends_all_now = True
        for body in sorted(self._queue, key=lambda item: (item.rank, not item.started)):
            body.wake()

    def note_part(self, body: LongBody, size: int, now: float) -> None:
        """Record that a part of the body was sent."""
        body.started = True
        body.is_ready = False
        body.last_sent_at = now
        body.remaining_bytes = max(0, body.remaining_bytes - size)
        body.uncommitted_bytes = max(0, body.uncommitted_bytes - size)
        self.note_sent(size, now)
        self._wake_next(now)

    def note_answer_size(self, route: str, size: int) -> None:
        """Update the mean length of a route's answers; routes of short ones are not recorded."""
        if size <= LONG_BYTES and route not in self._mean_sizes:
            return
        self._mean_sizes[route] = smoothed(self._mean_sizes.get(route, 0.0), float(size))

    def reserve(self, route: str, rank: Rank) -> int:
        """Reserve the expected bytes of an answer and return them, 0 if it is short."""
        size = round(self._mean_sizes.get(route, 0.0))
        if size <= LONG_BYTES:
            return 0
        self._reserved_bytes[rank] = self._reserved_bytes.get(rank, 0) + size
        return size

    def release(self, rank: Rank, reserved: int) -> None:
        """Cancel a reservation, since the answer is queued now or will not come."""
        remaining = self._reserved_bytes.pop(rank, 0) - reserved
        if remaining > 0:
            self._reserved_bytes[rank] = remaining

    def transfer_time(self, route: str) -> float:
        """Return the seconds for which an answer alone occupies the link; 0 if it is short."""
        size = self._mean_sizes.get(route, 0.0)
        return size / self.bytes_per_second if size > LONG_BYTES else 0.0

    def may_probe(self, route: str, now: float) -> bool:
        """Tell whether to let a request through although answers of its route are too long."""
        if now - self._probed_at.setdefault(route, now) < PROBE_INTERVAL_SECONDS:
            return False
        self._probed_at[route] = now
        return True

    def queue_time(self, rank: Rank, now: float) -> float:
        """Return the seconds for which other bodies occupy the link before one of the rank."""
        queued_bytes = self._queued_bytes(rank, now)
        queued_bytes += sum(total for other, total in self._reserved_bytes.items() if other <= rank)
        return max(0.0, self._free_at - now) + queued_bytes / self.bytes_per_second

    def total_queue_time(self, now: float) -> float:
        """Return the seconds for which all queued and expected bodies occupy the link."""
        return self.queue_time(LAST_RANK, now)

    def _queued_bytes(self, rank: Rank, now: float) -> float:
        """Return the queued bytes that are sent before a long answer of the rank."""
        return sum(
            float(item.remaining_bytes)
            for item in self._queue
            if item.rank <= rank or self._is_finishing(item, now)
            if not self._is_blocked(item, now)
        )

    def _is_blocked(self, item: LongBody, now: float) -> bool:
        """Tell whether its reader or sender is so slow that it does not occupy the link."""
        return not item.is_ready and now - item.last_sent_at >= SLOW_READER_SECONDS

    def delivery_time(self, route: str, rank: Rank, now: float) -> float:
        """Return the seconds until an answer of the route would be sent; 0 if it is short."""
        transfer_time = self.transfer_time(route)
        return transfer_time + self.queue_time(rank, now) if transfer_time else 0.0
