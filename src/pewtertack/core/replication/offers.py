"""Configurations that were offered: one under work, and the newest of those that came meanwhile."""

from __future__ import annotations

from collections.abc import Callable

from pewtertack.core.effects import Effect
from pewtertack.core.replication.stages import Way
from pewtertack.core.slices import Budget, LongWork, Work

MakeWork = Callable[[], Work[list[Effect]]]
"""Begins work that holds a configuration in its last step, if it is newer and valid."""


class _Offer:
    __slots__ = ("make", "number", "way")

    def __init__(self, number: int, make: MakeWork, way: Way) -> None:
        self.number = number
        self.make = make
        self.way = way


class Offers:
    """Takes in one configuration after another.

    What is under work is finished before a newer one is begun: else versions that follow each
    other quickly would keep each other from ever being held.
    """

    __slots__ = ("_number", "_waiting", "_work", "way")

    def __init__(self) -> None:
        self._work: LongWork[list[Effect]] | None = None
        self._number = 0
        self.way = Way.UNKNOWN
        """How the configuration under work came."""
        self._waiting: _Offer | None = None

    @property
    def is_working(self) -> bool:
        """Whether a configuration is under work."""
        return self._work is not None

    @property
    def newest(self) -> int:
        """The highest number under work or waiting; 0 for none."""
        return max(self._number, self._waiting.number if self._waiting is not None else 0)

    def add(self, number: int, make: MakeWork, way: Way) -> None:
        """Begin the work on a configuration, or let it wait in place of an older one."""
        if self._work is None:
            self._work, self._number, self.way = LongWork(make()), number, way
        elif self._waiting is None or number >= self._waiting.number:
            self._waiting = _Offer(number, make, way)

    def advance(self, budget: Budget) -> list[Effect] | None:
        """Go on with the work; return its effects once it is done, and begin the next.

        Raises:
            DeltaMismatchError: a chain of deltas does not fit; the next is begun.
        """
        work = self._work
        if work is None:
            return None
        try:
            done = work.advance(budget)
        except BaseException:
            self._begin_next()
            raise
        if not done:
            return None
        self._begin_next()
        return work.result

    def _begin_next(self) -> None:
        waiting, self._waiting = self._waiting, None
        self._work, self._number = None, 0
        if waiting is not None:
            self.add(waiting.number, waiting.make, waiting.way)
