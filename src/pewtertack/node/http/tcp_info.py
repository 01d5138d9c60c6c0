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


def tcp_info(sock: socket.socket) -> bytes:
    """Return the beginning of the connection's ``struct tcp_info``.

    Raises:
        OSError: the socket is closed.
    """
    return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)


def seconds_since_received(sock: socket.socket) -> float:
    """Return how long ago the kernel last received data, whether or not it has been read.

    The kernel counts in steps of up to 10 ms.

    Raises:
        OSError: the socket is closed.
    """
    (milliseconds,) = UINT32.unpack_from(tcp_info(sock), LAST_RECEIVED_OFFSET)
    return float(milliseconds) / MILLISECONDS_PER_SECOND
