"""Event loop of a node, whose time includes suspensions of the machine.

The default loop's clock stands still during a suspension: every timer armed before would fire late
by its whole length (a deadline of 2 s would fire 30 s late after 30 s), while the node's own clock
goes on. With one clock for both, expired timers fire in the first iteration after the wake-up. It
comes within a tick of the runtime, since the kernel's wait does not count suspensions.
"""

from __future__ import annotations

import asyncio
import selectors

from pewtertack.node import clock

ReadyKeys = list[tuple[selectors.SelectorKey, int]]


class _SkippingSelector(selectors.DefaultSelector):
    """Skips every second poll of the sockets that would not block.

    The loop polls before each iteration, even while callbacks are ready: the callbacks that a
    request's bytes wake run an iteration later, with a poll in between that finds nothing. Of eight
    polls of a hop over two nodes four are skipped; sockets wait for one more iteration at most.
    """

    def __init__(self) -> None:
        super().__init__()
        self._skipped = False

    def select(self, timeout: float | None = None) -> ReadyKeys:
        """Return the ready sockets; every second non-blocking call returns none at once."""
        if timeout == 0 and not self._skipped:
            self._skipped = True
            return []
        self._skipped = False
        return super().select(timeout)


class BoottimeEventLoop(asyncio.SelectorEventLoop):
    """An event loop on ``clock.now``: monotonic seconds that include suspensions."""

    def __init__(self) -> None:
        super().__init__(_SkippingSelector())
        self.time = clock.now  # type: ignore[method-assign]

    def _ensure_fd_no_transport(self, fd: int) -> None:
        """Skip the check that a descriptor does not belong to one of asyncio's transports.

        The check guards against a mistake of the caller. The descriptors used here belong to
        ``node.http.transport`` or to plain sockets. It took 12 function calls each time, 120 for
        the two connections of a hop that opens both.
        """
