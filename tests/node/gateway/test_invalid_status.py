"""Answers whose status is not one of HTTP, on both hops."""

import asyncio
import unittest
from unittest import mock

from pewtertack.node.http.connection import BackendConnection
from pewtertack.node.http.messages import OutgoingRequest
from pewtertack.node.http.response_reading import InvalidStatusError
from tests.node.gateway.test_gateway import POST, GatewayTestCase, header
from tests.node.proxy.harness import raw_call

INVALID = (b"000", b"099", b"600", b"999")
TIMEOUT_SECONDS = 3.0


class FaultyBackend:
    """Answers with a status of no meaning and leaves the connection open; the second, with 200."""

    def __init__(self, status: bytes, answers: int = 1000) -> None:
        self.status = status
        self.answers = answers
        """Number of answers with the invalid status."""
        self.calls = 0

    async def __call__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, head: str
    ) -> bool:
        self.calls += 1
        status = self.status if self.calls <= self.answers else b"200"
        request_id = header(head, "x-call").encode()
        writer.write(
            b"HTTP/1.1 %b X\r\nx-call: %b\r\ncontent-length: 2\r\n\r\nok" % (status, request_id)
        )
        return True


class InvalidStatusTest(GatewayTestCase):
    async def test_a_request_that_may_not_be_repeated_fails_at_once_with_unknown_outcome(
        self,
    ) -> None:
        for status in INVALID:
            with self.subTest(status):
                backend = FaultyBackend(status)
                address = await self.start_fleet(backend, timeout=TIMEOUT_SECONDS)
                answer = await raw_call(address, POST)
                self.assertEqual((answer.status, backend.calls), (502, 1))
                self.assertEqual(answer.headers["x-outcome"], "unknown")

    async def test_a_repeatable_request_is_sent_again(self) -> None:
        for status in INVALID:
            with self.subTest(status):
                backend = FaultyBackend(status, answers=1)
                address = await self.start_fleet(
                    backend, backend, timeout=TIMEOUT_SECONDS, repeatable=True, retry_budget=10.0
                )
                answer = await raw_call(address, POST)
                self.assertEqual((answer.status, answer.body), (200, b"ok"))

    async def test_a_provisional_answer_is_waited_out(self) -> None:
        backend = FaultyBackend(b"199")
        address = await self.start_fleet(backend, timeout=0.5)
        self.assertEqual((await raw_call(address, POST)).status, 504)


class InvalidStatusReadingTest(unittest.IsolatedAsyncioTestCase):
    async def test_the_exchange_breaks(self) -> None:
        for status in INVALID:
            with self.subTest(status):
                connection = BackendConnection()
                connection.connection_made(mock.Mock(spec=asyncio.Transport))
                request = OutgoingRequest(b"GET", b"/", [(b"host", b"a")])
                reading = asyncio.ensure_future(connection.exchange(request))
                await asyncio.sleep(0)
                connection.data_received(b"HTTP/1.1 %b X\r\n\r\n" % status)
                with self.assertRaises(InvalidStatusError):
                    await reading
                self.assertFalse(connection.reusable)
