"""A caller on a blocking socket, so that its own cost is small and the same everywhere."""

from __future__ import annotations

import socket
import time

from pewtertack.errors import LabError
from pewtertack.settings import Address

REQUEST = b"GET /measured HTTP/1.1\r\nhost: measured.example\r\naccept: */*\r\n\r\n"
READ_BYTES = 65536
TIMEOUT = 10.0


class MeasuredCallFailedError(LabError):
    """A measured call was not answered with status 200."""

    code = "measured-call-failed"


class BlockingCaller:
    """One connection that is kept open."""

    def __init__(self, address: Address) -> None:
        self._socket = socket.create_connection((address.host, address.port), TIMEOUT)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def call(self) -> float:
        """Make one call and return how many seconds it took.

        Raises:
            MeasuredCallFailedError: the answer was no 200, or broke off.
        """
        began = time.perf_counter()
        self._socket.sendall(REQUEST)
        received = self._socket.recv(READ_BYTES)
        while not is_whole(received):
            more = self._socket.recv(READ_BYTES)
            if not more:
                raise MeasuredCallFailedError("the answer broke off")
            received += more
        taken = time.perf_counter() - began
        if not received.startswith(b"HTTP/1.1 200"):
            raise MeasuredCallFailedError(received[:200].decode("latin-1"))
        return taken

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()


def is_whole(received: bytes) -> bool:
    """Tell whether a whole answer has come."""
    head, separator, body = received.partition(b"\r\n\r\n")
    if not separator:
        return False
    length = head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0]
    return len(body) >= int(length or 0)
