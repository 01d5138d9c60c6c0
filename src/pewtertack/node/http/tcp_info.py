"""Reads Linux's ``struct tcp_info`` of a TCP connection."""

from __future__ import annotations

import socket
import struct

from pewtertack.node.http.transport import MILLISECONDS_PER_SECOND

TCP_INFO_BYTES = 60
"""Bytes of the structure that are read: as far as the fields that are used."""
LAST_RECEIVED_OFFSET = 52
"""Offset of the milliseconds since data was last received."""
UINT32 = struct.Struct("=I")
MAX_TICK_SECONDS = 0.01
"""Longest step in which a kernel counts these milliseconds. Two moments less than a step apart may
lie in two steps."""


def tcp_info(sock: socket.socket) -> bytes:
    """Return the beginning of the connection's ``struct tcp_info``.

    Raises:
        OSError: the socket is closed.
    """
    return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)


def seconds_since_received(sock: socket.socket) -> float:
    """Return how long ago the kernel last received data, whether or not it has been read.

    One step of the kernel's clock is subtracted. The result may still be some milliseconds more
    than the time that has passed.

    Raises:
        OSError: the socket is closed.
    """
    (milliseconds,) = UINT32.unpack_from(tcp_info(sock), LAST_RECEIVED_OFFSET)
    return max(0.0, float(milliseconds) / MILLISECONDS_PER_SECOND - MAX_TICK_SECONDS)
