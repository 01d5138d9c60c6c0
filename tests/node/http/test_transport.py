"""Socket transport: buffered writes, closing from either side, failures."""

import asyncio
import contextlib
import socket
import time
import unittest
from collections.abc import Iterator
from typing import Any
from unittest import mock

from pewtertack.node.event_loop import BoottimeEventLoop
from pewtertack.node.http import transport
from pewtertack.node.http.shared_buffer import SharedBufferProtocol
from pewtertack.node.http.transport import (
    WRITE_HIGH_WATER,
    WRITE_LOW_WATER,
    StreamTransport,
    connect_socket,
)

LARGE_DATA = bytes(range(256)) * 40_000
"""More than the kernel buffers for a peer that does not read."""
SMALL_BUFFER = 4096
"""Receive buffer of a slow reader."""
FEW_BYTES = 64 * 1024
"""Much less than makes the kernel accept more data."""


class RecordingProtocol(SharedBufferProtocol):
    """Records the calls of its methods."""

    def __init__(self) -> None:
        self.received = bytearray()
        self.calls: list[str] = []
        self.lost: asyncio.Future[Exception | None] = asyncio.get_running_loop().create_future()
        self.keeps_open = False
        self.fails = False

    def connection_made(self, transport: Any) -> None:
        self.calls.append("made")

    def data_received(self, data: bytes) -> None:
        if self.fails:
            raise ValueError("wrong")
        self.received += data

    def eof_received(self) -> bool:
        self.calls.append("eof")
        return self.keeps_open

    def pause_writing(self) -> None:
        self.calls.append("pause")

    def resume_writing(self) -> None:
        self.calls.append("resume")

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost.set_result(exc)


@contextlib.contextmanager
def listening() -> Iterator[tuple[str, int]]:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        yield listener.getsockname()


class StreamTransportTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.loop = asyncio.get_running_loop()
        own, other = socket.socketpair()
        for end in (own, other):
            end.setblocking(False)
            self.addCleanup(end.close)
        self.other = other
        self.protocol = RecordingProtocol()
        self.transport = StreamTransport(self.loop, own, self.protocol)

    async def read_to_end(self) -> bytes:
        received = bytearray()
        while chunk := await self.loop.sock_recv(self.other, 1 << 16):
            received += chunk
        return bytes(received)

    async def wait_lost(self) -> Exception | None:
        return await asyncio.wait_for(self.protocol.lost, 10)

    async def test_data_that_the_kernel_does_not_accept_is_buffered_and_pauses_the_writer(
        self,
    ) -> None:
        self.transport.write(LARGE_DATA)
        self.assertGreater(self.transport.get_write_buffer_size(), WRITE_HIGH_WATER)
        self.assertEqual(self.protocol.calls, ["made", "pause"])
        self.transport.write(b"end")
        self.transport.close()
        self.assertEqual(await asyncio.wait_for(self.read_to_end(), 10), LARGE_DATA + b"end")
        self.assertIsNone(await self.wait_lost())
        self.assertEqual(self.protocol.calls, ["made", "pause", "resume"])

    async def test_the_writer_resumes_once_few_bytes_are_buffered(self) -> None:
        self.transport.write(LARGE_DATA)
        while "resume" not in self.protocol.calls:
            self.assertGreater(self.transport.get_write_buffer_size(), WRITE_LOW_WATER)
            await self.loop.sock_recv(self.other, 1 << 12)
        self.assertLessEqual(self.transport.get_write_buffer_size(), WRITE_LOW_WATER)

    async def test_the_end_of_the_stream_is_sent_after_buffered_data(self) -> None:
        self.transport.write(LARGE_DATA)
        self.transport.write_eof()
        self.assertEqual(await asyncio.wait_for(self.read_to_end(), 10), LARGE_DATA)
        await self.loop.sock_sendall(self.other, b"still read")
        while not self.protocol.received:
            await asyncio.sleep(0)
        self.assertFalse(self.transport.is_closing())

    async def test_a_closed_connection_ends_if_the_peer_stops_reading(self) -> None:
        self.transport.write(b"x" * 10_000_000)
        with mock.patch("pewtertack.node.http.transport.CLOSE_STALL_SECONDS", 0.05):
            self.transport.close()
            self.assertIsNone(await asyncio.wait_for(self.protocol.lost, 2))

    async def test_a_closed_connection_continues_while_the_peer_reads(self) -> None:
        data = b"x" * 3_000_000
        self.transport.write(data)
        with mock.patch("pewtertack.node.http.transport.CLOSE_STALL_SECONDS", 0.2):
            self.transport.close()
            received = 0
            while chunk := await self.loop.sock_recv(self.other, 1 << 16):
                received += len(chunk)
                await asyncio.sleep(0.01)
        self.assertEqual(received, len(data))

    async def test_an_aborted_connection_drops_buffered_data(self) -> None:
        self.transport.write(LARGE_DATA)
        self.transport.abort()
        self.assertIsNone(await self.wait_lost())
        self.assertLess(len(await asyncio.wait_for(self.read_to_end(), 10)), len(LARGE_DATA))
        self.transport.write(b"too late")
        self.transport.abort()

    async def test_the_peer_s_end_of_stream_closes_it_unless_the_protocol_keeps_it_open(
        self,
    ) -> None:
        self.protocol.keeps_open = True
        self.other.shutdown(socket.SHUT_WR)
        while "eof" not in self.protocol.calls:
            await asyncio.sleep(0)
        self.transport.write(b"answer")
        self.assertEqual(await self.loop.sock_recv(self.other, 100), b"answer")
        self.transport.close()
        self.assertIsNone(await self.wait_lost())

    async def test_the_peer_s_end_of_stream_closes_the_connection(self) -> None:
        self.other.shutdown(socket.SHUT_WR)
        self.assertIsNone(await self.wait_lost())
        self.assertEqual(await self.read_to_end(), b"")

    async def test_nothing_is_read_while_paused(self) -> None:
        self.transport.pause_reading()
        await self.loop.sock_sendall(self.other, b"bytes")
        await asyncio.sleep(0.02)
        self.assertEqual(self.protocol.received, b"")
        self.transport.resume_reading()
        while not self.protocol.received:
            await asyncio.sleep(0)
        self.assertEqual(self.protocol.received, b"bytes")

    async def test_an_error_of_the_protocol_closes_its_connection_and_is_reported(self) -> None:
        calls: list[dict[str, Any]] = []
        self.loop.set_exception_handler(lambda _, context: calls.append(context))
        self.protocol.fails = True
        await self.loop.sock_sendall(self.other, b"bytes")
        self.assertIsInstance(await self.wait_lost(), ValueError)
        self.assertIsInstance(calls[0]["exception"], ValueError)

    async def test_a_write_to_a_closed_peer_closes_the_connection_with_the_error(self) -> None:
        self.transport.pause_reading()
        self.other.close()
        self.transport.write(b"bytes")
        self.assertIsInstance(await self.wait_lost(), BrokenPipeError)


