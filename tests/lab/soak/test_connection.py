"""Results of requests on a persistent connection."""

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


def make_response(request_id: str, *headers: str) -> bytes:
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
async def connection_to(
    server: Server, read_pause: float = 0.0
) -> AsyncIterator[PersistentConnection]:
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")

    async def serve(stream: anyio.abc.SocketStream) -> None:
        async with stream:
            await server(stream)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, serve)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        connection = await connect(Target("n", Address("127.0.0.1", port)), LagMeter(), read_pause)
        assert connection is not None
        yield connection
        await connection.close()
        tasks.cancel_scope.cancel()
    await listener.aclose()


class PersistentConnectionTest(unittest.IsolatedAsyncioTestCase):
    async def send_calls(self, server: Server, *request_ids: str) -> tuple[list[CallResult], bool]:
        """Return the results of requests and whether the connection may be used again."""
        async with connection_to(server) as connection:
            with anyio.fail_after(60):
                result = await connection.send_calls([Call(NEW_CALL, name) for name in request_ids])
            return result, connection.usable

    async def test_responses_in_order_leave_connection_usable(self) -> None:
        async def server(stream: anyio.abc.SocketStream) -> None:
            await read_requests(stream, 2)
            await stream.send(make_response("r1") + make_response("r2"))
            await anyio.sleep_forever()

        result, usable = await self.send_calls(server, "r1", "r2")
        self.assertEqual([line.outcome for line in result], [CallOutcome.ANSWERED] * 2)
        self.assertTrue(all(line.checksum_ok and line.own_answer for line in result))
        self.assertTrue(usable)

    async def test_response_to_another_request_is_detected(self) -> None:
        async def server(stream: anyio.abc.SocketStream) -> None:
            await read_requests(stream, 1)
            await stream.send(make_response("r2", "connection: close"))

        (result,), usable = await self.send_calls(server, "r1")
        self.assertEqual((result.own_answer, usable), (False, False))

    async def test_closed_connection_leaves_completely_sent_request_unanswered(self) -> None:
        async def server(stream: anyio.abc.SocketStream) -> None:
            await read_requests(stream, 2)
            await anyio.sleep(0.3)
            await stream.send(make_response("r1") + make_response("r2")[:-1])

        (_, result), usable = await self.send_calls(server, "r1", "r2")
        self.assertEqual((result.outcome, usable), (CallOutcome.CUT, False))
        self.assertEqual(result.broken_off_after, NEW_CALL.answer_bytes - 1)
        assert result.whole_for is not None
        assert result.begun_for is not None
        self.assertLessEqual(result.whole_for, result.begun_for)
        self.assertLessEqual(result.begun_for, result.latency)

    async def test_no_response_is_interrupted_if_none_has_begun(self) -> None:
        async def server(stream: anyio.abc.SocketStream) -> None:
            await read_requests(stream, 2)
            await stream.send(make_response("r1"))

        (first, second), _ = await self.send_calls(server, "r1", "r2")
        self.assertEqual(second.outcome, CallOutcome.CUT)
        self.assertEqual([first.broken_off_after, second.broken_off_after], [None, None])

    async def test_caller_that_pauses_gets_complete_response(self) -> None:
        async def server(stream: anyio.abc.SocketStream) -> None:
            await read_requests(stream, 1)
            response = make_response("r1")
            await stream.send(response[:-1])
            await anyio.sleep(0.05)
            await stream.send(response[-1:])
            await anyio.sleep_forever()

        async with connection_to(server, read_pause=0.1) as connection:
            with anyio.fail_after(60):
                (result,) = await connection.send_calls([Call(NEW_CALL, "r1")])
        self.assertTrue(result.own_answer)
        self.assertGreaterEqual(result.latency, 0.1)

    async def test_invalid_response_is_detected(self) -> None:
        async def server(stream: anyio.abc.SocketStream) -> None:
            await read_requests(stream, 1)
            await stream.send(b"no answer\r\n\r\n")

        (result,), _ = await self.send_calls(server, "r1")
        self.assertFalse(result.own_answer)

    async def test_closed_connection_is_detected_before_next_request(self) -> None:
        async def server(stream: anyio.abc.SocketStream) -> None:
            await stream.send_eof()

        async with connection_to(server) as connection:
            with anyio.fail_after(60):
                while not connection.is_stale:
                    await anyio.sleep(0.01)
