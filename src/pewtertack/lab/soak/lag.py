"""Measures the lag of this process's event loop, so that it can be subtracted from latencies."""

from __future__ import annotations

import time
from collections import deque

import anyio

TICK_SECONDS = 0.01
MAX_TICKS = 6000


class LagMeter:
    """Sleeps for short periods and records by how much each wakeup was late."""

    __slots__ = ("_due_at", "_ticks")

    def __init__(self) -> None:
        self._due_at = time.monotonic() + TICK_SECONDS
        self._ticks: deque[tuple[float, float]] = deque(maxlen=MAX_TICKS)
        """Time of each wakeup in monotonic seconds, with its lag."""

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            self._due_at = time.monotonic() + TICK_SECONDS
            await anyio.sleep(TICK_SECONDS)
            now = time.monotonic()
            self._ticks.append((now, now - self._due_at))

    def worst_since(self, since: float) -> float:
        """Return the largest lag in seconds of any tick since ``since``, in monotonic seconds."""
        worst = max(0.0, time.monotonic() - self._due_at)
        for woke_at, lag in reversed(self._ticks):
            if woke_at < since:
                break
            worst = max(worst, lag)
        return worst
