"""The word of a stop reaches each request that another node has, and bounds those that wait.

What callers saw: nothing yet; found by reading, brought about here. A node that stops names its
requests to their gateways. Not named, or named in vain, a request went on as if there were no
end: it was begun, or its answer put in line, and then cut at the end of its caller's node.
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

RUN_SECONDS = 0.3
LARGE_BODY = 300_000
"""Bytes; such a body is sent to a gateway only when that asks for it."""
DOWNLOAD = 200_000
MEGABITS = 1.0
"""Of the gateway's link: a download takes 2 s of it."""
FEW_SECONDS = 5.0
GATEWAY = "127.0.0.1:1"


class WordTest(unittest.IsolatedAsyncioTestCase):
    def test_an_id_with_a_space_is_named_whole(self) -> None:
        ids = ["order 7", "call-1"]
        value = dict(finish_by_request(GATEWAY, 2.0, ids).headers)[FINISH_BY]
        self.assertEqual(parse_finish_by(value), (2.0, frozenset(ids)))

    def test_no_time_left_is_not_taken_for_time_without_end(self) -> None:
        for seconds in (0.0, 0.0004):
            value = dict(finish_by_request(GATEWAY, seconds, ["call-1"]).headers)[FINISH_BY]
            self.assertLess(parse_finish_by(value)[0], math.inf)

    async def test_a_stop_without_an_end_tells_nobody(self) -> None:
        stop, connections = ShutdownDeadline(), mock.Mock()
        stop.begin(math.inf)
        request = mock.Mock(gateway=GATEWAY, request_id="call-1")
        requests = mock.Mock(active={request})
        await notify_gateways(stop, time.monotonic, connections, requests)
        connections.acquire.assert_not_called()

    async def test_the_time_left_is_that_at_which_the_word_is_sent(self) -> None:
        """A connection that takes long to be made made the end look that much later."""
        sent: list[Any] = []
        connection = mock.Mock(exchange=mock.AsyncMock(side_effect=sent.append))
        connection.read_body = mock.AsyncMock(return_value=b"")

        async def acquire(*_: Any) -> Any:
            await asyncio.sleep(0.4)
            return connection

        stop = ShutdownDeadline()
        ends_at = time.monotonic() + 2.0
        stop.begin(ends_at)
        requests = mock.Mock(active={mock.Mock(gateway=GATEWAY, request_id="call-1")})
        await notify_gateways(stop, time.monotonic, mock.Mock(acquire=acquire), requests)
        seconds, _ = parse_finish_by(dict(sent[0].headers)[FINISH_BY])
        self.assertLessEqual(seconds, ends_at - time.monotonic() + 0.1)


