"""Clocks of the daemon. Only this module and the log ask the system for the time."""

from __future__ import annotations

import time


def now() -> float:
    """Return seconds that also pass while the process or its machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def suspended_seconds() -> float:
    """Return for how long the machine has been suspended since it started.

    The steady clock stands still meanwhile and the one of ``now`` goes on.
    """
    return now() - time.monotonic()


def unix_time() -> float:
    """Return Unix time in seconds."""
    return time.time()


def new_incarnation() -> int:
    """Return the incarnation of a process that starts now: Unix time in milliseconds."""
    return time.time_ns() // 1_000_000
