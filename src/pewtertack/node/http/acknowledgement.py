"""Detects that a connection's peer machine is gone rather than merely slow to read.

``TCP_USER_TIMEOUT`` ends a connection whose sent bytes stay unacknowledged for a time. The same
timeout also ends one whose receiver reads nothing because its process, or the link behind it, is
slow and its buffer is full; such a machine still answers every window probe. So while a long body
is being sent, the kernel's timeout is switched off and ``struct tcp_info`` is checked periodically
instead: only data or probes without any response count. A peer that disappears while its buffer is
full is detected by two window probes, which the kernel sends after 0.2 s and then after twice the
previous interval.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import os
import socket
import struct
from collections.abc import Callable

import msgspec

from pewtertack.node.http.cycle import LOGGER_NAME
from pewtertack.node.http.outgoing import unacknowledged_bytes
from pewtertack.node.http.tcp_info import tcp_info
from pewtertack.node.http.transport import (
    ACK_TIMEOUT_SECONDS,
    MILLISECONDS_PER_SECOND,
    set_user_timeout,
)

CHECK_INTERVAL_SECONDS = 0.1
"""Interval between checks of a connection that carries a long body."""
UNANSWERED_PROBES = 2
"""A kernel answers at most one window probe in 0.5 s, so it may leave the second one, sent 0.4 s
after the first, unanswered while the machine is alive."""
NO_TIMEOUT = 0
"""Removes the limit of ``TCP_USER_TIMEOUT``."""
PROBES_OFFSET = 3
"""Offset of the byte with the number of unanswered window probes."""
COUNTERS_OFFSET = 24
"""Offset in Linux's ``struct tcp_info`` from which all fields are 32-bit. The first is the number
of unacknowledged segments; the sixth and the ninth are the milliseconds since data was last sent
and since the last acknowledgement."""
COUNTERS = struct.Struct("=9I")

logger = logging.getLogger(LOGGER_NAME)


class AcknowledgementState(msgspec.Struct, frozen=True):
    """Acknowledgement state of a connection, from ``struct tcp_info``. Times in seconds."""

    unacknowledged_segments: int
    """Segments sent and not acknowledged."""
    unanswered_probes: int
    """Window probes without a response."""
    since_sent: float
    since_acknowledgement: float

    @property
    def answered(self) -> bool:
        """Whether the peer has responded to everything that was sent to it."""
        if self.unanswered_probes >= UNANSWERED_PROBES:
            return False
        return self.unacknowledged_segments == 0 or self.since_acknowledgement <= self.since_sent


class SilenceDetector:
    """Decides from repeated checks whether a machine is silent. Times are monotonic seconds."""

    __slots__ = ("_unanswered_since",)

    def __init__(self) -> None:
        self._unanswered_since: float | None = None

    def is_silent(self, now: float, state: AcknowledgementState) -> bool:
        """Record one check; return whether nothing was answered for ``ACK_TIMEOUT_SECONDS``."""
        if state.answered:
            self._unanswered_since = None
            return False
        if self._unanswered_since is None:
            self._unanswered_since = now
        return min(now - self._unanswered_since, state.since_acknowledgement) >= ACK_TIMEOUT_SECONDS


class AcknowledgementMonitor:
    """Replaces the kernel's timeout while a long body is sent.

    Args:
        connected: the connection's socket.
        on_silent: called once when the peer machine is found to be silent.
    """

    __slots__ = ("_detector", "_on_silent", "_socket", "_timer")

    def __init__(self, connected: socket.socket, on_silent: Callable[[OSError], None]) -> None:
        self._socket = connected
        self._on_silent = on_silent
        self._detector = SilenceDetector()
        self._timer: asyncio.TimerHandle | None = None

    def begin(self) -> None:
        """Monitor the connection until everything sent has been acknowledged."""
        if self._timer is None:
            set_user_timeout(self._socket, NO_TIMEOUT)
            self._detector = SilenceDetector()
            self._schedule_check()

    def stop(self) -> None:
        """Stop monitoring; the connection has ended."""
        if self._timer is not None:
            self._timer.cancel()

    def _schedule_check(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(CHECK_INTERVAL_SECONDS, self._check)

    def _check(self) -> None:
        self._timer = None
        if self._socket.fileno() < 0:
            return
        try:
            state, outstanding = (
                read_acknowledgement_state(self._socket),
                unacknowledged_bytes(self._socket),
            )
        except (OSError, struct.error) as error:
            logger.warning("cannot read the connection's acknowledgement state: %s", error)
            set_user_timeout(self._socket)  # without it a peer that is gone would never be detected
            return
        if self._detector.is_silent(asyncio.get_running_loop().time(), state):
            self._on_silent(OSError(errno.ETIMEDOUT, os.strerror(errno.ETIMEDOUT)))
        elif outstanding == 0:
            set_user_timeout(self._socket)
        else:
            self._schedule_check()


def read_acknowledgement_state(connected: socket.socket) -> AcknowledgementState:
    """Return the kernel's acknowledgement state of a connection."""
    info = tcp_info(connected)
    unacknowledged_segments, *_, since_sent, _, _, since_acknowledgement = COUNTERS.unpack_from(
        info, COUNTERS_OFFSET
    )
    return AcknowledgementState(
        unacknowledged_segments,
        info[PROBES_OFFSET],
        since_sent / MILLISECONDS_PER_SECOND,
        since_acknowledgement / MILLISECONDS_PER_SECOND,
    )
