"""Cooperative slicing of long work, so that other inputs are handled in between.

Work is a generator that yields the units done since the last yield and returns its result. One
unit is about the time that checking one route takes.
"""

from __future__ import annotations

import math
from collections.abc import Generator
from typing import Generic, TypeVar

UNITS_PER_TURN = 80
"""Work units done in one turn of the event loop."""

Result = TypeVar("Result")
Work = Generator[float, None, Result]


class Budget:
    """The units that may still be done in this turn; unlimited by default."""

    __slots__ = ("remaining_units",)

    def __init__(self, units: float = math.inf) -> None:
        self.remaining_units = units


class SlicedWork(Generic[Result]):
    """Work in progress that is done in slices."""

    __slots__ = ("_steps", "result")

    def __init__(self, steps: Work[Result]) -> None:
        self._steps = steps
        self.result: Result
        """The result of the work, once it is done."""

    def advance(self, budget: Budget) -> bool:
        """Run until the work is done or the budget is used up; return whether it is done."""
        while budget.remaining_units > 0:
            try:
                budget.remaining_units -= next(self._steps)
            except StopIteration as end:
                self.result = end.value
                return True
        return False


def run_to_completion(steps: Work[Result]) -> Result:
    """Do all of the work at once and return its result."""
    work = SlicedWork(steps)
    work.advance(Budget())
    return work.result
