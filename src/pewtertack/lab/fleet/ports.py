"""Allocates free addresses for the processes of a fleet."""

from __future__ import annotations

import contextlib
import random
import socket
import weakref

from pewtertack.lab.errors import LabUsageError
from pewtertack.settings import Address

FIRST_PORT = 20_000
LAST_PORT = 32_000
"""Below the ephemeral ports that the system picks for outgoing connections."""
MAX_ATTEMPTS = 200


class PortAllocator:
    """Allocates addresses on which nothing listens, each only once.

    An address stays reserved while its allocator exists, even if no process listens on it, for
    example because a node is down: the allocator keeps a socket bound to it, and only sockets with
    ``SO_REUSEADDR`` can be bound to the same address. Allocators, including those of other
    processes, bind without that option first, so that none allocates a reserved address.
    """

    def __init__(self) -> None:
        self._random = random.SystemRandom()
        self._reserved_sockets: list[socket.socket] = []
        weakref.finalize(self, _close_all, self._reserved_sockets)

    def allocate(self, ip: str, *others: str) -> Address:
        """Return an address at ``ip`` that is free for TCP and UDP.

        Its port is also free at ``others``.

        Raises:
            LabUsageError: no free port was found.
        """
        for _ in range(MAX_ATTEMPTS):
            port = self._random.randrange(FIRST_PORT, LAST_PORT)
            if self._reserve([Address(host, port) for host in (ip, *others)]):
                return Address(ip, port)
        raise LabUsageError(f"no free port at {ip}")

    def _reserve(self, addresses: list[Address]) -> bool:
        """Reserve all addresses, or none if one is not free; return whether they were reserved."""
        with contextlib.ExitStack() as stack:
            reserved = []
            for address in addresses:
                try:
                    reserved.append(stack.enter_context(_bind(address, socket.SOCK_STREAM)))
                    _bind(address, socket.SOCK_DGRAM).close()
                except OSError:
                    return False
            stack.pop_all()
        for reserved_socket in reserved:
            reserved_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._reserved_sockets += reserved
        return True


def _bind(address: Address, kind: socket.SocketKind) -> socket.socket:
    new_socket = socket.socket(socket.AF_INET, kind)
    try:
        new_socket.bind((address.host, address.port))
    except OSError:
        new_socket.close()
        raise
    return new_socket


def _close_all(sockets: list[socket.socket]) -> None:
    for reserved_socket in sockets:
        reserved_socket.close()
