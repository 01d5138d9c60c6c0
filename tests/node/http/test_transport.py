"""A socket in the event loop: bytes that wait, ends from either side, failures."""

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

LARGE = bytes(range(256)) * 40_000
"""More than the system keeps for a reader that does not read."""
SMALL_BUFFER = 4096
"""Bytes that a slow reader's system takes unread."""
LITTLE = 64 * 1024
"""Far less than makes the system ask for more."""


class RecordingProtocol(SharedBufferProtocol):
    """Keeps what it is told."""

    def __init__(self) -> None:
        self.received = bytearray()
        self.told: list[str] = []
        self.lost: asyncio.Future[Exception | None] = asyncio.get_running_loop().create_future()
        self.keeps_open = False
        self.fails = False

    def connection_made(self, transport: Any) -> None:
        self.told.append("made")

    def data_received(self, data: bytes) -> None:
        if self.fails:
            raise ValueError("wrong")
        self.received += data

    def eof_received(self) -> bool:
        self.told.append("eof")
        return self.keeps_open

    def pause_writing(self) -> None:
        self.told.append("pause")

    def resume_writing(self) -> None:
        self.told.append("resume")

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
        while part := await self.loop.sock_recv(self.other, 1 << 16):
            received += part
        return bytes(received)

    async def wait_lost(self) -> Exception | None:
        return await asyncio.wait_for(self.protocol.lost, 10)

    async def test_bytes_that_the_system_does_not_take_wait_and_the_sender_is_told(self) -> None:
        self.transport.write(LARGE)
        self.assertGreater(self.transport.get_write_buffer_size(), WRITE_HIGH_WATER)
        self.assertEqual(self.protocol.told, ["made", "pause"])
        self.transport.write(b"end")
        self.transport.close()
        self.assertEqual(await asyncio.wait_for(self.read_to_end(), 10), LARGE + b"end")
        self.assertIsNone(await self.wait_lost())
        self.assertEqual(self.protocol.told, ["made", "pause", "resume"])

    async def test_the_sender_goes_on_once_few_bytes_wait(self) -> None:
        self.transport.write(LARGE)
        while "resume" not in self.protocol.told:
            self.assertGreater(self.transport.get_write_buffer_size(), WRITE_LOW_WATER)
            await self.loop.sock_recv(self.other, 1 << 12)
        self.assertLessEqual(self.transport.get_write_buffer_size(), WRITE_LOW_WATER)

    async def test_the_end_of_the_stream_goes_out_behind_what_waits(self) -> None:
        self.transport.write(LARGE)
        self.transport.write_eof()
        self.assertEqual(await asyncio.wait_for(self.read_to_end(), 10), LARGE)
        await self.loop.sock_sendall(self.other, b"still read")
        while not self.protocol.received:
            await asyncio.sleep(0)
        self.assertFalse(self.transport.is_closing())

    async def test_closed_it_ends_though_the_other_end_reads_no_more(self) -> None:
        self.transport.write(b"x" * 10_000_000)
        with mock.patch("pewtertack.node.http.transport.CLOSE_STALL_SECONDS", 0.05):
            self.transport.close()
            self.assertIsNone(await asyncio.wait_for(self.protocol.lost, 2))

    async def test_closed_it_goes_on_while_the_other_end_reads(self) -> None:
        data = b"x" * 3_000_000
        self.transport.write(data)
        with mock.patch("pewtertack.node.http.transport.CLOSE_STALL_SECONDS", 0.2):
            self.transport.close()
            received = 0
            while part := await self.loop.sock_recv(self.other, 1 << 16):
                received += len(part)
                await asyncio.sleep(0.01)
        self.assertEqual(received, len(data))

    async def test_aborted_it_drops_what_waits(self) -> None:
        self.transport.write(LARGE)
        self.transport.abort()
        self.assertIsNone(await self.wait_lost())
        self.assertLess(len(await asyncio.wait_for(self.read_to_end(), 10)), len(LARGE))
        self.transport.write(b"too late")
        self.transport.abort()

    async def test_the_other_end_s_end_of_stream_closes_it_unless_the_protocol_goes_on(
        self,
    ) -> None:
        self.protocol.keeps_open = True
        self.other.shutdown(socket.SHUT_WR)
        while "eof" not in self.protocol.told:
            await asyncio.sleep(0)
        self.transport.write(b"answer")
        self.assertEqual(await self.loop.sock_recv(self.other, 100), b"answer")
        self.transport.close()
        self.assertIsNone(await self.wait_lost())

    async def test_closed_at_the_end_of_the_stream(self) -> None:
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

    async def test_a_protocol_that_fails_ends_its_connection_and_the_loop_is_told(self) -> None:
        told: list[dict[str, Any]] = []
        self.loop.set_exception_handler(lambda _, context: told.append(context))
        self.protocol.fails = True
        await self.loop.sock_sendall(self.other, b"bytes")
        self.assertIsInstance(await self.wait_lost(), ValueError)
        self.assertIsInstance(told[0]["exception"], ValueError)

    async def test_a_write_to_an_end_that_has_gone_ends_it_with_the_error(self) -> None:
        self.transport.pause_reading()
        self.other.close()
        self.transport.write(b"bytes")
        self.assertIsInstance(await self.wait_lost(), BrokenPipeError)


