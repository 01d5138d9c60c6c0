"""Long work done in slices, so that other inputs are handled in between.

Work is a generator that yields the units done since the last yield and returns its result. A unit
is about the time in which one route is checked.
"""

from __future__ import annotations

import math
from collections.abc import Generator
from typing import Generic, TypeVar

WORK_UNITS_PER_TURN = 80
"""Units done in one turn of the event loop."""

Result = TypeVar("Result")
Work = Generator[float, None, Result]


class Budget:
    """The units that may still be done in this turn; without bound unless given."""

    __slots__ = ("left",)

    def __init__(self, units: float = math.inf) -> None:
        self.left = units


class SlicedWork(Generic[Result]):
    """Work under way."""

    __slots__ = ("_steps", "result")

    def __init__(self, steps: Work[Result]) -> None:
        self._steps = steps
        self.result: Result
        """What the work returned, once it is done."""

    def advance(self, budget: Budget) -> bool:
        """Work until the end or until the budget is spent; return whether it is done."""
        while budget.left > 0:
            try:
                budget.left -= next(self._steps)
            except StopIteration as end:
                self.result = end.value
                return True
        return False


def run_to_completion(steps: Work[Result]) -> Result:
    """Do all of the work at once."""
    work = SlicedWork(steps)
    work.advance(Budget())
    return work.result
