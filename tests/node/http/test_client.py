"""Reads of the platform: connections that are kept, closed, silent or too talkative."""

import asyncio
import errno
import unittest
from unittest import mock

from pewtertack.errors import ReadFailure
from pewtertack.node.http.client import (
    AnswerTooLargeError,
    HttpClient,
    ServiceTimeouts,
    ServiceUnreachableError,
)
from pewtertack.node.http.connection import BackendConnection, ExchangeBrokenError
from tests.node.listening import Listener, Serve

PROMPT = ServiceTimeouts(1.0, 0.3, 0.3)
WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class HttpClientTest(unittest.IsolatedAsyncioTestCase):
    async def client_of(self, *answers: bytes, closes: bool = False) -> HttpClient:
        """Return a client of a service that gives these answers in turn, over any connections."""
        self.connections = 0
        left = list(answers)

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.connections += 1
            while left:
                try:
                    await reader.readuntil(b"\r\n\r\n")
                except asyncio.IncompleteReadError:
                    break
                writer.write(left.pop(0))
                await writer.drain()
                if closes:
                    break
            writer.close()

        return await self.client_at(serve)

    async def client_at(self, serve: Serve) -> HttpClient:
        client = HttpClient(await Listener(serve).start(self), 100)
        self.addCleanup(client.close)
        return client

    async def test_a_connection_serves_one_read_after_the_other(self) -> None:
        client = await self.client_of(WHOLE, WHOLE, WHOLE)
        bodies = [(await client.get("/a", PROMPT)).body for _ in range(3)]
        self.assertEqual((bodies, self.connections), ([b"ok"] * 3, 1))

    async def test_one_that_the_service_has_closed_is_replaced(self) -> None:
        client = await self.client_of(WHOLE, WHOLE, closes=True)
        for _ in range(2):
            self.assertEqual((await client.get("/a", PROMPT)).status, 200)
            await asyncio.sleep(0.05)
        self.assertEqual(self.connections, 2)

    async def test_a_connection_with_a_lost_answer_is_used_no_more(self) -> None:
        client = await self.client_of(b"", WHOLE)
        with self.assertRaises(ServiceUnreachableError):
            await client.get("/a", PROMPT)
        self.assertEqual((await client.get("/a", PROMPT)).body, b"ok")
        self.assertEqual(self.connections, 2)

    async def test_an_answer_that_is_cut_or_has_no_length_is_none(self) -> None:
        for answer in (WHOLE[:-1], b"HTTP/1.1 200 OK\r\n\r\nok", b"nonsense\r\n\r\n"):
            with self.subTest(answer):
                client = await self.client_of(answer, closes=True)
                with self.assertRaises(ServiceUnreachableError):
                    await client.get("/a", PROMPT)

    async def test_an_answer_without_a_body_needs_no_length(self) -> None:
        client = await self.client_of(b"HTTP/1.1 304 Not Modified\r\n\r\n")
        self.assertEqual((await client.get("/a", PROMPT)).status, 304)

    async def client_of_parts(self, parts: int, gap: float) -> HttpClient:
        """Return a client of a service that sends its answer part by part."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % parts)
            for _ in range(parts):
                await asyncio.sleep(gap)
                writer.write(b"x")
            writer.close()

        return await self.client_at(serve)

    async def test_a_long_answer_over_a_narrow_link_is_read_to_its_end(self) -> None:
        """0.1 s are allowed for a part, and 0.4 s the whole takes."""
        client = await self.client_of_parts(8, 0.05)
        self.assertEqual((await client.get("/a", ServiceTimeouts(1.0, 0.1, 0.1))).body, b"x" * 8)

    async def test_one_that_falls_silent_or_never_ends_is_given_up(self) -> None:
        for parts, gap in ((2, 0.5), (90, 0.02)):
            client = await self.client_of_parts(parts, gap)
            began = asyncio.get_running_loop().time()
            with self.assertRaises(ServiceUnreachableError):
                await client.get("/a", ServiceTimeouts(1.0, 0.1, 0.1))
            self.assertLess(asyncio.get_running_loop().time() - began, 1.3)

    async def failure_of(self, client: HttpClient) -> ReadFailure:
        with self.assertRaises(ServiceUnreachableError) as raised:
            await client.get("/a", ServiceTimeouts(1.0, 0.1, 0.1))
        return raised.exception.failure

    async def test_a_failure_tells_how_far_the_answer_had_come(self) -> None:
        begun = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no"
        self.assertEqual(await self.failure_of(HttpClient("127.0.0.1:1", 100)), "no-connection")
        for answer, closes, failure in (
            (b"", False, ReadFailure.SLOW),
            (b"HTTP/1.1 200", False, ReadFailure.SLOW),
            (b"", True, ReadFailure.CLOSED),
            (begun, False, ReadFailure.UNFINISHED),
            (begun, True, ReadFailure.UNFINISHED),
        ):
            with self.subTest(answer, closes=closes):
                client = await self.client_of(answer, WHOLE, closes=closes)
                self.assertIs(await self.failure_of(client), failure)

    async def test_a_connection_that_falls_silent_is_told_from_a_slow_service(self) -> None:
        for error, failure in (
            (OSError(errno.ETIMEDOUT, "timed out"), ReadFailure.SILENT),
            (OSError(errno.ECONNRESET, "reset"), ReadFailure.CLOSED),
        ):
            client = await self.client_of(b"", WHOLE)

            async def exchange(connection: BackendConnection, _: object) -> None:
                connection._end_silent(error)  # noqa: B023
                raise ExchangeBrokenError("the connection ended")

            with mock.patch.object(BackendConnection, "exchange", exchange):
                self.assertIs(await self.failure_of(client), failure)

    async def test_a_body_beyond_the_limit_ends_the_read(self) -> None:
        client = await self.client_of(
            b"HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n" + bytes(101)
        )
        with self.assertRaises(AnswerTooLargeError):
            await client.get("/a", PROMPT)


if __name__ == "__main__":
    unittest.main()
