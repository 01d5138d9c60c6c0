"""What the system has been given to send on a connection, and the other end has not taken."""

from __future__ import annotations

import fcntl
import socket
import struct
import termios

OUTGOING = struct.Struct("=i")


def unacknowledged_bytes(connected: socket.socket) -> int:
    """Return the bytes that the system has been given and that are not acknowledged.

    Raises:
        OSError: the system does not report it.
    """
    packed = fcntl.ioctl(connected.fileno(), termios.TIOCOUTQ, OUTGOING.pack(0))
    return int(OUTGOING.unpack(packed)[0])
