"""What Linux tells of a TCP connection (``struct tcp_info``)."""

from __future__ import annotations

import socket
import struct

from pewtertack.node.http.transport import MILLISECONDS

TCP_INFO_BYTES = 60
RECEIVED_AT = 52
"""Offset of the milliseconds since data came last."""
WORD = struct.Struct("=I")


def tcp_info(connected: socket.socket) -> bytes:
    """Return the beginning of the connection's ``struct tcp_info``.

    Raises:
        OSError: the socket is closed.
    """
    return connected.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)


def seconds_since_received(connected: socket.socket) -> float:
    """Return how long ago the system received data last, whether or not it has been read.

    The system counts in steps of up to 10 ms.

    Raises:
        OSError: the socket is closed.
    """
    (milliseconds,) = WORD.unpack_from(tcp_info(connected), RECEIVED_AT)
    return float(milliseconds) / MILLISECONDS
