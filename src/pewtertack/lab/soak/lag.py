"""How late a process's own event loop runs, so that its delays are not blamed on others."""

from __future__ import annotations

import time
from collections import deque

import anyio

TICK_SECONDS = 0.01
KEPT_TICKS = 6000


class LagMeter:
    """Ticks, and remembers by how much each tick was late."""

    __slots__ = ("_due", "_ticks")

    def __init__(self) -> None:
        self._due = time.monotonic() + TICK_SECONDS
        self._ticks: deque[tuple[float, float]] = deque(maxlen=KEPT_TICKS)

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            self._due = time.monotonic() + TICK_SECONDS
            await anyio.sleep(TICK_SECONDS)
            now = time.monotonic()
            self._ticks.append((now, now - self._due))

    def worst_since(self, since: float) -> float:
        """Return the largest delay of any tick since a moment of the monotonic clock."""
        worst = max(0.0, time.monotonic() - self._due)
        for when, late in reversed(self._ticks):
            if when < since:
                break
            worst = max(worst, late)
        return worst
