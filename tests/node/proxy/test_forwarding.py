"""Requests through a proxy to a back end, over loopback sockets."""

import asyncio
import json
import socket
import unittest.mock
from typing import Any

from pewtertack.node.proxy.exchange import Exchange
from tests.node.proxy.harness import (
    ProxyTestCase,
    RawBackend,
    answer_bytes,
    begin_call,
    raw_call,
    read_body,
    request_bytes,
    request_id_of,
    respond,
)
from tests.routing.samples import configuration, route


class Echo:
    """A back end that responds with the request's body and records its headers."""

    def __init__(self) -> None:
        self.headers: dict[str, str] = {}
        self.calls = 0

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        self.calls += 1
        self.raw = [(name.decode(), value.decode()) for name, value in scope["headers"]]
        self.headers = dict(self.raw)
        await respond(send, body=await read_body(receive) or scope["raw_path"])

    def values_of(self, name: str) -> list[str]:
        return [value for key, value in self.raw if key == name]


class ForwardingTest(ProxyTestCase):
    async def test_a_request_gets_a_complete_response(self) -> None:
        echo = Echo()
        address = await self.start(echo)
        answer = await raw_call(address, request_bytes("POST", "/qso", b"abc" * 100_000))
        self.assertEqual((answer.status, answer.body), (200, b"abc" * 100_000))
        self.assertEqual(answer.headers["x-request-id"], echo.headers["x-request-id"])

    async def test_a_102_of_a_back_end_without_gateway_is_no_hang_report(self) -> None:
        """Guards against a healthy back end being counted as hung.

        ``102 Processing`` from a back end without a gateway was taken for a gateway's hang report,
        and the attempt counted against the back end when the caller cancelled it later. From a
        back end the status means that it is working.
        """

        async def process(_: Any, writer: Any, head: str) -> bool:
            writer.write(b"HTTP/1.1 102 Processing\r\n\r\n")
            await asyncio.sleep(0.05)
            writer.write(answer_bytes(b"ok", b"x-request-id: " + request_id_of(head)))
            return True

        address = await self.start(RawBackend(process))
        with unittest.mock.patch.object(self.proxy._context.dispatcher, "note_hung") as note_hung:
            self.assertEqual((await raw_call(address, request_bytes())).status, 200)
        note_hung.assert_not_called()

    async def test_the_remaining_deadline_is_forwarded(self) -> None:
        echo = Echo()
        address = await self.start(echo)
        await raw_call(address, request_bytes(headers=("x-deadline-ms: 3000",)))
        self.assertLess(int(echo.headers["x-deadline-ms"]), 3000)
        await raw_call(address, request_bytes(headers=("x-deadline-ms: 90000",)))
        self.assertLessEqual(int(echo.headers["x-deadline-ms"]), 5000)

    async def test_secrets_are_added_and_cannot_be_spoofed(self) -> None:
        echo = Echo()
        settings = configuration(
            route(header_secrets={"X-Api-Key": "key"}), secrets={"key": "right"}
        )
        address = await self.start(echo, settings=settings)
        await raw_call(address, request_bytes(headers=("x-api-key: forged", "x-other: kept")))
        self.assertEqual(echo.values_of("x-api-key"), ["right"])
        self.assertEqual(echo.headers["x-other"], "kept")

    async def test_hop_by_hop_headers_end_at_the_proxy(self) -> None:
        echo = Echo()
        address = await self.start(echo)
        headers = ("connection: x-private, close", "x-private: 1", "te: trailers")
        await raw_call(address, request_bytes(headers=headers))
        self.assertFalse({"x-private", "te"} & echo.headers.keys())

    async def test_a_refusal_carries_its_type_and_outcome(self) -> None:
        address = await self.start(settings=configuration(route(path_prefix="/known")))
        answer = await raw_call(address, request_bytes(path="/unknown"))
        self.assertEqual((answer.status, answer.headers["x-outcome"]), (404, "not-run"))
        self.assertEqual(json.loads(answer.body)["type"], "route-not-found")
        answer = await raw_call(address, request_bytes(path="/known"))
        self.assertEqual((answer.status, answer.headers["retry-after"]), (503, "1"))
        self.assertEqual(json.loads(answer.body)["type"], "no-backend")

    async def test_requests_are_refused_while_the_node_may_not_serve(self) -> None:
        echo = Echo()
        address = await self.start(echo, may_serve=lambda: False)
        answer = await raw_call(address, request_bytes())
        self.assertEqual(json.loads(answer.body)["type"], "not-serving")
        self.assertEqual(echo.calls, 0)

    async def test_small_writes_to_callers_are_not_delayed(self) -> None:
        address = await self.start(Echo())
        _, writer = await begin_call(address, b"")
        while not self.servers[-1].connections:
            await asyncio.sleep(0.01)
        (connection,) = self.servers[-1].connections
        accepted = connection.transport.get_extra_info("socket")
        self.assertTrue(accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))
        writer.close()

    async def test_an_unexpected_error_is_a_typed_failure(self) -> None:
        address = await self.start(Echo())
        with unittest.mock.patch.object(Exchange, "run", side_effect=ZeroDivisionError):
            answer = await raw_call(address, request_bytes())
        self.assertEqual((answer.status, answer.headers["x-outcome"]), (500, "unknown"))
        self.assertEqual(json.loads(answer.body)["type"], "internal-error")
        self.assertEqual(self.proxy.in_flight, 0)
