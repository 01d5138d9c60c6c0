"""Sizes of the kernel's send buffers.

While a process serves, the kernel accepts little: data queued in the kernel for a caller that does
not read is limited by nothing else, and takes megabytes per connection. From a process that is
about to exit the kernel accepts more and sends it afterwards; data still queued in the process is
lost with it.
"""

from __future__ import annotations

import contextlib
import socket

NOTSENT_LOWAT_BYTES = 256 * 1024
"""Unsent bytes of a connection up to which the kernel accepts more. A busy event loop returns to
the connection before that many bytes have been sent over a fast link."""
NO_LIMIT = 0
LARGE_BUFFER_BYTES = 256 * 1024
"""Size that the kernel gives a send buffer by itself on a fast link. It counts about twice the
payload. Requesting less than the current size would shrink the buffer."""
REQUESTED_BYTES = 1024 * 1024
"""Requested size of a send buffer; ``net.core.wmem_max`` may limit it to less."""


def enlarge_send_buffer(sock: socket.socket) -> None:
    """Let the kernel accept more data for a connection over a slow link."""
    with contextlib.suppress(OSError):  # the connection has ended in the meantime
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, NO_LIMIT)
        if sock.getsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF) < LARGE_BUFFER_BYTES:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, REQUESTED_BYTES)
