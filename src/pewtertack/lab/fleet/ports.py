"""Free addresses for the processes of a fleet."""

from __future__ import annotations

import contextlib
import random
import socket
import weakref

from pewtertack.lab.errors import LabUsageError
from pewtertack.settings import Address

FIRST_PORT = 20_000
LAST_PORT = 32_000
"""Below the ports that the system picks for outgoing connections."""
ATTEMPTS = 200


class PortAllocator:
    """Hands out addresses that nothing listens on, each once.

    An address is held as long as its allocator exists, also while no process listens there: a
    socket is bound to it, beside which only one with ``SO_REUSEADDR`` can be bound. So no other
    allocator, of whichever process, hands it out, nor takes a node's that is down.
    """

    def __init__(self) -> None:
        self._random = random.SystemRandom()
        self._held: list[socket.socket] = []
        weakref.finalize(self, _close_all, self._held)

    def allocate(self, ip: str, *others: str) -> Address:
        """Return an address at ``ip``, for TCP and UDP alike, whose port is free at others too.

        Raises:
            LabUsageError: none was found.
        """
        for _ in range(ATTEMPTS):
            port = self._random.randrange(FIRST_PORT, LAST_PORT)
            if self._hold([Address(host, port) for host in (ip, *others)]):
                return Address(ip, port)
        raise LabUsageError(f"no free port at {ip}")

    def _hold(self, addresses: list[Address]) -> bool:
        """Hold all of the addresses, or none where one is not free; tell whether they are."""
        with contextlib.ExitStack() as opened:
            held = []
            for address in addresses:
                try:
                    held.append(opened.enter_context(_bound(address, socket.SOCK_STREAM)))
                    _bound(address, socket.SOCK_DGRAM).close()
                except OSError:
                    return False
            opened.pop_all()
        for item in held:
            item.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._held += held
        return True


def _bound(address: Address, kind: socket.SocketKind) -> socket.socket:
    made = socket.socket(socket.AF_INET, kind)
    try:
        made.bind((address.host, address.port))
    except OSError:
        made.close()
        raise
    return made


def _close_all(sockets: list[socket.socket]) -> None:
    for item in sockets:
        item.close()
