"""Configurations that were offered: one under work, and the newest of those that came meanwhile."""

from __future__ import annotations

from collections.abc import Callable

from pewtertack.core.effects import Effect
from pewtertack.core.replication.stages import DeliveryChannel
from pewtertack.core.slices import Budget, SlicedWork, Work

WorkFactory = Callable[[], Work[list[Effect]]]
"""Begins work that holds a configuration in its last step, if it is newer and valid."""


class Offer:
    """A configuration that was offered, by its number, and how it came."""

    __slots__ = ("effects", "make_work", "number", "channel")

    def __init__(self, number: int, way: DeliveryChannel, make: WorkFactory) -> None:
        self.number = number
        self.channel = way
        self.make_work = make
        self.effects: list[Effect] = []
        """What came of it."""


class OfferQueue:
    """Takes in one configuration after another.

    What is under work is finished before a newer one is begun: else versions that follow each
    other quickly would keep each other from ever being held.
    """

    __slots__ = ("_current", "_waiting", "_work")

    def __init__(self) -> None:
        self._work: SlicedWork[list[Effect]] | None = None
        self._current: Offer | None = None
        """What is under work."""
        self._waiting: Offer | None = None

    @property
    def is_working(self) -> bool:
        """Whether a configuration is under work."""
        return self._work is not None

    @property
    def newest_number(self) -> int:
        """The highest number under work or waiting; 0 for none."""
        both = (self._current, self._waiting)
        return max((item.number for item in both if item is not None), default=0)

    def add(self, offered: Offer) -> None:
        """Begin the work on a configuration, or let it wait in place of an older one."""
        if self._work is None:
            self._work, self._current = SlicedWork(offered.make_work()), offered
        elif self._waiting is None or offered.number >= self._waiting.number:
            self._waiting = offered

    def advance(self, budget: Budget) -> Offer | None:
        """Go on with the work; return what was offered once it is done, and begin the next.

        Raises:
            DeltaMismatchError: a chain of deltas does not fit; the next is begun.
        """
        work, offered = self._work, self._current
        if work is None or offered is None:
            return None
        try:
            done = work.advance(budget)
        except BaseException:
            self._begin_next()
            raise
        if not done:
            return None
        self._begin_next()
        offered.effects = work.result
        return offered

    def _begin_next(self) -> None:
        waiting, self._waiting = self._waiting, None
        self._work = self._current = None
        if waiting is not None:
            self.add(waiting)
