"""An event loop in virtual time: where all tasks wait, the next timer is due at once."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Callable
from typing import Any

from pewtertack.errors import LabError
from pewtertack.lab.simulation.scheduler import Action

SelectedEvents = list[tuple[selectors.SelectorKey, int]]


class NothingDueError(LabError):
    """All tasks wait for something that no timer brings about."""

    code = "nothing-due"


class _SkippingSelector(selectors.DefaultSelector):
    """Passes over the time that a selector would wait."""

    skip: Callable[[float], None]

    def select(self, timeout: float | None = None) -> SelectedEvents:
        if timeout is None:
            raise NothingDueError("all tasks wait, and no timer runs")
        if timeout > 0:
            self.skip(timeout)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock stands still while tasks run, and then skips to the next timer."""

    def __init__(self) -> None:
        selector = _SkippingSelector()
        selector.skip = self._skip
        self._virtual_now = 0.0
        super().__init__(selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_now

    def _skip(self, seconds: float) -> None:
        self._virtual_now += seconds


class LoopTimer:
    """The virtual time of the running event loop, as simulated processes use it."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()

    @property
    def now(self) -> float:
        """The present moment."""
        return self._loop.time()

    def at(self, time: float, action: Action) -> None:
        """Run ``action`` at ``time``, or at once if that is past."""
        self._loop.call_at(time, action)

    def after(self, delay: float, action: Action) -> None:
        """Run ``action`` in ``delay`` seconds."""
        self._loop.call_later(delay, action)


def run_in_virtual_time(function: Callable[..., Any], *arguments: Any) -> Any:
    """Run a coroutine function to its end in virtual time and return its result.

    Raises:
        NothingDueError: it waits for what never comes.
    """
    import anyio

    options = {"loop_factory": VirtualTimeLoop}
    return anyio.run(function, *arguments, backend_options=options)
