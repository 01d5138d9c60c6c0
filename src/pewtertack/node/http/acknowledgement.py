"""Whether the machine at a connection's other end is gone, while it may merely have no room.

The system ends a connection whose sent bytes are not acknowledged for a while
(``TCP_USER_TIMEOUT``), and by the same bound one whose receiver takes nothing: its buffer is full
because a process, or the link behind it, is slow. Such a machine answers every probe. So while a
long body is under way the system's bound is lifted, and what it knows is looked at from time to
time: only what is sent and not answered at all counts. One that has no room and goes is noticed
by two probes, which the system sends after 0.2 s and after twice as long again each time.
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
from pewtertack.node.http.send_queue import unacknowledged_bytes
from pewtertack.node.http.tcp_info import tcp_info
from pewtertack.node.http.transport import ACK_TIMEOUT_SECONDS, MILLISECONDS, set_user_timeout

LOOK_SECONDS = 0.1
"""Between two looks at a connection that carries a long body."""
UNANSWERED_PROBES = 2
"""A system answers at most one in 0.5 s, and so may leave the second, 0.4 s after the first,
unanswered while it lives."""
NO_BOUND = 0
PROBES_AT = 3
WORDS_AT = 24
"""From here on Linux' ``struct tcp_info`` has words: the first tells the segments that are not
acknowledged, the sixth and the ninth the milliseconds since data was sent and since an
acknowledgement came."""
WORDS = struct.Struct("=9I")

logger = logging.getLogger(LOGGER_NAME)


class Acknowledged(msgspec.Struct, frozen=True):
    """What the system knows of a connection. Times in seconds."""

    segments: int
    """Sent and not acknowledged."""
    probes: int
    """Questions for room that were not answered."""
    since_sent: float
    since_acknowledgement: float

    @property
    def answered(self) -> bool:
        """Whether the other machine has said something to all that it was sent."""
        if self.probes >= UNANSWERED_PROBES:
            return False
        return self.segments == 0 or self.since_acknowledgement <= self.since_sent


class SilenceJudge:
    """Tells by several looks whether a machine is silent. Times are monotonic seconds."""

    __slots__ = ("_unanswered_since",)

    def __init__(self) -> None:
        self._unanswered_since: float | None = None

    def is_silent(self, now: float, seen: Acknowledged) -> bool:
        """Take a look; tell whether nothing was answered for ``ACK_TIMEOUT_SECONDS``."""
        if seen.answered:
            self._unanswered_since = None
            return False
        if self._unanswered_since is None:
            self._unanswered_since = now
        return min(now - self._unanswered_since, seen.since_acknowledgement) >= ACK_TIMEOUT_SECONDS


class AcknowledgementMonitor:
    """Stands in for the system's bound while a long body goes out.

    Args:
        connected: the connection's socket.
        lose: told once that the other machine is silent.
    """

    __slots__ = ("_judge", "_lose", "_socket", "_timer")

    def __init__(self, connected: socket.socket, lose: Callable[[OSError], None]) -> None:
        self._socket = connected
        self._lose = lose
        self._judge = SilenceJudge()
        self._timer: asyncio.TimerHandle | None = None

    def begin(self) -> None:
        """Watch until all that is sent has been acknowledged."""
        if self._timer is None:
            set_user_timeout(self._socket, NO_BOUND)
            self._judge = SilenceJudge()
            self._arm()

    def stop(self) -> None:
        """The connection has ended."""
        if self._timer is not None:
            self._timer.cancel()

    def _arm(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(LOOK_SECONDS, self._check)

    def _check(self) -> None:
        self._timer = None
        if self._socket.fileno() < 0:
            return
        try:
            seen, left = acknowledged(self._socket), unacknowledged_bytes(self._socket)
        except (OSError, struct.error) as error:
            logger.warning("the system does not tell what was acknowledged: %s", error)
            set_user_timeout(self._socket)  # a machine that is gone would never be noticed
            return
        if self._judge.is_silent(asyncio.get_running_loop().time(), seen):
            self._lose(OSError(errno.ETIMEDOUT, os.strerror(errno.ETIMEDOUT)))
        elif left == 0:
            set_user_timeout(self._socket)
        else:
            self._arm()


def acknowledged(connected: socket.socket) -> Acknowledged:
    """Ask the system what it knows of a connection."""
    told = tcp_info(connected)
    segments, *_, since_sent, _, _, since_acknowledgement = WORDS.unpack_from(told, WORDS_AT)
    return Acknowledged(
        segments,
        told[PROBES_AT],
        since_sent / MILLISECONDS,
        since_acknowledgement / MILLISECONDS,
    )
