"""Callers that do not read their large responses, through two nodes."""

import asyncio
import socket
from typing import Any
from unittest import mock

from pewtertack.node.gateway.hop import hop_headers
from pewtertack.node.http import unread
from pewtertack.node.http.transport import StreamTransport
from pewtertack.routing.patience import WaitPolicy
from tests.node.gateway.test_gateway import GatewayTestCase
from tests.node.gateway.test_large_answers import response_head
from tests.node.proxy.harness import request_bytes
from tests.routing.samples import route

GET = request_bytes("GET", "/", headers=("x-call: call-1", "x-left: 30000"))
LENGTH = 32 * 1024 * 1024
"""More than the kernel buffers of three connections hold."""
CHUNK = bytes(16 * 1024)
SMALL_READ_BYTES = 8 * 1024
MAX_UNDELIVERED_BYTES = 1024 * 1024
TIMEOUT_SECONDS = 8.0


class SlowReaderTest(GatewayTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.active = 0
        self.complete_count = 0

    async def send_large_response(self, _reader: Any, writer: Any, head: str) -> bool:
        self.active += 1
        try:
            writer.write(response_head(head, LENGTH))
            for _ in range(LENGTH // len(CHUNK)):
                writer.write(CHUNK)
                await writer.drain()
            self.complete_count += 1
            return True
        finally:
            self.active -= 1

    async def begin(self, count: int) -> list[socket.socket]:
        """Send requests of callers with small receive buffers that do not read yet."""
        address = await self.start_fleet(self.send_large_response, slots=64, timeout=60.0)
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
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while not self.heads or self.active:
                await asyncio.sleep(0.02)

    async def test_a_caller_that_reads_nothing_is_disconnected_and_its_slot_is_free(self) -> None:
        with mock.patch.object(unread, "SLOW_READER_SECONDS", 1.0):
            await self.begin(1)
            await self.until_ended()
        self.assertEqual(self.complete_count, 0)
        (incarnation,) = self.gateways[0]._incarnations._by_name.values()
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while incarnation.admission.in_flight:
                await asyncio.sleep(0.02)

    async def test_one_that_reads_slowly_gets_all(self) -> None:
        """A caller that reads slowly, but steadily, gets the whole response."""
        loop = asyncio.get_running_loop()
        with mock.patch.object(unread, "SLOW_READER_SECONDS", 0.6):
            (caller,) = await self.begin(1)
            received = 0
            while received < LENGTH:
                chunk = await loop.sock_recv(caller, 1 << 20)
                self.assertTrue(chunk, received)
                received += len(chunk)
                if received < LENGTH / 64:
                    await asyncio.sleep(0.005)
        self.assertEqual(self.complete_count, 1)

    async def test_a_caller_that_reads_a_little_from_the_kernel_buffers_is_not_disconnected(
        self,
    ) -> None:
        """Guards against a gateway that disconnects the proxy's node as a slow reader.

        That node reads nothing from the gateway while its caller reads the megabytes that are in
        kernel buffers.
        """
        loop = asyncio.get_running_loop()
        with mock.patch.object(unread, "SLOW_READER_SECONDS", 0.6):
            (caller,) = await self.begin(1)
            received = 0
            end_time = loop.time() + 3.0
            while loop.time() < end_time:
                chunk = await loop.sock_recv(caller, SMALL_READ_BYTES)
                self.assertTrue(chunk, received)
                received += len(chunk)
                await asyncio.sleep(0.05)
            self.assertLess(received, LENGTH / 64)
            self.assertEqual([len(server.slow_readers) for server in self.servers], [1, 1])
            while received < LENGTH:
                chunk = await loop.sock_recv(caller, 1 << 20)
                self.assertTrue(chunk, received)
                received += len(chunk)
        self.assertEqual(self.complete_count, 1)

    async def test_what_many_hold_is_bounded(self) -> None:
        """The number of responses that slow callers leave unread is limited."""
        with mock.patch.object(unread, "MAX_SLOW_READERS", 10):
            await self.begin(40)
            async with asyncio.timeout(TIMEOUT_SECONDS):
                while len(self.heads) < 40 or self.active > 10:
                    await asyncio.sleep(0.02)
            await asyncio.sleep(1.0)
        self.assertEqual([len(server.slow_readers) for server in self.servers], [10, 10])
        self.assertEqual((self.active, self.complete_count), (10, 0))

    async def test_the_kernel_buffer_of_a_caller_that_reads_nothing_is_limited(self) -> None:
        """Guards against megabytes of kernel memory for each such response."""
        await self.begin(1)
        await asyncio.sleep(1.0)
        for server in self.servers:
            self.assertEqual(len(server.connections), 1)
            (transport,) = (connection.transport for connection in server.connections)
            assert isinstance(transport, StreamTransport)
            self.assertLess(transport.undelivered_bytes, MAX_UNDELIVERED_BYTES)

    async def test_a_node_that_reads_nothing_is_waited_for_until_the_deadline(self) -> None:
        await self.start_fleet(self.send_large_response, slots=64, timeout=60.0)
        host, _, port = self.machines[0].gateway.rpartition(":")
        headers = hop_headers(route(), "b0", 1.0, WaitPolicy.WAIT, "desk")
        lines = (f"{name.decode()}: {value.decode()}" for name, value in headers)
        request = request_bytes(
            "GET", "/", headers=("x-request-id: call-1", "x-deadline-ms: 1000", *lines)
        )
        loop = asyncio.get_running_loop()
        sender = socket.socket()
        self.addCleanup(sender.close)
        sender.setblocking(False)
        await loop.sock_connect(sender, (host, int(port)))
        started_at = loop.time()
        await loop.sock_sendall(sender, request)
        with mock.patch.object(unread, "SLOW_READER_SECONDS", 0.2):
            await self.until_ended()
        self.assertGreater(loop.time() - started_at, 0.9)
        self.assertEqual(self.complete_count, 0)
