"""A stopping node's notice reaches every request it has at gateways, and limits waiting ones.

A node that shuts down names its requests to their gateways. A request that was not named, or named
without result, continued as if there were no time limit: it was started, or its response queued,
and then cut when its caller's node stopped.
"""

import asyncio
import math
import time
import unittest
from typing import Any
from unittest import mock

import msgspec

from pewtertack.node.daemon import _announce_stop
from pewtertack.node.gateway.hop import FINISH_BY, finish_by_request, parse_finish_by
from pewtertack.node.gateway.reception import MAX_EARLY_BODIES
from pewtertack.node.pacing import LinkPacer
from pewtertack.node.proxy.stop_time import ShutdownDeadline, notify_gateways
from pewtertack.routing.link import LinkScheduler
from pewtertack.routing.outcomes import BackendUnreachableError
from tests.node.gateway.test_gateway import GatewayTestCase, header
from tests.node.proxy.harness import Answer, answer_bytes, begin_call, raw_call, request_bytes

RESPONSE_SECONDS = 0.3
LARGE_BODY_BYTES = 300_000
"""A body of this length is sent to a gateway only on request."""
DOWNLOAD_BYTES = 200_000
LINK_MBPS = 1.0
"""Rate of the gateway's link; a download takes about 2 s."""
TIMEOUT_SECONDS = 5.0
GATEWAY = "127.0.0.1:1"


class NoticeTest(unittest.IsolatedAsyncioTestCase):
    def test_an_id_with_a_space_is_parsed_whole(self) -> None:
        ids = ["order 7", "call-1"]
        value = dict(finish_by_request(GATEWAY, 2.0, ids).headers)[FINISH_BY]
        self.assertEqual(parse_finish_by(value), (2.0, frozenset(ids)))

    def test_no_time_left_is_not_parsed_as_unlimited_time(self) -> None:
        for seconds in (0.0, 0.0004):
            value = dict(finish_by_request(GATEWAY, seconds, ["call-1"]).headers)[FINISH_BY]
            self.assertLess(parse_finish_by(value)[0], math.inf)

    async def test_a_stop_without_a_time_limit_sends_no_notice(self) -> None:
        shutdown, connections = ShutdownDeadline(), mock.Mock()
        shutdown.begin(math.inf)
        request = mock.Mock(gateway=GATEWAY, request_id="call-1")
        requests = mock.Mock(active={request})
        await notify_gateways(shutdown, time.monotonic, connections, requests)
        connections.acquire.assert_not_called()

    async def test_the_time_left_is_that_at_the_sending_of_the_notice(self) -> None:
        """Guards against a stop time that is late by the time it takes to connect."""
        sent: list[Any] = []
        connection = mock.Mock(exchange=mock.AsyncMock(side_effect=sent.append))
        connection.read_body = mock.AsyncMock(return_value=b"")

        async def acquire(*_: Any) -> Any:
            await asyncio.sleep(0.4)
            return connection

        shutdown = ShutdownDeadline()
        ends_at = time.monotonic() + 2.0
        shutdown.begin(ends_at)
        requests = mock.Mock(active={mock.Mock(gateway=GATEWAY, request_id="call-1")})
        await notify_gateways(shutdown, time.monotonic, mock.Mock(acquire=acquire), requests)
        seconds, _ = parse_finish_by(dict(sent[0].headers)[FINISH_BY])
        self.assertLessEqual(seconds, ends_at - time.monotonic() + 0.1)


