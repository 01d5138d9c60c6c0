"""The event loop of a node, whose time also passes while the machine is suspended.

The usual loop's clock stands still then: every timer that was armed before would fire late by
the whole suspension (a deadline of 2 s, 30 s late after 30 s), while the node's own clock has
gone on. With one clock for both, what has run out ends at the first turn after the wake. That
turn comes within a tick of the runtime, since the system's wait counts no suspension.
"""

from __future__ import annotations

import asyncio

from pewtertack.node import clock


class SuspendedTimeLoop(asyncio.SelectorEventLoop):
    """An event loop on ``clock.now``."""

    def time(self) -> float:
        """Return monotonic seconds, suspended ones included."""
        return clock.now()
