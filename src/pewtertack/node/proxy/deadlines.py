"""The deadlines of all active requests, with one event-loop timer for all of them.

A timer per request costs calls of nine asyncio functions to create and cancel at each of the two
nodes, and almost none of them fires: most requests end long before their deadlines.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from heapq import heapify, heappop, heappush
from itertools import count

MIN_CANCELLED_TO_COMPACT = 128
"""Cancelled entries are removed once there are this many and they outnumber the others."""


class Deadline:
    """One deadline. ``callback`` is called when it passes; ``None`` once passed or cancelled."""

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
        """Number of entries whose deadlines were cancelled."""
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0.0

    def add(self, seconds: float, callback: Callable[[], None]) -> Deadline:
        """Have ``callback`` called in ``seconds``."""
        deadline = Deadline(callback)
        moment = self.loop.time() + seconds
        heappush(self._heap, (moment, next(self._numbers), deadline))
        if self._timer is None or moment < self._timer_at:
            self._arm(moment)
        return deadline

    def cancel(self, deadline: Deadline) -> None:
        """Cancel the deadline; does nothing if it has passed."""
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
        """Call the callbacks that are due; set the timer for the next one."""
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


def loop_deadlines() -> Deadlines:
    """Return the deadlines of the running loop; a process has one loop at a time."""
    global _current
    loop = asyncio.get_running_loop()
    if _current is None or _current.loop is not loop:
        _current = Deadlines(loop)
    return _current
