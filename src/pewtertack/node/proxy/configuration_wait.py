"""Holds requests without a matching route while a newer configuration is on its way.

The newer configuration may have the route. Such a request waits for it, limited in number and
time, or is refused as not run so that the caller may retry: "no such route" would be final.
"""

from __future__ import annotations

from collections.abc import Callable

import anyio

from pewtertack.core.replication.replica import Lag

MAX_WAITING = 64
"""Limit on waiting requests; each occupies its connection and its head, but no body."""
DEADLINE_SHARE = 0.25
"""Share of the time left until its deadline that a request may wait."""
MAX_WAIT_SECONDS = 1.0


def _no_lag() -> Lag:
    return Lag.NONE


class ConfigurationWait:
    """Wakes waiting requests when another configuration is in force.

    Args:
        clock: monotonic time in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.lag: Callable[[], Lag] = _no_lag
        """Returns what is known of a configuration newer than the one in force."""
        self.waiting = 0
        """Number of requests that wait for it."""
        self._clock = clock
        self._changed = anyio.Event()

    def notify_changed(self) -> None:
        """Wake the waiting requests: another configuration is in force."""
        self._changed.set()
        self._changed = anyio.Event()

    async def wait(self, deadline: float) -> bool:
        """Wait for another configuration; return whether there is one.

        Args:
            deadline: the request's deadline in monotonic seconds, which limits the wait.
        """
        if self.waiting >= MAX_WAITING or self.lag() is not Lag.COMING:
            return False
        changed, seconds_left = self._changed, deadline - self._clock()
        self.waiting += 1
        try:
            with anyio.move_on_after(min(seconds_left * DEADLINE_SHARE, MAX_WAIT_SECONDS)):
                await changed.wait()
        finally:
            self.waiting -= 1
        return changed.is_set()
