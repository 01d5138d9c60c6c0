"""Requests without a route, at a node that knows of a newer configuration than it serves by.

The newer one may have the route. Such a request waits for it, within bounds of number and time, or
is refused as not run, so that the caller may retry: "no such route" would be final.
"""

from __future__ import annotations

from collections.abc import Callable

import anyio

from pewtertack.core.replication.replica import Lag

MAX_WAITING = 64
"""Requests that wait at once; each holds its connection and its head, none its body."""
DEADLINE_SHARE = 0.25
MAX_WAIT_SECONDS = 1.0
"""Seconds."""


def _no_lag() -> Lag:
    return Lag.NONE


class ConfigurationWait:
    """Tells requests when another configuration is in force.

    Args:
        clock: monotonic time in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.lag: Callable[[], Lag] = _no_lag
        """What is known of a newer configuration than the one in force."""
        self.waiting = 0
        """Requests that wait for it."""
        self._clock = clock
        self._changed = anyio.Event()

    def notify_changed(self) -> None:
        """Another configuration is in force."""
        self._changed.set()
        self._changed = anyio.Event()

    async def wait(self, deadline: float) -> bool:
        """Wait for another configuration; tell whether there is one.

        Args:
            deadline: of the request, in monotonic seconds; of its time a share is spent.
        """
        if self.waiting >= MAX_WAITING or self.lag() is not Lag.COMING:
            return False
        swapped, left = self._changed, deadline - self._clock()
        self.waiting += 1
        try:
            with anyio.move_on_after(min(left * DEADLINE_SHARE, MAX_WAIT_SECONDS)):
                await swapped.wait()
        finally:
            self.waiting -= 1
        return swapped.is_set()
