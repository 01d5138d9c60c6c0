"""Answers of back ends as they arrive, in any pieces."""

import asyncio
import unittest
from collections.abc import AsyncIterator
from typing import Any
from unittest import mock

from pewtertack.node.http.connection import BackendConnection, ExchangeLeftError
from pewtertack.node.http.messages import OutgoingRequest
from pewtertack.node.http.response_reading import READ_BUFFER_LIMIT, ExchangeBrokenError

OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


class ConnectionTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.connection = BackendConnection("10.0.0.1:80")
        self.written = b""
        self.transport = mock.Mock(spec=asyncio.Transport)
        self.transport.write.side_effect = self.write
        self.connection.connection_made(self.transport)

    def write(self, data: bytes) -> None:
        self.written += data

    async def exchange(
        self, *pieces: bytes, end: bool = False, method: bytes = b"GET", body: Any = None
    ) -> tuple[int, bytes]:
        """Make a request that is answered by ``pieces``."""
        request = OutgoingRequest(method, b"/", [(b"host", b"a")], body)
        waiting = asyncio.ensure_future(self.connection.exchange(request))
        await asyncio.sleep(0)
        for piece in pieces:
            self.connection.data_received(piece)
            await asyncio.sleep(0)
        if end:
            self.connection.eof_received()
        start = await waiting
        return start.status, await self.connection.read_body()

    async def test_an_answer_in_single_bytes(self) -> None:
        pieces = [bytes([byte]) for byte in OK]
        self.assertEqual(await self.exchange(*pieces), (200, b"ok"))
        self.assertTrue(self.connection.reusable)
        self.assertEqual(self.written, b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")

    async def test_one_whose_answer_nobody_took_is_not_used_again(self) -> None:
        request = OutgoingRequest(b"GET", b"/", [(b"host", b"a")], None)
        waiting = asyncio.ensure_future(self.connection.exchange(request))
        await asyncio.sleep(0)
        body = b"x" * (2 * READ_BUFFER_LIMIT)
        self.connection.data_received(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body))
        for start in range(0, len(body), 16 * 1024):
            self.connection.data_received(body[start : start + 16 * 1024])
        await waiting
        self.transport.pause_reading.assert_called_once_with()
        self.assertFalse(self.connection.reusable)

    async def test_one_exchange_after_the_other(self) -> None:
        for _ in range(3):
            self.assertEqual(await self.exchange(OK), (200, b"ok"))
        self.assertTrue(self.connection.reusable)

    async def test_a_provisional_answer_is_passed_over(self) -> None:
        provisional = b"HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n"
        self.assertEqual(await self.exchange(provisional + OK), (200, b"ok"))
        self.assertTrue(self.connection.reusable)

    async def test_a_doubt_of_the_other_end_is_asked_about_once_and_only_without_an_answer(
        self,
    ) -> None:
        doubt = b"HTTP/1.1 102 Processing\r\nx-backend-load: 1/6\r\n\r\n"
        asked: list[Any] = []

        def leave(headers: Any) -> bool:
            asked.append(headers)
            return len(asked) == 2

        request = OutgoingRequest(b"GET", b"/", [(b"host", b"a")])
        answered = asyncio.ensure_future(self.connection.exchange(request, leave))
        await asyncio.sleep(0)
        for data in (doubt, doubt + OK):
            self.connection.data_received(data)
            await asyncio.sleep(0)
        self.assertEqual((await answered).status, 200)
        self.assertEqual(asked, [[(b"x-backend-load", b"1/6")]])
        self.connection.pop_complete_body()
        left = asyncio.ensure_future(self.connection.exchange(request, leave))
        await asyncio.sleep(0)
        self.connection.data_received(doubt)
        with self.assertRaises(ExchangeLeftError):
            await left
        self.assertTrue(self.connection.sent)
        self.assertFalse(self.connection.reusable)

    async def test_bytes_behind_the_answer_end_the_connection_s_use(self) -> None:
        self.assertEqual(await self.exchange(OK + OK), (200, b"ok"))
        self.assertFalse(self.connection.reusable)

    async def test_bytes_that_come_while_no_answer_is_awaited_end_it_too(self) -> None:
        await self.exchange(OK)
        self.connection.data_received(OK)
        self.assertFalse(self.connection.reusable)
        self.transport.abort.assert_called_once()

    async def test_what_is_no_answer_is_a_failure(self) -> None:
        with self.assertRaises(ExchangeBrokenError):
            await self.exchange(b"\x00\x01 nonsense\r\n\r\n")
        self.assertTrue(self.connection.sent)

    async def test_an_answer_without_length_ends_with_a_closed_connection(self) -> None:
        unframed = b"HTTP/1.1 200 OK\r\n\r\nall of it"
        self.assertEqual(await self.exchange(unframed, end=True), (200, b"all of it"))
        self.assertFalse(self.connection.reusable)

    async def test_an_answer_without_length_does_not_end_with_a_reset(self) -> None:
        request = OutgoingRequest(b"GET", b"/", [])
        waiting = asyncio.ensure_future(self.connection.exchange(request))
        await asyncio.sleep(0)
        self.connection.data_received(b"HTTP/1.1 200 OK\r\n\r\nhalf")
        await waiting
        self.connection.connection_lost(ConnectionResetError())
        with self.assertRaises(ExchangeBrokenError):
            await self.connection.read_body()

    async def test_an_announced_length_that_is_not_reached_is_a_failure(self) -> None:
        with self.assertRaises(ExchangeBrokenError):
            await self.exchange(OK[:-1], end=True)

    async def test_an_answer_that_closes_is_not_reused(self) -> None:
        closing = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
        self.assertEqual(await self.exchange(closing), (200, b""))
        self.assertFalse(self.connection.reusable)

    async def test_an_answer_to_head_has_no_body(self) -> None:
        head = b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n"
        self.assertEqual(await self.exchange(head, method=b"HEAD"), (200, b""))

    async def test_an_early_answer_ends_the_body_and_the_connection_s_use(self) -> None:
        async def body() -> AsyncIterator[bytes]:
            yield b"first"
            await asyncio.sleep(0)
            yield b"second"

        self.assertEqual(await self.exchange(OK, method=b"POST", body=body()), (200, b"ok"))
        self.assertNotIn(b"second", self.written)
        self.assertFalse(self.connection.reusable)

    async def test_an_early_answer_is_taken_though_nobody_reads_the_body(self) -> None:
        async def body() -> AsyncIterator[bytes]:
            yield b"first"
            yield b"second"

        self.connection.pause_writing()
        async with asyncio.timeout(5):
            self.assertEqual(await self.exchange(OK, method=b"POST", body=body()), (200, b"ok"))
        self.assertFalse(self.connection.reusable)

    async def test_nothing_is_sent_on_a_connection_that_has_ended(self) -> None:
        self.connection.eof_received()
        with self.assertRaises(ExchangeBrokenError):
            await self.exchange()
        self.assertFalse(self.connection.sent)
