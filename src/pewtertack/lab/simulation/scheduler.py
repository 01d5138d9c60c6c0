"""Discrete-event virtual time. All times are seconds."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from typing import Protocol

Action = Callable[[], None]


class Timer(Protocol):
    """Virtual time, and what is to happen in it."""

    @property
    def now(self) -> float:
        """The present moment."""

    def at(self, time: float, action: Action) -> None:
        """Run ``action`` at ``time``, or at once if that is past."""

    def after(self, delay: float, action: Action) -> None:
        """Run ``action`` in ``delay`` seconds."""


class Scheduler:
    """Runs actions in the order of their times; equal times in the order of scheduling."""

    def __init__(self, start: float = 0.0) -> None:
        self.now = start
        self._order = itertools.count()
        self._queue: list[tuple[float, int, Action]] = []

    def at(self, time: float, action: Action) -> None:
        """Run ``action`` at ``time``, or at once if that is past."""
        heapq.heappush(self._queue, (max(time, self.now), next(self._order), action))

    def after(self, delay: float, action: Action) -> None:
        """Run ``action`` in ``delay`` seconds."""
        self.at(self.now + delay, action)

    def run_until(self, time: float) -> None:
        """Run everything due up to ``time`` and stop there."""
        while self._queue and self._queue[0][0] <= time:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = time
