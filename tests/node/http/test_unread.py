"""Which callers that do not read are disconnected."""

import asyncio
import socket
import unittest
from typing import Any
from unittest import mock

from pewtertack.node.http import unread
from pewtertack.node.http.unread import (
    CROWDED_SLOW_READER_SECONDS,
    MAX_SLOW_READERS,
    SLOW_READER_SECONDS,
    SlowReaders,
)
from tests.node.proxy.harness import ProxyTestCase, request_bytes, respond

LENGTH = 8 * 1024 * 1024
"""More than the kernel buffers for a connection."""
READ_BYTES = 8 * 1024
SMALL_BUFFER = 4096


class Caller:
    def __init__(self) -> None:
        self.undelivered_bytes = 70_000
        self.disconnected = False

    def disconnect(self) -> None:
        self.disconnected = True


class SlowReadersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.slow_readers = SlowReaders()

    def add_silent_caller(self, now: float = 0.0) -> Caller:
        caller = Caller()
        self.slow_readers.add(caller, now)
        return caller

    def test_a_caller_that_reads_nothing_is_disconnected_after_some_seconds(self) -> None:
        caller = self.add_silent_caller()
        self.assertIsNotNone(self.slow_readers.check(caller, SLOW_READER_SECONDS - 0.01))
        self.assertFalse(caller.disconnected)
        self.assertIsNone(self.slow_readers.check(caller, SLOW_READER_SECONDS))
        self.assertTrue(caller.disconnected)
        self.assertEqual(len(self.slow_readers), 0)

    def test_a_caller_that_reads_little_is_kept(self) -> None:
        caller = self.add_silent_caller()
        now = 0.0
        for _ in range(20):
            now += SLOW_READER_SECONDS - 0.1
            caller.undelivered_bytes -= 1
            self.assertIsNotNone(self.slow_readers.check(caller, now))
        self.assertFalse(caller.disconnected)

    def test_the_longest_silent_of_too_many_callers_is_disconnected_sooner(self) -> None:
        callers = [self.add_silent_caller(index * 1e-6) for index in range(MAX_SLOW_READERS + 2)]
        callers[0].undelivered_bytes -= 1
        for caller in callers:
            self.slow_readers.check(caller, CROWDED_SLOW_READER_SECONDS + 0.01)
        self.assertEqual(
            [caller.disconnected for caller in callers[:4]], [False, True, True, False]
        )
        self.assertEqual(len(self.slow_readers), MAX_SLOW_READERS)

    def test_a_caller_that_has_read_or_disconnected_is_removed(self) -> None:
        caller = self.add_silent_caller()
        self.slow_readers.discard(caller)
        self.assertIsNone(self.slow_readers.check(caller, 2 * SLOW_READER_SECONDS))
        self.assertFalse(caller.disconnected)
        self.slow_readers.discard(caller)


class SlowReaderTest(ProxyTestCase):
    """A caller that reads little of the data buffered by the kernel.

    The amount held by the process does not decrease for a long time while the caller reads: the
    kernel accepts more only once a third of its own buffer, which may be megabytes, is free.
    """

    async def large(self, _scope: Any, _receive: Any, send: Any) -> None:
        await respond(send, body=bytes(LENGTH))

    async def test_it_is_not_disconnected(self) -> None:
        host, _, port = (await self.serve(self.large)).rpartition(":")
        loop = asyncio.get_running_loop()
        caller = socket.socket()
        self.addCleanup(caller.close)
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        caller.setblocking(False)
        await loop.sock_connect(caller, (host, int(port)))
        await loop.sock_sendall(caller, request_bytes("GET", "/"))
        received = 0
        with mock.patch.object(unread, "SLOW_READER_SECONDS", 0.6):
            for _ in range(50):
                received += len(await loop.sock_recv(caller, READ_BYTES))
                await asyncio.sleep(0.05)
            self.assertEqual(len(self.servers[0].slow_readers), 1)
            while chunk := await loop.sock_recv(caller, LENGTH):
                received += len(chunk)
        self.assertGreater(received, LENGTH)