class SlowReaderTest(unittest.IsolatedAsyncioTestCase):
    """A reader that reads little at a time while the kernel holds much of the data.

    Guards against a long response that ended early although the caller was reading all the time.
    Only the data held by the process used to be considered; the kernel accepts more of it only once
    a third of its own buffer, of megabytes, is free.
    """

    async def asyncSetUp(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.reader = socket.socket()
        self.addCleanup(self.reader.close)
        self.reader.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        with socket.create_server(("127.0.0.1", 0)) as listener:
            self.reader.connect(listener.getsockname())
            accepted, _ = listener.accept()
        self.reader.setblocking(False)
        accepted.setblocking(False)
        self.protocol = RecordingProtocol()
        self.transport = StreamTransport(self.loop, accepted, self.protocol)
        self.addCleanup(accepted.close)
        self.transport.write(LARGE_DATA)

    async def read(self, count: int, pause: float = 0.0) -> bytes:
        received = bytearray()
        while len(received) < count:
            chunk = await self.loop.sock_recv(self.reader, FEW_BYTES)
            if not chunk:
                break
            received += chunk
            if pause:
                await asyncio.sleep(pause)
        return bytes(received)

    async def test_bytes_read_count_while_the_kernel_accepts_no_more(self) -> None:
        unsent, undelivered_bytes = (
            self.transport.get_write_buffer_size(),
            self.transport.undelivered_bytes,
        )
        self.assertLess(unsent, undelivered_bytes)
        await self.read(FEW_BYTES)
        self.assertEqual(self.transport.get_write_buffer_size(), unsent)
        self.assertLess(self.transport.undelivered_bytes, undelivered_bytes)
        self.transport.abort()

    async def test_a_closed_connection_continues_while_little_is_read(self) -> None:
        unsent = self.transport.get_write_buffer_size()
        with mock.patch.object(transport, "CLOSE_STALL_SECONDS", 0.2):
            self.transport.close()
            started_at = self.loop.time()
            received = 0
            while self.loop.time() - started_at < 1.0:
                received += len(await self.read(1, 0.02))
            self.assertEqual(self.transport.get_write_buffer_size(), unsent)
        received += len(await self.read(len(LARGE_DATA) - received))
        self.assertEqual(received, len(LARGE_DATA))


def port_of(listening: socket.socket) -> int:
    """Return the port on which a socket listens."""
    return int(listening.getsockname()[1])


class ConnectSocketTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_refused_connection_raises_an_error(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as closed:
            port = closed.getsockname()[1]
        with self.assertRaises(ConnectionRefusedError):
            await connect_socket("127.0.0.1", port, 5.0)

    async def test_a_connection_attempt_times_out(self) -> None:
        with socket.create_server(("127.0.0.1", 0), backlog=0) as full:
            host, port = address = full.getsockname()
            with socket.create_connection(address), self.assertRaises(TimeoutError):
                while True:
                    connected = await connect_socket(host, port, 0.05)
                    self.addCleanup(connected.close)

    async def test_a_connection_to_the_same_machine_needs_no_wait(self) -> None:
        with (
            socket.create_server(("127.0.0.1", 0)) as listening,
            mock.patch.object(transport, "_wait_writable", side_effect=AssertionError),
        ):
            connected = await connect_socket("127.0.0.1", port_of(listening), 5.0)
            self.addCleanup(connected.close)
            self.assertEqual(connected.getpeername(), listening.getsockname())

    def test_an_established_connection_does_not_time_out_after_the_loop_was_held_up(self) -> None:
        """Guards against treating a gateway as unreachable that had accepted the connection.

        A node's event loop polls the sockets only before every second iteration. After an iteration
        as long as the connection timeout, the timer used to fire before the poll.
        """
        with asyncio.Runner(loop_factory=BoottimeEventLoop) as runner, listening() as address:
            for iterations in range(4):
                runner.run(self.connect_while_held_up(address, iterations))

    async def connect_while_held_up(self, address: tuple[str, int], iterations: int) -> None:
        for _ in range(iterations):
            await asyncio.sleep(0)
        connecting = asyncio.create_task(connect_socket(*address, timeout=0.05))
        asyncio.get_running_loop().call_soon(time.sleep, 0.1)  # in the same iteration, after it
        (await connecting).close()

    async def test_the_connection_is_made_from_the_given_host(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as listening:
            connected = await connect_socket("127.0.0.1", port_of(listening), 5.0, "127.0.0.2")
            self.addCleanup(connected.close)
            accepted, (host, _) = listening.accept()
            accepted.close()
        self.assertEqual(host, "127.0.0.2")

    async def test_a_host_name_is_not_resolved(self) -> None:
        with self.assertRaises(OSError):
            await connect_socket("localhost", 1, 5.0)

    async def test_a_port_out_of_range_is_rejected(self) -> None:
        with self.assertRaises(ValueError):
            await connect_socket("127.0.0.1", 70_000, 5.0)
