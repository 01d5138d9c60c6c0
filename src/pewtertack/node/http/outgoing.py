"""Size of the kernel's send queue of a connection."""

from __future__ import annotations

import fcntl
import socket
import struct
import termios

QUEUE_SIZE = struct.Struct("=i")


def unacknowledged_bytes(sock: socket.socket) -> int:
    """Return the number of bytes in the kernel's send queue, unsent or not yet acknowledged.

    Raises:
        OSError: the kernel does not report it.
    """
    packed = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, QUEUE_SIZE.pack(0))
    return int(QUEUE_SIZE.unpack(packed)[0])
