"""A caller on a blocking socket, so that its own cost is small and the same in all measurements."""

from __future__ import annotations

import socket
import time

from pewtertack.errors import LabError
from pewtertack.settings import Address

REQUEST = b"GET /measured HTTP/1.1\r\nhost: measured.example\r\naccept: */*\r\n\r\n"
READ_SIZE_BYTES = 65536
TIMEOUT_SECONDS = 10.0


class MeasuredCallFailedError(LabError):
    """The response to a measured call was incomplete or did not have status 200."""

    code = "measured-call-failed"


class BlockingCaller:
    """Makes calls on one persistent connection."""

    def __init__(self, address: Address) -> None:
        self._socket = socket.create_connection((address.host, address.port), TIMEOUT_SECONDS)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def call(self) -> float:
        """Make one call and return its duration in seconds.

        Raises:
            MeasuredCallFailedError: the response was incomplete or did not have status 200.
        """
        started_at = time.perf_counter()
        self._socket.sendall(REQUEST)
        received = self._socket.recv(READ_SIZE_BYTES)
        while not is_complete_message(received):
            data = self._socket.recv(READ_SIZE_BYTES)
            if not data:
                raise MeasuredCallFailedError("connection closed before the response was complete")
            received += data
        elapsed_seconds = time.perf_counter() - started_at
        if not received.startswith(b"HTTP/1.1 200"):
            raise MeasuredCallFailedError(received[:200].decode("latin-1"))
        return elapsed_seconds

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()


def is_complete_message(received: bytes) -> bool:
    """Return whether ``received`` holds a complete request or response, body included."""
    head, separator, body = received.partition(b"\r\n\r\n")
    if not separator:
        return False
    length = head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0]
    return len(body) >= int(length or 0)
