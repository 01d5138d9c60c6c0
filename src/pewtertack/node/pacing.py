"""Paces long bodies on this machine's link (``pewtertack.routing.link``)."""

from __future__ import annotations

import asyncio
import math
from collections.abc import AsyncIterator, Callable
from types import TracebackType

from pewtertack.errors import PewtertackError
from pewtertack.routing.link import PART_BYTES, LinkScheduler
from pewtertack.routing.link_words import format_link_report
from pewtertack.routing.long_body import LongBody, Rank


class LinkEndsError(PewtertackError):
    """The node, or the node that receives the body, shuts down before a long body could be sent."""


class LinkPacer:
    """Lets tasks of the event loop wait until parts of their bodies may be sent.

    Args:
        clock: monotonic time in seconds.
        scheduler: decides which body may be sent when.
    """

    __slots__ = ("_clock", "scheduler")

    def __init__(self, clock: Callable[[], float], scheduler: LinkScheduler) -> None:
        self._clock = clock
        self.scheduler = scheduler

    def now(self) -> float:
        """Return monotonic seconds."""
        return self._clock()

    def note_sent(self, size: int) -> None:
        """Note a short message that was sent without waiting."""
        self.scheduler.note_sent(size, self._clock())

    def stop_at(self, moment: float) -> None:
        """See ``LinkScheduler.stop_at``."""
        self.scheduler.stop_at(moment, self._clock())

    def stops_before(self, route: str, rank: Rank, execution_seconds: float) -> bool:
        """See ``LinkScheduler.stops_before``."""
        return self.scheduler.stops_before(route, rank, self._clock(), execution_seconds)

    def delivery_time(self, route: str, rank: Rank) -> float:
        """See ``LinkScheduler.delivery_time``."""
        return self.scheduler.delivery_time(route, rank, self._clock())

    def link_report(self, route: str) -> str | None:
        """Return the report on the link for senders of requests of this route, if there is one."""
        return format_link_report(
            self.scheduler.total_queue_time(self._clock()), self.scheduler.transfer_time(route)
        )

    def queue_body(
        self,
        rank: Rank,
        size: int,
        target_time: float,
        started: bool = False,
        expires_at: float = math.inf,
        uncommitted_bytes: int = 0,
        no_alternative: bool = False,
    ) -> QueuedBody:
        """Queue one long body; the result is a context manager. See ``LinkScheduler.enqueue``."""
        enqueue = self.scheduler.enqueue
        return QueuedBody(
            self._clock,
            self.scheduler,
            lambda wake: enqueue(
                rank,
                size,
                target_time,
                wake,
                started,
                expires_at,
                uncommitted_bytes,
                no_alternative,
            ),
        )


class QueuedBody:
    """A long body in the link queue, from its entry to its end."""

    __slots__ = ("_body", "_changed", "_clock", "_scheduler")

    def __init__(
        self,
        clock: Callable[[], float],
        scheduler: LinkScheduler,
        enqueue: Callable[[Callable[[], None]], LongBody],
    ) -> None:
        self._clock = clock
        self._scheduler = scheduler
        self._changed = asyncio.Event()
        self._body = enqueue(self._changed.set)

    def __enter__(self) -> QueuedBody:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._scheduler.remove(self._body, self._clock())

    def expedite(self, rank: Rank, target_time: float, expires_at: float) -> None:
        """Move the body in the queue (``LinkScheduler.expedite``)."""
        self._scheduler.expedite(self._body, rank, target_time, expires_at, self._clock())

    async def parts(self, data: bytes) -> AsyncIterator[bytes]:
        """Yield the data in parts, each when it may be sent.

        Raises:
            LinkEndsError: a node shuts down too early to send it (``LinkScheduler.stop_at``).
        """
        for start in range(0, len(data), PART_BYTES):
            await self._wait()
            part = data[start : start + PART_BYTES]
            self._scheduler.note_part(self._body, len(part), self._clock())
            yield part

    async def _wait(self) -> None:
        while True:
            wait = self._scheduler.send_delay(self._body, self._clock())
            if self._body.handed_back:
                raise LinkEndsError("a node shuts down before the body could be sent")
            if wait is None:
                self._changed.clear()
                await self._changed.wait()
            elif wait > 0:
                await asyncio.sleep(wait)
            else:
                return
