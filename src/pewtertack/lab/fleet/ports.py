"""Free addresses for the processes of a fleet."""

from __future__ import annotations

import contextlib
import random
import socket

from pewtertack.lab.errors import LabUsageError
from pewtertack.settings import Address

FIRST_PORT = 20_000
LAST_PORT = 32_000
"""Below the ports that the system picks for outgoing connections."""
ATTEMPTS = 200


class PortAllocator:
    """Hands out addresses that nothing listens on, each once."""

    def __init__(self) -> None:
        self._random = random.SystemRandom()
        self._given: set[Address] = set()

    def allocate(self, ip: str) -> Address:
        """Return a free address at ``ip``, for TCP and UDP alike.

        Raises:
            LabUsageError: none was found.
        """
        for _ in range(ATTEMPTS):
            address = Address(ip, self._random.randrange(FIRST_PORT, LAST_PORT))
            if address not in self._given and _is_free(address):
                self._given.add(address)
                return address
        raise LabUsageError(f"no free port at {ip}")


def _is_free(address: Address) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with contextlib.closing(socket.socket(socket.AF_INET, kind)) as probe:
            try:
                probe.bind((address.host, address.port))
            except OSError:
                return False
    return True
