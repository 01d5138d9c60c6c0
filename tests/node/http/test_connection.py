"""Parsing of back ends' responses that arrive in arbitrary pieces."""

import asyncio
import unittest
from collections.abc import AsyncIterator
from typing import Any
from unittest import mock

from pewtertack.node.http.connection import BackendConnection, ExchangeLeftError
from pewtertack.node.http.messages import OutgoingRequest
from pewtertack.node.http.response_reading import READ_BUFFER_LIMIT, ExchangeBrokenError

OK_RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


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
        """Send a request that is answered with ``pieces``."""
        request = OutgoingRequest(method, b"/", [(b"host", b"a")], body)
        waiting = asyncio.ensure_future(self.connection.exchange(request))
        await asyncio.sleep(0)
        for piece in pieces:
            self.connection.data_received(piece)
            await asyncio.sleep(0)
        if end:
            self.connection.eof_received()
        head = await waiting
        return head.status, await self.connection.read_body()

    async def test_a_response_in_single_bytes(self) -> None:
        pieces = [bytes([byte]) for byte in OK_RESPONSE]
        self.assertEqual(await self.exchange(*pieces), (200, b"ok"))
        self.assertTrue(self.connection.reusable)
        self.assertEqual(self.written, b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")

    async def test_a_connection_whose_response_was_not_read_is_not_reused(self) -> None:
        request = OutgoingRequest(b"GET", b"/", [(b"host", b"a")], None)
        waiting = asyncio.ensure_future(self.connection.exchange(request))
        await asyncio.sleep(0)
        body = b"x" * (2 * READ_BUFFER_LIMIT)
        self.connection.data_received(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body))
        for offset in range(0, len(body), 16 * 1024):
            self.connection.data_received(body[offset : offset + 16 * 1024])
        await waiting
        self.transport.pause_reading.assert_called_once_with()
        self.assertFalse(self.connection.reusable)

    async def test_consecutive_exchanges(self) -> None:
        for _ in range(3):
            self.assertEqual(await self.exchange(OK_RESPONSE), (200, b"ok"))
        self.assertTrue(self.connection.reusable)

    async def test_a_provisional_response_is_skipped(self) -> None:
        provisional = b"HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n"
        self.assertEqual(await self.exchange(provisional + OK_RESPONSE), (200, b"ok"))
        self.assertTrue(self.connection.reusable)

    async def test_a_processing_response_is_reported_once_and_only_before_the_response(
        self,
    ) -> None:
        processing = b"HTTP/1.1 102 Processing\r\nx-backend-load: 1/6\r\n\r\n"
        reported: list[Any] = []

        def abandon(headers: Any) -> bool:
            reported.append(headers)
            return len(reported) == 2

        request = OutgoingRequest(b"GET", b"/", [(b"host", b"a")])
        exchanging = asyncio.ensure_future(self.connection.exchange(request, abandon))
        await asyncio.sleep(0)
        for data in (processing, processing + OK_RESPONSE):
            self.connection.data_received(data)
            await asyncio.sleep(0)
        self.assertEqual((await exchanging).status, 200)
        self.assertEqual(reported, [[(b"x-backend-load", b"1/6")]])
        self.connection.pop_complete_body()
        abandoned = asyncio.ensure_future(self.connection.exchange(request, abandon))
        await asyncio.sleep(0)
        self.connection.data_received(processing)
        with self.assertRaises(ExchangeLeftError):
            await abandoned
        self.assertTrue(self.connection.sent)
        self.assertFalse(self.connection.reusable)

    async def test_bytes_after_the_response_prevent_reuse(self) -> None:
        self.assertEqual(await self.exchange(OK_RESPONSE + OK_RESPONSE), (200, b"ok"))
        self.assertFalse(self.connection.reusable)

    async def test_bytes_received_while_no_response_is_awaited_close_the_connection(self) -> None:
        await self.exchange(OK_RESPONSE)
        self.connection.data_received(OK_RESPONSE)
        self.assertFalse(self.connection.reusable)
        self.transport.abort.assert_called_once()

    async def test_a_malformed_response_is_an_error(self) -> None:
        with self.assertRaises(ExchangeBrokenError):
            await self.exchange(b"\x00\x01 nonsense\r\n\r\n")
        self.assertTrue(self.connection.sent)

    async def test_an_unframed_response_ends_with_the_connection(self) -> None:
        unframed = b"HTTP/1.1 200 OK\r\n\r\nall of it"
        self.assertEqual(await self.exchange(unframed, end=True), (200, b"all of it"))
        self.assertFalse(self.connection.reusable)

    async def test_an_unframed_response_does_not_end_with_a_reset(self) -> None:
        request = OutgoingRequest(b"GET", b"/", [])
        waiting = asyncio.ensure_future(self.connection.exchange(request))
        await asyncio.sleep(0)
        self.connection.data_received(b"HTTP/1.1 200 OK\r\n\r\nhalf")
        await waiting
        self.connection.connection_lost(ConnectionResetError())
        with self.assertRaises(ExchangeBrokenError):
            await self.connection.read_body()

    async def test_a_response_shorter_than_its_content_length_is_an_error(self) -> None:
        with self.assertRaises(ExchangeBrokenError):
            await self.exchange(OK_RESPONSE[:-1], end=True)

    async def test_a_connection_with_a_closing_response_is_not_reused(self) -> None:
        closing = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
        self.assertEqual(await self.exchange(closing), (200, b""))
        self.assertFalse(self.connection.reusable)

    async def test_a_response_to_head_has_no_body(self) -> None:
        head = b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n"
        self.assertEqual(await self.exchange(head, method=b"HEAD"), (200, b""))

    async def test_an_early_response_stops_the_body_and_prevents_reuse(self) -> None:
        async def body() -> AsyncIterator[bytes]:
            yield b"first"
            await asyncio.sleep(0)
            yield b"second"

        self.assertEqual(
            await self.exchange(OK_RESPONSE, method=b"POST", body=body()), (200, b"ok")
        )
        self.assertNotIn(b"second", self.written)
        self.assertFalse(self.connection.reusable)

    async def test_an_early_response_is_read_while_writing_is_paused(self) -> None:
        async def body() -> AsyncIterator[bytes]:
            yield b"first"
            yield b"second"

        self.connection.pause_writing()
        async with asyncio.timeout(5):
            self.assertEqual(
                await self.exchange(OK_RESPONSE, method=b"POST", body=body()), (200, b"ok")
            )
        self.assertFalse(self.connection.reusable)

    async def test_nothing_is_sent_on_a_closed_connection(self) -> None:
        self.connection.eof_received()
        with self.assertRaises(ExchangeBrokenError):
            await self.exchange()
        self.assertFalse(self.connection.sent)