class NamedRequestTest(GatewayTestCase):
    async def asyncSetUp(self) -> None:
        self.seconds = RUN_SECONDS
        self.size = 2
        self.address = await self.start_fleet(
            self.script, slots=1, timeout=30.0, target_latency=20.0, retry_limit=0
        )

    async def script(self, _: Any, writer: Any, head: str) -> bool:
        await asyncio.sleep(self.seconds)
        writer.write(answer_bytes(b"x" * self.size, b"x-call: " + header(head, "x-call").encode()))
        return True

    async def begin(self, name: str, body: bytes = b"") -> asyncio.Task[Answer]:
        headers = (f"x-call: {name}", "x-left: 25000")
        method = "POST" if body else "GET"
        raw = request_bytes(method, "/", body, headers=headers)
        task = asyncio.create_task(raw_call(self.address, raw, 20.0))
        self.addCleanup(task.cancel)
        await asyncio.sleep(0.05)
        return task

    async def until_at_gateway(self, count: int) -> None:
        async with asyncio.timeout(FEW_SECONDS):
            while len(self.gateways[0].requests.active) < count:
                await asyncio.sleep(0.005)

    async def stop_in(self, seconds: float) -> None:
        self.proxy.start_leaving(seconds)
        await self.proxy.announce_stop()

    async def test_an_upload_that_waits_for_a_slot_before_its_body_is_sent_is_named(self) -> None:
        """Cause: only requests on connections whose back end may have begun were named."""
        self.assertEqual((await (await self.begin("first"))).status, 200)
        self.seconds = FEW_SECONDS
        names = ["runs it", *(f"upload-{number}" for number in range(MAX_EARLY_BODIES + 1))]
        for name in names:
            await self.begin(name, b"x" * LARGE_BODY)
        await self.until_at_gateway(len(names))
        await self.stop_in(3.0)
        self.assertEqual(sorted(self.told()), names)

    def told(self) -> list[str]:
        active: Any = self.gateways[0].requests.active
        return [item.request_id for item in active if item.sender_stopping]

    async def test_a_word_that_was_lost_is_said_again(self) -> None:
        """Cause: it was said once; a gateway out of reach just then never heard of the stop."""
        self.seconds = FEW_SECONDS
        await self.begin("runs")
        await self.until_at_gateway(1)
        acquire, lost = self.proxy.connections.acquire, [BackendUnreachableError("no connection")]

        async def lose_first(address: str, seconds: float) -> Any:
            if lost:
                raise lost.pop()
            return await acquire(address, seconds)

        self.proxy.start_leaving(3.0)
        with mock.patch.object(self.proxy.connections, "acquire", lose_first):
            await _announce_stop(self.proxy)
        self.assertEqual(self.told(), ["runs"])

    async def test_what_reaches_its_gateway_after_the_word_without_the_time_left_is_named_again(
        self,
    ) -> None:
        """Its head is written with the first part of its body, as its caller waits to be asked
        for that; the time left was not known yet when the head was made.
        """
        self.seconds = FEW_SECONDS
        lines = ("x-call: late", "x-left: 25000", "expect: 100-continue", "content-length: 3")
        reader, writer = await begin_call(self.address, request_bytes("POST", "/", headers=lines))
        self.addCleanup(writer.close)
        await reader.readuntil(b"100 Continue\r\n\r\n")
        self.proxy.start_leaving(3.0)
        announced = asyncio.create_task(_announce_stop(self.proxy))
        await asyncio.sleep(0.1)
        writer.write(b"log")
        await announced
        self.assertEqual(self.told(), ["late"])

    async def test_what_waits_and_cannot_be_answered_in_time_is_refused_before_it_runs(
        self,
    ) -> None:
        """Cause: the earlier end was set on the ticket, which was judged by its old one."""
        self.assertEqual((await (await self.begin("first"))).status, 200)
        self.seconds = 3 * RUN_SECONDS
        await self.begin("runs")
        self.seconds = RUN_SECONDS
        waiting = await self.begin("waits")
        await self.until_at_gateway(2)
        await self.stop_in(3 * RUN_SECONDS)
        answer = await waiting
        self.assert_refused(answer, 503, "not-run")
        self.assertEqual(len(self.heads), 2)

    async def test_what_waits_is_refused_when_its_answer_would_leave_too_late(self) -> None:
        """The same for a download, which needs time on the link after its run."""
        pacer = LinkPacer(time.monotonic, LinkScheduler(MEGABITS))
        gateway = self.gateways[0]
        gateway._context = msgspec.structs.replace(gateway._context, pacer=pacer)
        self.seconds, self.size = 0.05, DOWNLOAD
        self.assertEqual((await (await self.begin("first"))).status, 200)
        self.seconds, self.size = 0.5, 2
        await self.begin("runs")
        self.seconds, self.size = 0.05, DOWNLOAD
        waiting = await self.begin("waits")
        await self.until_at_gateway(2)
        await self.stop_in(1.8)
        self.assert_refused(await waiting, 503, "not-run")
        self.assertEqual(len(self.heads), 2)


if __name__ == "__main__":
    unittest.main()
