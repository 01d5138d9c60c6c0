"""Writes log lines to a file descriptor without ever delaying a request for a slow reader.

Lines are kept in a bounded buffer that the event loop writes in batches. If the reader
stalls, or the rate limit is exceeded, lines are dropped, those of successful requests
first; a line in the log tells how many.
"""

from __future__ import annotations

import asyncio
import math
import os
import stat
import time
from collections.abc import Callable
from typing import Protocol

BUFFER_BYTES = 256 * 1024
ROUTINE_BUFFER_SHARE = 0.5
"""Fraction of the buffer that routine lines may fill."""
ROUTINE_LINES_PER_SECOND = 300.0
OTHER_LINES_PER_SECOND = 1000.0
FLUSH_INTERVAL_SECONDS = 0.1
"""Interval between writes, so a killed node loses at most the lines of this period. Each write
wakes the process; with 0.02 a busy node woke 50 times a second for its log alone."""
COALESCE_SECONDS = 0.04
"""Buffered lines older than this are written as soon as a further line is logged, while the
process is awake anyway: a wake-up for the log alone takes 0.1 ms of processor time, and a node
with 16 requests a second had one for nearly every request."""
CLOSE_TIMEOUT_SECONDS = 0.2
"""Time limit for writing the remaining lines when the process exits."""

DroppedLineFactory = Callable[[int, int], bytes]
"""Returns the line that reports how many routine and other lines were dropped."""


class LineSink(Protocol):
    """The destination of an event log's lines."""

    def write(self, line: bytes, routine: bool) -> None:
        """Write one line, given without its line terminator."""


class _TokenBucket:
    """A token bucket with the capacity of one second's lines."""

    def __init__(self, per_second: float, now: float) -> None:
        self._lines_per_second = per_second
        self._tokens = per_second
        self._refilled_at = now

    def try_acquire(self, now: float) -> bool:
        tokens = self._tokens + (now - self._refilled_at) * self._lines_per_second
        if tokens > self._lines_per_second:
            tokens = self._lines_per_second
        self._refilled_at = now
        allowed = tokens >= 1
        self._tokens = tokens - 1 if allowed else tokens
        return allowed


class BoundedWriter:
    """Writes lines to ``descriptor`` in batches; see the description of the module.

    Without a running event loop, lines are written immediately. ``clock`` returns monotonic
    seconds, used for the rate limits and the age of buffered lines.
    """

    def __init__(
        self,
        descriptor: int,
        make_dropped_line: DroppedLineFactory,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._descriptor = descriptor
        self._make_dropped_line = make_dropped_line
        self._buffer = bytearray()
        self._clock = clock
        now = clock()
        self._rate_limits = {
            True: _TokenBucket(ROUTINE_LINES_PER_SECOND, now),
            False: _TokenBucket(OTHER_LINES_PER_SECOND, now),
        }
        self._dropped = {True: 0, False: 0}
        self._flush_handle: asyncio.Handle | None = None
        """The scheduled write of the buffer."""
        self._scheduled_at = 0.0
        """When the write was scheduled, and thus how old the first line is; infinite once the write
        is due immediately."""
        self._writable_loop: asyncio.AbstractEventLoop | None = None
        self._awaits_writable = _make_nonblocking(descriptor)

    def write(self, line: bytes, routine: bool) -> None:
        """Buffer one line, or drop it if the buffer is full or the rate limit exceeded."""
        now = self._clock()
        limit = BUFFER_BYTES * (ROUTINE_BUFFER_SHARE if routine else 1.0)
        if len(self._buffer) + len(line) > limit or not self._rate_limits[routine].try_acquire(now):
            self._dropped[routine] += 1
            return
        self._buffer += line
        self._buffer += b"\n"
        if self._writable_loop is None and (
            self._flush_handle is None or now - self._scheduled_at >= COALESCE_SECONDS
        ):
            self._schedule(now)

    def _schedule(self, now: float) -> None:
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.close()
            return
        if self._flush_handle is None:
            self._scheduled_at = now
            self._flush_handle = loop.call_later(FLUSH_INTERVAL_SECONDS, self._flush)
        else:
            self._flush_handle.cancel()
            self._scheduled_at = math.inf
            self._flush_handle = loop.call_soon(self._flush)

    def _flush(self) -> None:
        self._flush_handle = None
        self._write_available()
        if self._buffer and self._awaits_writable and self._writable_loop is None:
            self._writable_loop = asyncio.get_running_loop()
            self._writable_loop.add_writer(self._descriptor, self._on_writable)

    def _on_writable(self) -> None:
        self._write_available()
        if not self._buffer and self._writable_loop is not None:
            self._writable_loop.remove_writer(self._descriptor)
            self._writable_loop = None

    def _write_available(self) -> None:
        if any(self._dropped.values()) and len(self._buffer) < BUFFER_BYTES // 2:
            self._buffer += self._make_dropped_line(self._dropped[True], self._dropped[False])
            self._buffer += b"\n"
            self._dropped = {True: 0, False: 0}
        try:
            written = os.write(self._descriptor, self._buffer)
        except BlockingIOError:
            return
        except OSError:
            written = len(self._buffer)  # the reader has closed its end; discard the lines
        del self._buffer[:written]

    def close(self) -> None:
        """Write the remaining lines, for at most ``CLOSE_TIMEOUT_SECONDS``."""
        give_up_at = time.monotonic() + CLOSE_TIMEOUT_SECONDS
        while self._buffer and time.monotonic() < give_up_at:
            before = len(self._buffer)
            self._write_available()
            if len(self._buffer) == before:
                time.sleep(FLUSH_INTERVAL_SECONDS / 10)


def _make_nonblocking(descriptor: int) -> bool:
    """Make a pipe or socket non-blocking, and return whether it is one.

    Files never block, and a terminal is shared with other processes.
    """
    mode = os.fstat(descriptor).st_mode
    if not (stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode)):
        return False
    os.set_blocking(descriptor, False)
    return True
