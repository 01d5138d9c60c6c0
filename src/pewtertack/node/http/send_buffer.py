"""How much of its answers the system takes from a process.

While a process serves, that is little: what lies in the system for a caller that does not read is
bounded by nobody else, and takes megabytes a connection. From a process that is about to end the
system takes more, and sends it on after that; what waits in the process ends with it.
"""

from __future__ import annotations

import contextlib
import socket

MOST_NOT_SENT = 256 * 1024
"""Bytes that the system takes of a connection before it has begun to send them. A busy event loop
comes back to the connection before so much has left over a fast link."""
NO_BOUND = 0
WIDE_BYTES = 256 * 1024
"""What the system takes unasked on a fast link, by its own count, which is about twice the
payload. To ask for less than it takes already would narrow the connection."""
ASKED_BYTES = 1024 * 1024
"""What is asked for; the system grants less where ``net.core.wmem_max`` says so."""


def enlarge_send_buffer(connected: socket.socket) -> None:
    """Have the system take more of what is sent on a connection over a slow link."""
    with contextlib.suppress(OSError):  # it has ended meanwhile
        connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, NO_BOUND)
        if connected.getsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF) < WIDE_BYTES:
            connected.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, ASKED_BYTES)
