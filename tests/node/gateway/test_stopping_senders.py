"""How a gateway handles the notice that the node which sent a request is shutting down."""

import asyncio
import math
import time
import unittest
from typing import Any

import msgspec

from pewtertack.events import Event
from pewtertack.node.gateway.hop import (
    FINISH_BY,
    MAX_IDS,
    SENDER_STOPS_IN,
    finish_by_request,
    group_request_ids,
    hop_headers,
    parse_finish_by,
    read_hop,
)
from pewtertack.node.pacing import LinkPacer
from pewtertack.node.proxy.in_flight import Progress
from pewtertack.routing.link import LinkScheduler
from pewtertack.routing.patience import WaitPolicy
from tests.node.gateway.test_gateway import GatewayTestCase, header
from tests.node.proxy.harness import Answer, answer_bytes, raw_call, request_bytes
from tests.routing.samples import route

DOWNLOAD_BYTES = 100_000
LINK_MBPS = 4.0
"""Rate of the gateway's link; a download takes about 0.25 s."""
EXECUTION_SECONDS = 0.05
OTHER_CALL_COUNT = 8
LIMIT_SECONDS = 1.0
"""Far less time than the responses of all other calls take together."""


class StopTimeHeaderTest(unittest.TestCase):
    def parse(self, text: bytes) -> Any:
        headers = hop_headers(route(), "b0", 1.0, WaitPolicy.WAIT, "desk")
        return read_hop([*headers, (SENDER_STOPS_IN, text)])

    def test_the_time_left_is_parsed(self) -> None:
        self.assertEqual(self.parse(b"2500").sender_stops_in, 2.5)
        self.assertFalse(self.parse(b"2500").invalid_stop_time)

    def test_an_invalid_time_is_ignored(self) -> None:
        for text in (b"", b"0", b"-1", b"soon", b"1.5", b"1e3"):
            with self.subTest(text):
                request = self.parse(text)
                self.assertEqual(request.sender_stops_in, math.inf)
                self.assertTrue(request.invalid_stop_time)
                self.assertEqual(parse_finish_by(text + b"\tcall-1"), (math.inf, frozenset()))

    def test_without_the_header_nothing_is_counted(self) -> None:
        request = read_hop(hop_headers(route(), "b0", 1.0, WaitPolicy.WAIT, "desk"))
        self.assertEqual((request.sender_stops_in, request.invalid_stop_time), (math.inf, False))

    def test_many_requests_are_named_in_several_notices(self) -> None:
        ids = [f"call-{number}" for number in range(2 * MAX_IDS + 1)]
        notices = [finish_by_request("127.0.0.1:1", 2.5, group) for group in group_request_ids(ids)]
        parsed = [parse_finish_by(dict(notice.headers)[FINISH_BY]) for notice in notices]
        self.assertEqual([len(named) for _, named in parsed], [MAX_IDS, MAX_IDS, 1])
        self.assertEqual({seconds for seconds, _ in parsed}, {2.5})
        self.assertEqual(frozenset().union(*(named for _, named in parsed)), frozenset(ids))


class StoppingSenderTest(GatewayTestCase):
    """Downloads over a narrow link; one proxy plays both stopping and other nodes."""

    async def asyncSetUp(self) -> None:
        async def script(reader: Any, writer: Any, head: str) -> bool:
            await asyncio.sleep(EXECUTION_SECONDS)
            name = header(head, "x-call").encode()
            writer.write(answer_bytes(b"x" * DOWNLOAD_BYTES, b"x-call: " + name))
            return True

        changes = {"timeout": 30.0, "target_latency": 20.0, "retry_limit": 0}
        self.address = await self.start_fleet(script, slots=20, **changes)
        self.gateway = self.gateways[0]
        self.events: list[Event] = []
        self.gateway._log._record = lambda event, **_: self.events.append(event)
        pacer = LinkPacer(time.monotonic, LinkScheduler(LINK_MBPS))
        self.gateway._context = msgspec.structs.replace(self.gateway._context, pacer=pacer)
        self.assertEqual((await self.call("first")).status, 200)
        self.others = [
            asyncio.create_task(self.call(f"other-{n}")) for n in range(OTHER_CALL_COUNT)
        ]
        self.addCleanup(lambda: [task.cancel() for task in self.others])
        await self.wait_until_sent(OTHER_CALL_COUNT + 1)

    async def wait_until_sent(self, count: int) -> None:
        async with asyncio.timeout(5.0):
            while len(self.heads) < count:
                await asyncio.sleep(0.01)
        await asyncio.sleep(2 * EXECUTION_SECONDS)

    async def call(self, name: str) -> Answer:
        headers = (f"x-call: {name}", "x-left: 25000")
        return await raw_call(self.address, request_bytes("GET", "/", headers=headers), 20.0)

    def start_leaving(self, seconds: float) -> None:
        self.proxy.start_leaving(seconds)

    async def test_a_queued_response_takes_precedence_when_its_receiver_stops(
        self,
    ) -> None:
        call = asyncio.create_task(self.call("own"))
        await self.wait_until_sent(OTHER_CALL_COUNT + 2)
        for active in self.proxy.requests.active.copy():
            if active.request_id != "own":
                self.proxy.requests.active.discard(active)  # as if sent by other nodes
        self.start_leaving(LIMIT_SECONDS)
        await self.proxy.announce_stop()
        async with asyncio.timeout(LIMIT_SECONDS):
            answer = await call
        self.assertEqual((answer.status, len(answer.body)), (200, DOWNLOAD_BYTES))
        self.assertIn(Event.SENDER_STOPS, self.events)
        self.assertIn(Event.GATEWAY_SENT, self.events)

    async def test_requests_of_a_stopping_node_take_precedence(self) -> None:
        self.start_leaving(LIMIT_SECONDS)
        async with asyncio.timeout(LIMIT_SECONDS):
            answer = await self.call("own")
        self.assertEqual((answer.status, len(answer.body)), (200, DOWNLOAD_BYTES))

    async def test_a_response_that_could_not_be_sent_in_time_is_refused_before_it_runs(
        self,
    ) -> None:
        self.start_leaving(0.2)
        started_at = time.monotonic()
        self.assert_refused(await self.call("own"), 503, "not-run")
        self.assertLess(time.monotonic() - started_at, 0.1)
        self.assertEqual(len(self.heads), OTHER_CALL_COUNT + 1)

    async def test_at_the_end_of_a_stop_only_requests_without_a_response_are_ended(self) -> None:
        requests = self.gateway.requests
        answering = [item for item in requests.active if item.progress is Progress.ANSWERING]
        self.assertTrue(answering)
        requests.stop()
        self.assertEqual(len((await self.others[0]).body), DOWNLOAD_BYTES)

    async def test_an_invalid_notice_is_ignored_and_counted(self) -> None:
        for text in (b"soon\tother-1", b"0\tother-1", b"500"):
            self.gateway._handle_finish_by(text)
        self.assertNotIn(Event.SENDER_STOPS, self.events)
        counted = self.gateway._metrics._invalid_stop_times.values
        self.assertEqual(counted, {(): 3})


if __name__ == "__main__":
    unittest.main()
