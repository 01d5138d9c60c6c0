"""The deadlines of all requests under way, with one timer of the event loop for all of them.

A timer for each request was made and cancelled by nine functions of asyncio at either node, and
nearly none ever fires: most requests end long before their deadlines.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from heapq import heapify, heappop, heappush
from itertools import count

MIN_CANCELLED_TO_COMPACT = 128
"""From so many on, entries whose requests have ended are cleared away once they are the most."""


class Deadline:
    """One deadline: ``pass_`` is called once it is over, unless it is taken back before."""

    __slots__ = ("callback",)

    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback: Callable[[], None] | None = callback


class Deadlines:
    """The deadlines of one event loop."""

    __slots__ = ("_cancelled", "_heap", "_numbers", "_timer", "_timer_at", "loop")

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self._heap: list[tuple[float, int, Deadline]] = []
        self._numbers = count()
        self._cancelled = 0
        """Entries whose deadlines were taken back."""
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0.0

    def add(self, seconds: float, callback: Callable[[], None]) -> Deadline:
        """Have ``pass_`` called in so many seconds."""
        deadline = Deadline(callback)
        moment = self.loop.time() + seconds
        heappush(self._heap, (moment, next(self._numbers), deadline))
        if self._timer is None or moment < self._timer_at:
            self._arm(moment)
        return deadline

    def cancel(self, deadline: Deadline) -> None:
        """Do not call it; one that has passed is left alone."""
        if deadline.callback is None:
            return
        deadline.callback = None
        self._cancelled += 1
        if self._cancelled >= MIN_CANCELLED_TO_COMPACT and self._cancelled * 2 > len(self._heap):
            self._heap = [entry for entry in self._heap if entry[2].callback is not None]
            heapify(self._heap)
            self._cancelled = 0

    def _arm(self, moment: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = moment
        self._timer = self.loop.call_at(moment, self._expire_due)

    def _expire_due(self) -> None:
        """Call what is due; wait for the next that has not been taken back."""
        self._timer = None
        due = max(self.loop.time(), self._timer_at)
        while self._heap and (self._heap[0][0] <= due or self._heap[0][2].callback is None):
            deadline = heappop(self._heap)[2]
            if deadline.callback is None:
                self._cancelled -= 1
                continue
            callback, deadline.callback = deadline.callback, None
            callback()
        if self._heap:
            self._arm(self._heap[0][0])


_current: Deadlines | None = None


def deadlines() -> Deadlines:
    """Return those of the running loop; a process has one loop at a time."""
    global _current
    loop = asyncio.get_running_loop()
    if _current is None or _current.loop is not loop:
        _current = Deadlines(loop)
    return _current
