"""Reservation of addresses for the processes of a fleet."""

import socket
import unittest
from unittest import mock

from pewtertack.lab.errors import LabUsageError
from pewtertack.lab.fleet import ports
from pewtertack.lab.fleet.ports import PortAllocator
from pewtertack.node.sockets import _bind_peer
from pewtertack.settings import Address

HOST = "127.0.0.1"
OTHER = "127.0.0.9"


class ReservedAddressTest(unittest.TestCase):
    def test_two_allocators_never_allocate_the_same_address(self) -> None:
        """Guards against concurrent fleets that allocate the same addresses."""
        first = PortAllocator()
        port = first.allocate(HOST).port
        with mock.patch.multiple(ports, FIRST_PORT=port, LAST_PORT=port + 1):
            with self.assertRaises(LabUsageError):
                PortAllocator().allocate(HOST)
            del first
            self.assertEqual(PortAllocator().allocate(HOST), Address(HOST, port))

    def test_node_listens_on_a_reserved_address_repeatedly(self) -> None:
        allocator = PortAllocator()
        address = allocator.allocate(HOST)
        for _ in range(2):
            for bound in _bind_peer(address, "n1.toml"):
                bound.close()

    def test_port_is_free_at_all_requested_hosts(self) -> None:
        taken = socket.create_server((OTHER, 0))
        self.addCleanup(taken.close)
        port = taken.getsockname()[1]
        with mock.patch.multiple(ports, FIRST_PORT=port, LAST_PORT=port + 1):
            with self.assertRaises(LabUsageError):
                PortAllocator().allocate(HOST, OTHER)
            self.assertEqual(PortAllocator().allocate(HOST), Address(HOST, port))
