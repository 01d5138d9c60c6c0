"""What a gateway makes of the word that the node which sent a request stops."""

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

DOWNLOAD = 100_000
MEGABITS = 4.0
"""Of the gateway's link: a download takes 0.25 s of it."""
RUN_SECONDS = 0.05
OTHERS = 8
MOST_SECONDS = 1.0
"""Far less than the others' answers take together."""


class WordTest(unittest.TestCase):
    def read(self, text: bytes) -> Any:
        headers = hop_headers(route(), "b0", 1.0, WaitPolicy.WAIT, "desk")
        return read_hop([*headers, (SENDER_STOPS_IN, text)])

    def test_the_time_left_is_read(self) -> None:
        self.assertEqual(self.read(b"2500").sender_stops_in, 2.5)
        self.assertFalse(self.read(b"2500").invalid_stop_time)

    def test_what_makes_no_sense_is_as_if_it_were_not_there(self) -> None:
        for text in (b"", b"0", b"-1", b"soon", b"1.5", b"1e3"):
            with self.subTest(text):
                request = self.read(text)
                self.assertEqual(request.sender_stops_in, math.inf)
                self.assertTrue(request.invalid_stop_time)
                self.assertEqual(parse_finish_by(text + b"\tcall-1"), (math.inf, frozenset()))

    def test_without_the_word_nothing_is_counted(self) -> None:
        request = read_hop(hop_headers(route(), "b0", 1.0, WaitPolicy.WAIT, "desk"))
        self.assertEqual((request.sender_stops_in, request.invalid_stop_time), (math.inf, False))

    def test_many_requests_are_named_in_several_words(self) -> None:
        ids = [f"call-{number}" for number in range(2 * MAX_IDS + 1)]
        words = [finish_by_request("127.0.0.1:1", 2.5, group) for group in group_request_ids(ids)]
        read = [parse_finish_by(dict(word.headers)[FINISH_BY]) for word in words]
        self.assertEqual([len(named) for _, named in read], [MAX_IDS, MAX_IDS, 1])
        self.assertEqual({seconds for seconds, _ in read}, {2.5})
        self.assertEqual(frozenset().union(*(named for _, named in read)), frozenset(ids))


class StoppingSenderTest(GatewayTestCase):
    """Downloads over a narrow link; one proxy stands for nodes that stop and that do not."""

    async def asyncSetUp(self) -> None:
        async def script(reader: Any, writer: Any, head: str) -> bool:
            await asyncio.sleep(RUN_SECONDS)
            name = header(head, "x-call").encode()
            writer.write(answer_bytes(b"x" * DOWNLOAD, b"x-call: " + name))
            return True

        changes = {"timeout": 30.0, "target_latency": 20.0, "retry_limit": 0}
        self.address = await self.start_fleet(script, slots=20, **changes)
        self.gateway = self.gateways[0]
        self.events: list[Event] = []
        self.gateway._log._record = lambda event, **_: self.events.append(event)
        pacer = LinkPacer(time.monotonic, LinkScheduler(MEGABITS))
        self.gateway._context = msgspec.structs.replace(self.gateway._context, pacer=pacer)
        self.assertEqual((await self.call("first")).status, 200)
        self.others = [asyncio.create_task(self.call(f"other-{n}")) for n in range(OTHERS)]
        self.addCleanup(lambda: [task.cancel() for task in self.others])
        await self.until_sent(OTHERS + 1)

    async def until_sent(self, count: int) -> None:
        async with asyncio.timeout(5.0):
            while len(self.heads) < count:
                await asyncio.sleep(0.01)
        await asyncio.sleep(2 * RUN_SECONDS)

    async def call(self, name: str) -> Answer:
        headers = (f"x-call: {name}", "x-left: 25000")
        return await raw_call(self.address, request_bytes("GET", "/", headers=headers), 20.0)

    def stop_in(self, seconds: float) -> None:
        self.proxy.start_leaving(seconds)

    async def test_an_answer_that_waits_on_the_link_goes_first_when_its_receiver_stops(
        self,
    ) -> None:
        own = asyncio.create_task(self.call("own"))
        await self.until_sent(OTHERS + 2)
        for active in self.proxy.requests.active.copy():
            if active.request_id != "own":
                self.proxy.requests.active.discard(active)  # sent by other nodes
        self.stop_in(MOST_SECONDS)
        await self.proxy.announce_stop()
        async with asyncio.timeout(MOST_SECONDS):
            answer = await own
        self.assertEqual((answer.status, len(answer.body)), (200, DOWNLOAD))
        self.assertIn(Event.SENDER_STOPS, self.events)
        self.assertIn(Event.GATEWAY_SENT, self.events)

    async def test_what_a_stopping_node_sends_goes_first(self) -> None:
        self.stop_in(MOST_SECONDS)
        async with asyncio.timeout(MOST_SECONDS):
            answer = await self.call("own")
        self.assertEqual((answer.status, len(answer.body)), (200, DOWNLOAD))

    async def test_what_could_not_leave_in_time_is_refused_before_it_runs(self) -> None:
        self.stop_in(0.2)
        began = time.monotonic()
        self.assert_refused(await self.call("own"), 503, "not-run")
        self.assertLess(time.monotonic() - began, 0.1)
        self.assertEqual(len(self.heads), OTHERS + 1)

    async def test_at_the_end_of_a_stop_only_what_has_no_answer_yet_is_ended(self) -> None:
        requests = self.gateway.requests
        own = [item for item in requests.active if item.progress is Progress.ANSWERING]
        self.assertTrue(own)
        requests.stop()
        self.assertEqual(len((await self.others[0]).body), DOWNLOAD)

    async def test_a_senseless_word_changes_nothing_and_is_counted(self) -> None:
        for text in (b"soon\tother-1", b"0\tother-1", b"500"):
            self.gateway._handle_finish_by(text)
        self.assertNotIn(Event.SENDER_STOPS, self.events)
        counted = self.gateway._metrics._invalid_stop_times.values
        self.assertEqual(counted, {(): 3})


if __name__ == "__main__":
    unittest.main()
