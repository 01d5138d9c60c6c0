"""The event loop of a node, whose time also passes while the machine is suspended.

The usual loop's clock stands still then: every timer that was armed before would fire late by
the whole suspension (a deadline of 2 s, 30 s late after 30 s), while the node's own clock has
gone on. With one clock for both, what has run out ends at the first turn after the wake. That
turn comes within a tick of the runtime, since the system's wait counts no suspension.
"""

from __future__ import annotations

import asyncio
import selectors

from pewtertack.node import clock

ReadyKeys = list[tuple[selectors.SelectorKey, int]]


class _SparingSelector(selectors.DefaultSelector):
    """Leaves out every second look at the sockets that would not wait.

    The loop looks at them before each round, also while callbacks are ready: what a request's
    bytes wake runs a round later, with a look in between that finds nothing. Of eight looks of
    a hop over two nodes four are left out; sockets wait for one round more at most.
    """

    def __init__(self) -> None:
        super().__init__()
        self._left_out = False

    def select(self, timeout: float | None = None) -> ReadyKeys:
        """Return the ready sockets; none at once every second time nothing need be waited for."""
        if timeout == 0 and not self._left_out:
            self._left_out = True
            return []
        self._left_out = False
        return super().select(timeout)


class BoottimeEventLoop(asyncio.SelectorEventLoop):
    """An event loop on ``clock.now``: monotonic seconds, suspended ones included."""

    def __init__(self) -> None:
        super().__init__(_SparingSelector())
        self.time = clock.now  # type: ignore[method-assign]

    def _ensure_fd_no_transport(self, fd: int) -> None:
        """Let a reader or writer be added or removed without a look for asyncio's transports.

        The look guards against a caller's mistake: a descriptor of such a transport. Those added
        here are of ``node.http.transport`` and of sockets without any; it took 12 calls of
        functions each time, 120 for the two connections of a hop that opens both.
        """
