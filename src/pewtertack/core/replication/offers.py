"""Queue of offered configurations: the one being processed and the newest one waiting."""

from __future__ import annotations

from collections.abc import Callable

from pewtertack.core.effects import Effect
from pewtertack.core.replication.stages import DeliveryChannel
from pewtertack.core.slices import Budget, SlicedWork, Work

WorkFactory = Callable[[], Work[list[Effect]]]
"""Creates sliced work whose last step holds a configuration if it is newer and valid."""


class Offer:
    """An offered configuration, its number and the channel by which it arrived."""

    __slots__ = ("channel", "effects", "make_work", "number")

    def __init__(self, number: int, channel: DeliveryChannel, make_work: WorkFactory) -> None:
        self.number = number
        self.channel = channel
        self.make_work = make_work
        self.effects: list[Effect] = []
        """The effects of the completed work."""


class OfferQueue:
    """Processes one offered configuration after another.

    The current one is finished before a newer one is started. Otherwise versions in quick
    succession would prevent each other from ever being held.
    """

    __slots__ = ("_current", "_waiting", "_work")

    def __init__(self) -> None:
        self._work: SlicedWork[list[Effect]] | None = None
        self._current: Offer | None = None
        """The offer that is being processed."""
        self._waiting: Offer | None = None

    @property
    def is_working(self) -> bool:
        """Whether a configuration is being processed."""
        return self._work is not None

    @property
    def newest_number(self) -> int:
        """The highest number being processed or waiting, or 0 if there is none."""
        both = (self._current, self._waiting)
        return max((item.number for item in both if item is not None), default=0)

    def add(self, offered: Offer) -> None:
        """Start processing a configuration, or queue it in place of an older one."""
        if self._work is None:
            self._work, self._current = SlicedWork(offered.make_work()), offered
        elif self._waiting is None or offered.number >= self._waiting.number:
            self._waiting = offered

    def advance(self, budget: Budget) -> Offer | None:
        """Continue within ``budget``; return the offer once it is completed and start the next.

        Raises:
            DeltaMismatchError: a chain of deltas does not fit; the next offer is started.
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
