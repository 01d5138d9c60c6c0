"""Which callers that do not read are waited for no longer."""

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
"""More than the system holds for a connection."""
LITTLE = 8 * 1024
SMALL_BUFFER = 4096


class Caller:
    def __init__(self) -> None:
        self.undelivered_bytes = 70_000
        self.ended = False

    def disconnect(self) -> None:
        self.ended = True


class UnreadAnswersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.slow_readers = SlowReaders()

    def silent(self, now: float = 0.0) -> Caller:
        caller = Caller()
        self.slow_readers.add(caller, now)
        return caller

    def test_one_that_takes_nothing_is_ended_after_some_seconds(self) -> None:
        caller = self.silent()
        self.assertIsNotNone(self.slow_readers.check(caller, SLOW_READER_SECONDS - 0.01))
        self.assertFalse(caller.ended)
        self.assertIsNone(self.slow_readers.check(caller, SLOW_READER_SECONDS))
        self.assertTrue(caller.ended)
        self.assertEqual(len(self.slow_readers), 0)

    def test_one_that_takes_little_is_waited_for(self) -> None:
        caller = self.silent()
        now = 0.0
        for _ in range(20):
            now += SLOW_READER_SECONDS - 0.1
            caller.undelivered_bytes -= 1
            self.assertIsNotNone(self.slow_readers.check(caller, now))
        self.assertFalse(caller.ended)

    def test_of_too_many_the_longest_silent_is_ended_sooner(self) -> None:
        callers = [self.silent(index * 1e-6) for index in range(MAX_SLOW_READERS + 2)]
        callers[0].undelivered_bytes -= 1
        for caller in callers:
            self.slow_readers.check(caller, CROWDED_SLOW_READER_SECONDS + 0.01)
        self.assertEqual([caller.ended for caller in callers[:4]], [False, True, True, False])
        self.assertEqual(len(self.slow_readers), MAX_SLOW_READERS)

    def test_one_that_has_read_or_gone_is_forgotten(self) -> None:
        caller = self.silent()
        self.slow_readers.discard(caller)
        self.assertIsNone(self.slow_readers.check(caller, 2 * SLOW_READER_SECONDS))
        self.assertFalse(caller.ended)
        self.slow_readers.discard(caller)


class SlowReaderTest(ProxyTestCase):
    """A caller that reads little of what the system holds.

    What the process holds does not get less for long while the caller reads: the system takes more
    only once a third of its own buffer, which may be megabytes, is free.
    """

    async def large(self, _scope: Any, _receive: Any, send: Any) -> None:
        await respond(send, body=bytes(LENGTH))

    async def test_it_is_not_ended(self) -> None:
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
                received += len(await loop.sock_recv(caller, LITTLE))
                await asyncio.sleep(0.05)
            self.assertEqual(len(self.servers[0].slow_readers), 1)
            while part := await loop.sock_recv(caller, LENGTH):
                received += len(part)
        self.assertGreater(received, LENGTH)