class SlowReaderTest(unittest.IsolatedAsyncioTestCase):
    """A reader that takes little at a time, on a connection of which the system holds much.

    What callers saw: a long answer that ended early, though they read all the time.
    Cause: only what the process held was looked at. The system takes more of that once a third of
    its own buffer, of megabytes, is free.
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
        self.transport.write(LARGE)

    async def read(self, count: int, pause: float = 0.0) -> bytes:
        received = bytearray()
        while len(received) < count:
            part = await self.loop.sock_recv(self.reader, LITTLE)
            if not part:
                break
            received += part
            if pause:
                await asyncio.sleep(pause)
        return bytes(received)

    async def test_what_it_takes_counts_while_the_system_asks_for_no_more(self) -> None:
        unsent, undelivered_bytes = (
            self.transport.get_write_buffer_size(),
            self.transport.undelivered_bytes,
        )
        self.assertLess(unsent, undelivered_bytes)
        await self.read(LITTLE)
        self.assertEqual(self.transport.get_write_buffer_size(), unsent)
        self.assertLess(self.transport.undelivered_bytes, undelivered_bytes)
        self.transport.abort()

    async def test_closed_it_goes_on_while_little_is_taken(self) -> None:
        unsent = self.transport.get_write_buffer_size()
        with mock.patch.object(transport, "CLOSE_STALL_SECONDS", 0.2):
            self.transport.close()
            began = self.loop.time()
            received = 0
            while self.loop.time() - began < 1.0:
                received += len(await self.read(1, 0.02))
            self.assertEqual(self.transport.get_write_buffer_size(), unsent)
        received += len(await self.read(len(LARGE) - received))
        self.assertEqual(received, len(LARGE))


class ConnectSocketTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_refused_connection_is_told_as_such(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as closed:
            port = closed.getsockname()[1]
        with self.assertRaises(ConnectionRefusedError):
            await connect_socket("127.0.0.1", port, 5.0)

    async def test_one_that_is_not_made_in_time_is_given_up(self) -> None:
        with socket.create_server(("127.0.0.1", 0), backlog=0) as full:
            address = full.getsockname()
            with socket.create_connection(address), self.assertRaises(TimeoutError):
                while True:
                    connected = await connect_socket(*address, 0.05)
                    self.addCleanup(connected.close)

    async def test_one_to_the_same_machine_is_made_without_a_wait(self) -> None:
        with (
            socket.create_server(("127.0.0.1", 0)) as listening,
            mock.patch.object(transport, "_wait_writable", side_effect=AssertionError),
        ):
            connected = await connect_socket(*listening.getsockname(), 5.0)
            self.addCleanup(connected.close)
            self.assertEqual(connected.getpeername(), listening.getsockname())

    def test_one_that_is_there_is_not_given_up_since_the_loop_was_held_up(self) -> None:
        """What nodes saw: a gateway taken to be out of reach, and left alone, that had answered.

        Cause: the loop of a node looks at sockets before every second round only; after a round
        as long as the time for the connection the timer came before the look.
        """
        with asyncio.Runner(loop_factory=BoottimeEventLoop) as runner, listening() as address:
            for rounds in range(4):
                runner.run(self.connect_while_held_up(address, rounds))

    async def connect_while_held_up(self, address: tuple[str, int], rounds: int) -> None:
        for _ in range(rounds):
            await asyncio.sleep(0)
        connecting = asyncio.create_task(connect_socket(*address, timeout=0.05))
        asyncio.get_running_loop().call_soon(time.sleep, 0.1)  # in the same round, behind it
        (await connecting).close()

    async def test_it_comes_from_the_host_that_is_asked_for(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as listening:
            connected = await connect_socket(*listening.getsockname(), 5.0, "127.0.0.2")
            self.addCleanup(connected.close)
            accepted, (host, _) = listening.accept()
            accepted.close()
        self.assertEqual(host, "127.0.0.2")

    async def test_a_name_is_not_looked_up(self) -> None:
        with self.assertRaises(OSError):
            await connect_socket("localhost", 1, 5.0)

    async def test_a_port_that_is_none_is_refused(self) -> None:
        with self.assertRaises(ValueError):
            await connect_socket("127.0.0.1", 70_000, 5.0)
