"""An asyncio event loop in virtual time.

When all tasks wait, the clock is advanced to the next timer instead of waiting for it.
"""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Callable
from typing import Any

from pewtertack.errors import LabError
from pewtertack.lab.simulation.scheduler import Action

SelectedEvents = list[tuple[selectors.SelectorKey, int]]


class NothingDueError(LabError):
    """All tasks wait, but no timer is scheduled that could wake one of them."""

    code = "nothing-due"


class _TimeAdvancingSelector(selectors.DefaultSelector):
    """Advances the virtual clock by the timeout instead of waiting."""

    advance: Callable[[float], None]

    def select(self, timeout: float | None = None) -> SelectedEvents:
        if timeout is None:
            raise NothingDueError("all tasks are waiting and no timer is scheduled")
        if timeout > 0:
            self.advance(timeout)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock stops while tasks run and then advances to the next timer."""

    def __init__(self) -> None:
        selector = _TimeAdvancingSelector()
        selector.advance = self._advance
        self._virtual_now = 0.0
        super().__init__(selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_now

    def _advance(self, seconds: float) -> None:
        self._virtual_now += seconds


class LoopTimer:
    """The ``Timer`` of simulated processes, on the virtual time of the running event loop."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()

    @property
    def now(self) -> float:
        """The current virtual time."""
        return self._loop.time()

    def at(self, time: float, action: Action) -> None:
        """Run ``action`` at ``time``, or immediately if that time has passed."""
        self._loop.call_at(time, action)

    def after(self, delay: float, action: Action) -> None:
        """Run ``action`` in ``delay`` seconds."""
        self._loop.call_later(delay, action)


def run_in_virtual_time(function: Callable[..., Any], *arguments: Any) -> Any:
    """Run a coroutine function in virtual time and return its result.

    Raises:
        NothingDueError: all tasks wait, but no timer is scheduled.
    """
    import anyio

    options = {"loop_factory": VirtualTimeLoop}
    return anyio.run(function, *arguments, backend_options=options)
