"""Writes log lines to a file descriptor without ever making a request wait for a reader.

Lines are kept in a bounded buffer and written in batches by the event loop. Where the
reader stalls, or more is logged than allowed, lines are left out, those of requests that
went well first; the log itself says how many.
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
ROUTINE_SHARE = 0.5
"""Share of the buffer that routine lines may fill."""
ROUTINE_LINES_PER_SECOND = 300.0
OTHER_LINES_PER_SECOND = 1000.0
BATCH_SECONDS = 0.1
"""Lines are written so often: a node that is killed loses those of so long. Each write wakes
the process; at 0.02 a busy node was woken 50 times a second for its log alone."""
GATHER_SECONDS = 0.04
"""Lines that have waited for so long are written along with what makes further ones: a wake for
the log alone takes 0.1 ms of processor time, and a node with 16 requests a second had one for
nearly every request."""
CLOSE_SECONDS = 0.2
"""How long the last lines may take when the process ends."""

LeftOutLine = Callable[[int, int], bytes]
"""Makes the line that tells how many routine and other lines were left out."""


class LineSink(Protocol):
    """Where an event log's lines go."""

    def write(self, line: bytes, routine: bool) -> None:
        """Take one line without its end."""


class _Allowance:
    """A token bucket that holds one second's lines."""

    def __init__(self, per_second: float, now: float) -> None:
        self._per_second = per_second
        self._left = per_second
        self._filled_at = now

    def take(self, now: float) -> bool:
        left = self._left + (now - self._filled_at) * self._per_second
        if left > self._per_second:
            left = self._per_second
        self._filled_at = now
        taken = left >= 1
        self._left = left - 1 if taken else left
        return taken


class BoundedWriter:
    """Batches lines to ``descriptor``; see the module's text.

    Outside a running event loop lines are written at once. ``clock`` tells how many lines are
    left out, and how long they wait for others, in monotonic seconds.
    """

    def __init__(
        self,
        descriptor: int,
        left_out_line: LeftOutLine,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._descriptor = descriptor
        self._left_out_line = left_out_line
        self._buffer = bytearray()
        self._clock = clock
        now = clock()
        self._allowances = {
            True: _Allowance(ROUTINE_LINES_PER_SECOND, now),
            False: _Allowance(OTHER_LINES_PER_SECOND, now),
        }
        self._left_out = {True: 0, False: 0}
        self._timer: asyncio.Handle | None = None
        """Writes what waits."""
        self._oldest = 0.0
        """Since when the first line waits for the timer."""
        self._waiting: asyncio.AbstractEventLoop | None = None
        self._selectable = _make_nonblocking(descriptor)

    def write(self, line: bytes, routine: bool) -> None:
        """Take one line; it may be left out."""
        now = self._clock()
        limit = BUFFER_BYTES * (ROUTINE_SHARE if routine else 1.0)
        if len(self._buffer) + len(line) > limit or not self._allowances[routine].take(now):
            self._left_out[routine] += 1
            return
        self._buffer += line
        self._buffer += b"\n"
        if self._waiting is None and (self._timer is None or now - self._oldest >= GATHER_SECONDS):
            self._schedule(now)

    def _schedule(self, now: float) -> None:
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.close()
            return
        if self._timer is None:
            self._oldest = now
            self._timer = loop.call_later(BATCH_SECONDS, self._flush)
        else:
            self._timer.cancel()
            self._oldest = math.inf
            self._timer = loop.call_soon(self._flush)

    def _flush(self) -> None:
        self._timer = None
        self._write_some()
        if self._buffer and self._selectable and self._waiting is None:
            self._waiting = asyncio.get_running_loop()
            self._waiting.add_writer(self._descriptor, self._on_writable)

    def _on_writable(self) -> None:
        self._write_some()
        if not self._buffer and self._waiting is not None:
            self._waiting.remove_writer(self._descriptor)
            self._waiting = None

    def _write_some(self) -> None:
        if any(self._left_out.values()) and len(self._buffer) < BUFFER_BYTES // 2:
            self._buffer += self._left_out_line(self._left_out[True], self._left_out[False])
            self._buffer += b"\n"
            self._left_out = {True: 0, False: 0}
        try:
            written = os.write(self._descriptor, self._buffer)
        except BlockingIOError:
            return
        except OSError:
            written = len(self._buffer)  # nobody reads any more; lines have nowhere to go
        del self._buffer[:written]

    def close(self) -> None:
        """Write what is left, for ``CLOSE_SECONDS`` at most."""
        give_up_at = time.monotonic() + CLOSE_SECONDS
        while self._buffer and time.monotonic() < give_up_at:
            before = len(self._buffer)
            self._write_some()
            if len(self._buffer) == before:
                time.sleep(BATCH_SECONDS / 10)


def _make_nonblocking(descriptor: int) -> bool:
    """Make a pipe or socket non-blocking; files never block and terminals are shared."""
    mode = os.fstat(descriptor).st_mode
    if not (stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode)):
        return False
    os.set_blocking(descriptor, False)
    return True
