"""Callers that do not read their large answers, through two nodes."""

import asyncio
import socket
from typing import Any
from unittest import mock

from pewtertack.node.gateway.hop import hop_headers
from pewtertack.node.http import unread
from pewtertack.routing.patience import WaitPolicy
from tests.node.gateway.test_gateway import GatewayTestCase
from tests.node.gateway.test_large_answers import head_of
from tests.node.proxy.harness import request_bytes
from tests.routing.samples import route

GET = request_bytes("GET", "/", headers=("x-call: call-1", "x-left: 30000"))
LENGTH = 32 * 1024 * 1024
"""More than the kernels of three connections hold."""
PART = bytes(16 * 1024)
LITTLE = 8 * 1024
MOST_UNTAKEN = 1024 * 1024
FAR_BELOW_DEADLINE = 8.0


class SlowReaderTest(GatewayTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.active = 0
        self.whole = 0

    async def answer_large(self, _reader: Any, writer: Any, head: str) -> bool:
        self.active += 1
        try:
            writer.write(head_of(head, LENGTH))
            for _ in range(LENGTH // len(PART)):
                writer.write(PART)
                await writer.drain()
            self.whole += 1
            return True
        finally:
            self.active -= 1

    async def begin(self, count: int) -> list[socket.socket]:
        """Send requests of callers that take in little by themselves, and read nothing yet."""
        address = await self.start_fleet(self.answer_large, slots=64, timeout=60.0)
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        callers = []
        for _ in range(count):
            caller = socket.socket()
            self.addCleanup(caller.close)
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            caller.setblocking(False)
            await loop.sock_connect(caller, (host, int(port)))
            await loop.sock_sendall(caller, GET)
            callers.append(caller)
        return callers

    async def until_ended(self) -> None:
        async with asyncio.timeout(FAR_BELOW_DEADLINE):
            while not self.heads or self.active:
                await asyncio.sleep(0.02)

    async def test_one_that_takes_nothing_is_ended_and_its_slot_is_free(self) -> None:
        with mock.patch.object(unread, "SLOW_READER_SECONDS", 1.0):
            await self.begin(1)
            await self.until_ended()
        self.assertEqual(self.whole, 0)
        (incarnation,) = self.gateways[0]._incarnations._by_name.values()
        async with asyncio.timeout(FAR_BELOW_DEADLINE):
            while incarnation.admission.in_flight:
                await asyncio.sleep(0.02)

    async def test_one_that_reads_slowly_gets_all(self) -> None:
        loop = asyncio.get_running_loop()
        with mock.patch.object(unread, "SLOW_READER_SECONDS", 0.6):
            (caller,) = await self.begin(1)
            received = 0
            while received < LENGTH:
                part = await loop.sock_recv(caller, 1 << 20)
                self.assertTrue(part, received)
                received += len(part)
                if received < LENGTH / 64:
                    await asyncio.sleep(0.005)
        self.assertEqual(self.whole, 1)

    async def test_one_that_reads_little_of_what_the_system_holds_is_not_ended(self) -> None:
        """A gateway must not take the node before it for a caller that does not read.

        That node takes nothing from the gateway while its caller reads the megabytes that the
        system holds.
        """
        loop = asyncio.get_running_loop()
        with mock.patch.object(unread, "SLOW_READER_SECONDS", 0.6):
            (caller,) = await self.begin(1)
            received = 0
            until = loop.time() + 3.0
            while loop.time() < until:
                part = await loop.sock_recv(caller, LITTLE)
                self.assertTrue(part, received)
                received += len(part)
                await asyncio.sleep(0.05)
            self.assertLess(received, LENGTH / 64)
            self.assertEqual([len(server.slow_readers) for server in self.servers], [1, 1])
            while received < LENGTH:
                part = await loop.sock_recv(caller, 1 << 20)
                self.assertTrue(part, received)
                received += len(part)
        self.assertEqual(self.whole, 1)

    async def test_what_many_hold_is_bounded(self) -> None:
        with mock.patch.object(unread, "MAX_SLOW_READERS", 10):
            await self.begin(40)
            async with asyncio.timeout(FAR_BELOW_DEADLINE):
                while len(self.heads) < 40 or self.active > 10:
                    await asyncio.sleep(0.02)
            await asyncio.sleep(1.0)
        self.assertEqual([len(server.slow_readers) for server in self.servers], [10, 10])
        self.assertEqual((self.active, self.whole), (10, 0))

    async def test_what_the_system_holds_for_one_that_reads_nothing_is_bounded(self) -> None:
        """Guards against megabytes of each such answer in the memory of a node's machine."""
        await self.begin(1)
        await asyncio.sleep(1.0)
        for server in self.servers:
            untaken = [connection.transport.undelivered_bytes for connection in server.connections]
            self.assertEqual(len(untaken), 1)
            self.assertLess(untaken[0], MOST_UNTAKEN)

    async def test_a_node_that_takes_nothing_is_waited_for_until_the_deadline(self) -> None:
        await self.start_fleet(self.answer_large, slots=64, timeout=60.0)
        host, _, port = self.machines[0].gateway.rpartition(":")
        headers = hop_headers(route(), "b0", 1.0, WaitPolicy.WAIT, "desk")
        lines = (f"{name.decode()}: {value.decode()}" for name, value in headers)
        request = request_bytes(
            "GET", "/", headers=("x-request-id: call-1", "x-deadline-ms: 1000", *lines)
        )
        loop = asyncio.get_running_loop()
        node = socket.socket()
        self.addCleanup(node.close)
        node.setblocking(False)
        await loop.sock_connect(node, (host, int(port)))
        began = loop.time()
        await loop.sock_sendall(node, request)
        with mock.patch.object(unread, "SLOW_READER_SECONDS", 0.2):
            await self.until_ended()
        self.assertGreater(loop.time() - began, 0.9)
        self.assertEqual(self.whole, 0)