class NamedRequestTest(GatewayTestCase):
    async def asyncSetUp(self) -> None:
        self.seconds = RESPONSE_SECONDS
        self.response_bytes = 2
        self.address = await self.start_fleet(
            self.script, slots=1, timeout=30.0, target_latency=20.0, retry_limit=0
        )

    async def script(self, _: Any, writer: Any, head: str) -> bool:
        await asyncio.sleep(self.seconds)
        writer.write(
            answer_bytes(b"x" * self.response_bytes, b"x-call: " + header(head, "x-call").encode())
        )
        return True

    async def begin(self, name: str, body: bytes = b"") -> asyncio.Task[Answer]:
        headers = (f"x-call: {name}", "x-left: 25000")
        method = "POST" if body else "GET"
        raw = request_bytes(method, "/", body, headers=headers)
        task = asyncio.create_task(raw_call(self.address, raw, 20.0))
        self.addCleanup(task.cancel)
        await asyncio.sleep(0.05)
        return task

    async def wait_until_at_gateway(self, count: int) -> None:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while len(self.gateways[0].requests.active) < count:
                await asyncio.sleep(0.005)

    async def stop_in(self, seconds: float) -> None:
        self.proxy.start_leaving(seconds)
        await self.proxy.announce_stop()

    async def test_an_upload_that_waits_for_a_slot_without_its_body_is_named(self) -> None:
        """Guards against naming only requests that a back end may already have started."""
        self.assertEqual((await (await self.begin("first"))).status, 200)
        self.seconds = TIMEOUT_SECONDS
        names = ["runs it", *(f"upload-{number}" for number in range(MAX_EARLY_BODIES + 1))]
        for name in names:
            await self.begin(name, b"x" * LARGE_BODY_BYTES)
        await self.wait_until_at_gateway(len(names))
        await self.stop_in(3.0)
        self.assertEqual(sorted(self.notified_request_ids()), names)

    def notified_request_ids(self) -> list[str]:
        active: Any = self.gateways[0].requests.active
        return [item.request_id for item in active if item.sender_stopping]

    async def test_a_failed_notice_is_repeated(self) -> None:
        """Guards against a gateway that is unreachable at the first notice and gets no other."""
        self.seconds = TIMEOUT_SECONDS
        await self.begin("runs")
        await self.wait_until_at_gateway(1)
        acquire, failures = (
            self.proxy.connections.acquire,
            [BackendUnreachableError("no connection")],
        )

        async def fail_first(address: str, seconds: float) -> Any:
            if failures:
                raise failures.pop()
            return await acquire(address, seconds)

        self.proxy.start_leaving(3.0)
        with mock.patch.object(self.proxy.connections, "acquire", fail_first):
            await _announce_stop(self.proxy)
        self.assertEqual(self.notified_request_ids(), ["runs"])

    async def test_a_request_that_arrives_after_the_notice_without_the_header_is_named_again(
        self,
    ) -> None:
        """Guards against a request without the time left that arrives after the notice.

        Its head is built before the shutdown but sent with the first part of its body, since its
        caller waits for ``100 Continue``.
        """
        self.seconds = TIMEOUT_SECONDS
        lines = ("x-call: late", "x-left: 25000", "expect: 100-continue", "content-length: 3")
        reader, writer = await begin_call(self.address, request_bytes("POST", "/", headers=lines))
        self.addCleanup(writer.close)
        await reader.readuntil(b"100 Continue\r\n\r\n")
        self.proxy.start_leaving(3.0)
        announcing = asyncio.create_task(_announce_stop(self.proxy))
        await asyncio.sleep(0.1)
        writer.write(b"log")
        await announcing
        self.assertEqual(self.notified_request_ids(), ["late"])

    async def test_a_waiting_request_that_cannot_be_answered_in_time_is_refused_before_it_runs(
        self,
    ) -> None:
        """Guards against a waiting ticket that is checked against its former deadline."""
        self.assertEqual((await (await self.begin("first"))).status, 200)
        self.seconds = 3 * RESPONSE_SECONDS
        await self.begin("runs")
        self.seconds = RESPONSE_SECONDS
        waiting = await self.begin("waits")
        await self.wait_until_at_gateway(2)
        await self.stop_in(3 * RESPONSE_SECONDS)
        answer = await waiting
        self.assert_refused(answer, 503, "not-run")
        self.assertEqual(len(self.heads), 2)

    async def test_a_waiting_request_is_refused_when_its_response_would_be_sent_too_late(
        self,
    ) -> None:
        """Guards against ignoring the time that a download takes on the link after execution."""
        pacer = LinkPacer(time.monotonic, LinkScheduler(LINK_MBPS))
        gateway = self.gateways[0]
        gateway._context = msgspec.structs.replace(gateway._context, pacer=pacer)
        self.seconds, self.response_bytes = 0.05, DOWNLOAD_BYTES
        self.assertEqual((await (await self.begin("first"))).status, 200)
        self.seconds, self.response_bytes = 0.5, 2
        await self.begin("runs")
        self.seconds, self.response_bytes = 0.05, DOWNLOAD_BYTES
        waiting = await self.begin("waits")
        await self.wait_until_at_gateway(2)
        await self.stop_in(1.8)
        self.assert_refused(await waiting, 503, "not-run")
        self.assertEqual(len(self.heads), 2)


if __name__ == "__main__":
    unittest.main()
