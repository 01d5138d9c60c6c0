"""Discrete-event scheduler in virtual time. All times are in seconds."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from typing import Protocol

Action = Callable[[], None]


class Timer(Protocol):
    """Virtual clock that runs actions at given times."""

    @property
    def now(self) -> float:
        """The current virtual time."""

    def at(self, time: float, action: Action) -> None:
        """Run ``action`` at ``time``, or immediately if that time has passed."""

    def after(self, delay: float, action: Action) -> None:
        """Run ``action`` in ``delay`` seconds."""


class Scheduler:
    """Runs actions in the order of their times; at equal times in the order of scheduling."""

    def __init__(self, start: float = 0.0) -> None:
        self.now = start
        self._order = itertools.count()
        self._queue: list[tuple[float, int, Action]] = []

    def at(self, time: float, action: Action) -> None:
        """Run ``action`` at ``time``, or immediately if that time has passed."""
        heapq.heappush(self._queue, (max(time, self.now), next(self._order), action))

    def after(self, delay: float, action: Action) -> None:
        """Run ``action`` in ``delay`` seconds."""
        self.at(self.now + delay, action)

    def run_until(self, time: float) -> None:
        """Run all actions that are due up to ``time``, then set the clock to ``time``."""
        while self._queue and self._queue[0][0] <= time:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = time
