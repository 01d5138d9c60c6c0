"""What a caller that keeps its connection concludes, and how long its request was whole."""

import contextlib
import unittest
from collections.abc import AsyncIterator, Awaitable, Callable

import anyio
import anyio.abc

from pewtertack.lab.backend.response_body import checksum, expected_body
from pewtertack.lab.demo import NEW_CALL
from pewtertack.lab.load.caller import Target
from pewtertack.lab.records import CallOutcome, CallResult
from pewtertack.lab.soak.connection import Call, PersistentConnection, connect
from pewtertack.lab.soak.lag import LagMeter
from pewtertack.settings import Address

Server = Callable[[anyio.abc.SocketStream], Awaitable[None]]


def answer(request_id: str, *headers: str) -> bytes:
    body = expected_body(request_id, NEW_CALL.answer_bytes)
    lines = [
        "HTTP/1.1 200 OK",
        f"x-request-id: {request_id}",
        f"x-checksum: {checksum(body)}",
        f"content-length: {len(body)}",
        *headers,
    ]
    return "\r\n".join([*lines, "", ""]).encode() + body


async def read_requests(stream: anyio.abc.SocketStream, count: int) -> None:
    data = b""
    while data.count(b"\r\n\r\n") < count:
        data += await stream.receive()


@contextlib.asynccontextmanager
async def connection_to(server: Server, pause: float = 0.0) -> AsyncIterator[PersistentConnection]:
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")

    async def serve(stream: anyio.abc.SocketStream) -> None:
        async with stream:
            await server(stream)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, serve)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        connection = await connect(Target("n", Address("127.0.0.1", port)), LagMeter(), pause)
        assert connection is not None
        yield connection
        await connection.close()
        tasks.cancel_scope.cancel()
    await listener.aclose()


class PersistentConnectionTest(unittest.IsolatedAsyncioTestCase):
    async def ask(self, server: Server, *request_ids: str) -> tuple[list[CallResult], bool]:
        """Return what was told, and whether the connection may be used again."""
        async with connection_to(server) as connection:
            with anyio.fail_after(60):
                told = await connection.ask([Call(NEW_CALL, name) for name in request_ids])
            return told, connection.usable

    async def test_answers_in_order_on_a_connection_that_stays(self) -> None:
        async def server(stream: anyio.abc.SocketStream) -> None:
            await read_requests(stream, 2)
            await stream.send(answer("r1") + answer("r2"))
            await anyio.sleep_forever()

        told, usable = await self.ask(server, "r1", "r2")
        self.assertEqual([line.outcome for line in told], [CallOutcome.ANSWERED] * 2)
        self.assertTrue(all(line.checksum_ok and line.own_answer for line in told))
        self.assertTrue(usable)

    async def test_another_s_answer_is_seen(self) -> None:
        async def server(stream: anyio.abc.SocketStream) -> None:
            await read_requests(stream, 1)
            await stream.send(answer("r2", "connection: close"))

        (told,), usable = await self.ask(server, "r1")
        self.assertEqual((told.own_answer, usable), (False, False))

    async def test_the_end_leaves_what_was_sent_whole_without_an_answer(self) -> None:
        async def server(stream: anyio.abc.SocketStream) -> None:
            await read_requests(stream, 2)
            await anyio.sleep(0.3)
            await stream.send(answer("r1") + answer("r2")[:-1])

        (_, told), usable = await self.ask(server, "r1", "r2")
        self.assertEqual((told.outcome, usable), (CallOutcome.CUT, False))
        self.assertEqual(told.broken_off_after, NEW_CALL.answer_bytes - 1)
        assert told.whole_for is not None
        assert told.begun_for is not None
        self.assertLessEqual(told.whole_for, told.begun_for)
        self.assertLessEqual(told.begun_for, told.latency)

    async def test_where_no_answer_has_begun_none_has_broken_off(self) -> None:
        async def server(stream: anyio.abc.SocketStream) -> None:
            await read_requests(stream, 2)
            await stream.send(answer("r1"))

        (first, second), _ = await self.ask(server, "r1", "r2")
        self.assertEqual(second.outcome, CallOutcome.CUT)
        self.assertEqual([first.broken_off_after, second.broken_off_after], [None, None])

    async def test_who_reads_with_pauses_gets_the_whole_answer(self) -> None:
        async def server(stream: anyio.abc.SocketStream) -> None:
            await read_requests(stream, 1)
            whole = answer("r1")
            await stream.send(whole[:-1])
            await anyio.sleep(0.05)
            await stream.send(whole[-1:])
            await anyio.sleep_forever()

        async with connection_to(server, pause=0.1) as connection:
            with anyio.fail_after(60):
                (told,) = await connection.ask([Call(NEW_CALL, "r1")])
        self.assertTrue(told.own_answer)
        self.assertGreaterEqual(told.latency, 0.1)

    async def test_what_is_no_answer_is_seen(self) -> None:
        async def server(stream: anyio.abc.SocketStream) -> None:
            await read_requests(stream, 1)
            await stream.send(b"no answer\r\n\r\n")

        (told,), _ = await self.ask(server, "r1")
        self.assertFalse(told.own_answer)

    async def test_an_ended_connection_is_noticed_before_the_next_request(self) -> None:
        async def server(stream: anyio.abc.SocketStream) -> None:
            await stream.send_eof()

        async with connection_to(server) as connection:
            with anyio.fail_after(60):
                while not connection.ended:
                    await anyio.sleep(0.01)
