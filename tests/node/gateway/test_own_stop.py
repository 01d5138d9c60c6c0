"""Responses that a stopping node's link cannot send in time, at that node's gateway."""

import asyncio
import time
from typing import Any

import msgspec

from pewtertack.events import Event
from pewtertack.node.gateway.hop import BUFFERS_START, NO_ALTERNATIVE, hop_headers, read_hop
from pewtertack.node.gateway.sending import RESPONSE_BUFFER_BYTES
from pewtertack.node.pacing import LinkPacer
from pewtertack.node.proxy.body import MAX_REPLAY_BYTES
from pewtertack.node.proxy.request_log import RecordEvent
from pewtertack.routing.link import LinkScheduler
from pewtertack.routing.patience import WaitPolicy
from tests.node.gateway.test_gateway import GatewayTestCase, header
from tests.node.proxy.harness import Answer, answer_bytes, begin_call, raw_call, request_bytes
from tests.routing.samples import route

DOWNLOAD_BYTES = 100_000
LINK_MBPS = 2.0
"""Rate of each gateway's link; a download takes about 0.5 s."""
EXECUTION_SECONDS = 0.05
CALL_COUNT = 6
STOP_SECONDS = 0.8
"""Enough time to send one response, but not a second one."""
SHORT_STOP_SECONDS = 0.4
"""Too short for any response, even on an idle link."""
TIMEOUT_SECONDS = 20.0
CLOSE = b"connection: close\r\n"


class OwnStopTestCase(GatewayTestCase):
    """Downloads from two gateways on narrow links, one of which stops."""

    slots = 20
    execution_seconds = EXECUTION_SECONDS
    backends = 2
    response_bytes = DOWNLOAD_BYTES
    body = b""

    async def begin(self, calls: int = CALL_COUNT, **changes: Any) -> None:
        async def script(reader: Any, writer: Any, head: str) -> bool:
            await asyncio.sleep(self.execution_seconds)
            if self.truncates_next.pop(header(head, "x-wanted"), False):
                return False
            name = header(head, "x-call").encode()
            writer.write(answer_bytes(b"x" * self.response_bytes, b"x-call: " + name))
            return True

        self.truncates_next: dict[str, bool] = {}
        """Back ends that break off their next response."""
        defaults = {"timeout": 30.0, "target_latency": 25.0, "repeatable": True}
        address = await self.start_fleet(
            *[script] * self.backends, slots=self.slots, **defaults | changes
        )
        self.address = address
        self.events: list[Event] = []
        """The events that the gateways have logged."""
        self.log_lines: list[str] = []
        """Time and content of the events of all nodes, shown when an assertion fails."""
        self.proxy._request_log._record = self.recorder("proxy")
        for gateway, machine in zip(self.gateways, self.machines, strict=True):
            gateway._log._record = self.recorder(machine.name)
            pacer = LinkPacer(time.monotonic, LinkScheduler(LINK_MBPS))
            gateway._context = msgspec.structs.replace(gateway._context, pacer=pacer)
        self.start_calls(calls)

    def recorder(self, node: str) -> RecordEvent:
        def record(event: Event, **fields: Any) -> None:
            if node != "proxy":
                self.events.append(event)
            self.log_lines.append(f"{time.monotonic():.3f} {node} {event.name} {fields}")

        return record

    def assert_all_answered(self, answers: list[tuple[int, int]]) -> None:
        expected = [(200, DOWNLOAD_BYTES)] * len(self.calls)
        self.assertEqual(answers, expected, "\n".join(["", *self.log_lines]))

    def start_calls(self, count: int) -> None:
        self.calls = [asyncio.create_task(self.call(f"own-{n}")) for n in range(count)]
        self.addCleanup(lambda: [task.cancel() for task in self.calls])

    async def wait_until_sent(self, count: int) -> None:
        async with asyncio.timeout(5.0):
            while len(self.heads) < count:
                await asyncio.sleep(0.01)
        await asyncio.sleep(2 * EXECUTION_SECONDS)

    async def call(self, name: str) -> Answer:
        return await raw_call(self.address, self.request(name), TIMEOUT_SECONDS)

    def request(self, name: str) -> bytes:
        headers = (f"x-call: {name}", "x-left: 25000")
        method = "POST" if self.body else "GET"
        return request_bytes(method, "/", self.body, headers)

    async def answers(self) -> list[tuple[int, int]]:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            return [(item.status, len(item.body)) for item in await asyncio.gather(*self.calls)]


class OwnStopTest(OwnStopTestCase):
    """All requests run at the same time."""

    async def test_what_can_not_leave_in_time_is_given_back_at_once(self) -> None:
        """Responses that cannot be sent before the stop are handed back at once."""
        await self.begin()
        await self.wait_until_sent(CALL_COUNT)
        self.gateways[0].start_leaving(STOP_SECONDS)
        await asyncio.sleep(0.2)
        self.assertIn(Event.GATEWAY_GAVE_BACK, self.events)
        self.assertLessEqual(self.gateways[0].in_flight, 1)
        self.assert_all_answered(await self.answers())

    async def test_a_request_handed_back_once_is_not_handed_back_by_the_last_gateway(self) -> None:
        """Two gateways stop one after the other; what the first hands back has no alternative."""
        await self.begin()
        await self.wait_until_sent(CALL_COUNT)
        self.gateways[0].start_leaving(STOP_SECONDS)
        await self.wait_until_sent(CALL_COUNT + 1)
        self.gateways[1].start_leaving(STOP_SECONDS)
        await self.answers()
        names = [header(head, "x-call") for head in self.heads]
        retried_answers = [
            task.result() for n, task in enumerate(self.calls) if names.count(f"own-{n}") > 1
        ]
        self.assertTrue(retried_answers)
        self.assertEqual(
            {(item.status, len(item.body)) for item in retried_answers}, {(200, DOWNLOAD_BYTES)}
        )

    async def test_pipelined_requests_after_it_are_answered_in_order(
        self,
    ) -> None:
        await self.begin(calls=0)
        names = [f"own-{number}" for number in range(CALL_COUNT)]
        reader, writer = await begin_call(
            self.address, b"".join(self.request(name).replace(CLOSE, b"") for name in names)
        )
        self.addCleanup(writer.close)
        await self.wait_until_sent(CALL_COUNT)
        self.gateways[0].start_leaving(STOP_SECONDS)
        async with asyncio.timeout(TIMEOUT_SECONDS):
            for name in names:
                answer = Answer(await reader.readuntil(b"\r\n\r\n"))
                answer.body = await reader.readexactly(int(answer.headers["content-length"]))
                self.assertEqual((answer.status, len(answer.body)), (200, DOWNLOAD_BYTES))
                self.assertEqual(answer.headers["x-call"], name)
        self.assertIn(Event.GATEWAY_GAVE_BACK, self.events)

    async def test_non_repeatable_requests_are_not_handed_back(self) -> None:
        await self.begin(repeatable=False)
        await self.wait_until_sent(CALL_COUNT)
        self.gateways[0].start_leaving(STOP_SECONDS)
        self.assert_all_answered(await self.answers())
        self.assertNotIn(Event.GATEWAY_GAVE_BACK, self.events)
        self.assertEqual(len(self.heads), CALL_COUNT)


class OnlyGatewayTest(OwnStopTestCase):
    """There is no other gateway; the operating system gets the buffered bytes at the end."""

    backends = 1

    async def begin_and_stop(self) -> None:
        await self.begin()
        await self.wait_until_sent(CALL_COUNT)
        self.gateways[0].start_leaving(STOP_SECONDS)
        await asyncio.sleep(0.2)

    async def test_nothing_is_handed_back(self) -> None:
        await self.begin_and_stop()
        self.assertEqual(self.gateways[0].in_flight, CALL_COUNT)
        self.assertEqual(await self.answers(), [(200, DOWNLOAD_BYTES)] * CALL_COUNT)

    async def test_responses_too_long_for_the_buffer_are_handed_back(self) -> None:
        self.response_bytes = RESPONSE_BUFFER_BYTES + DOWNLOAD_BYTES
        await self.begin_and_stop()
        self.assertIn(Event.GATEWAY_GAVE_BACK, self.events)
        self.assertLessEqual(self.gateways[0].in_flight, 1)


class NoAlternativeTest(OwnStopTestCase):
    """Requests are not handed back if the other node has no alternative, as they would be lost."""

    async def assert_none_handed_back(self) -> None:
        await self.wait_until_sent(CALL_COUNT)
        self.gateways[0].start_leaving(STOP_SECONDS)
        self.assert_all_answered(await self.answers())
        self.assertNotIn(Event.GATEWAY_GAVE_BACK, self.events)

    async def test_the_only_gateway_hands_nothing_back(self) -> None:
        """Guards against an immediate 502 for responses whose start had been sent.

        A node that buffers the start of a response was assumed to have an alternative gateway.
        """
        self.backends = 1
        await self.begin()
        await self.assert_none_handed_back()

    async def test_nothing_is_handed_back_once_the_retry_budget_is_spent(self) -> None:
        await self.begin(calls=0)
        now = time.monotonic()
        budget = self.proxy._context.dispatcher._budgets.for_service("logbook", now)
        while budget.take(now):
            pass
        self.start_calls(CALL_COUNT)
        await self.assert_none_handed_back()

    async def test_requests_whose_body_cannot_be_sent_again_are_not_handed_back(self) -> None:
        self.body = b"p" * (MAX_REPLAY_BYTES + 1)
        await self.begin()
        await self.assert_none_handed_back()


class RetryAtFormerGatewayTest(OwnStopTestCase):
    """One gateway stops, and the first attempt at the only other one breaks off."""

    async def test_the_former_gateway_is_tried_again_when_the_stopping_one_refuses(self) -> None:
        """Guards against 502 although a retry was left and one gateway would have answered.

        The retry went to the gateway that had not been tried yet, which refused. All gateways had
        then been tried, so the request ended.
        """
        await self.begin(calls=0)
        for number in range(CALL_COUNT):
            self.assertEqual((await self.call(f"first-{number}")).status, 200)
        self.gateways[0].start_leaving(0.0)
        stopping, _ = self.proxy._context.dispatcher.service("logbook").backends
        stopping.slowness = 8.0  # the other one is tried first
        self.truncates_next["b1"] = True
        self.assertEqual((await self.call("own")).status, 200)
        self.assertEqual(self.truncates_next, {})


class TooLongForStopTest(OwnStopTestCase):
    """Non-repeatable requests whose responses are known to be too long are refused up front."""

    backends = 1

    async def begin_with_known_length(self) -> None:
        """Make calls from which the gateway learns the length of responses."""
        await self.begin(repeatable=False, calls=0)
        for number in range(3):
            self.assertEqual((await self.call(f"known-{number}")).status, 200)
        self.heads.clear()

    async def test_refused_by_the_gateway_that_stops(self) -> None:
        await self.begin_with_known_length()
        self.gateways[0].start_leaving(SHORT_STOP_SECONDS)
        self.assert_refused(await self.call("own"), 503, "not-run")
        self.assertEqual(self.heads, [])

    async def test_refused_by_the_gateway_for_a_proxy_that_stops(self) -> None:
        await self.begin_with_known_length()
        self.proxy.start_leaving(SHORT_STOP_SECONDS)
        self.assert_refused(await self.call("own"), 503, "not-run")
        self.assertEqual(self.heads, [])

    async def test_refused_while_waiting_when_its_sender_starts_to_stop(self) -> None:
        self.slots, self.execution_seconds = 1, 0.3
        await self.begin_with_known_length()
        running = asyncio.create_task(self.call("running"))
        await asyncio.sleep(0.05)
        waiting = asyncio.create_task(self.call("waiting"))
        await asyncio.sleep(0.05)
        self.proxy.start_leaving(STOP_SECONDS)
        await self.proxy.announce_stop()
        self.assert_refused(await waiting, 503, "not-run")
        self.assertEqual((await running).status, 200)
        self.assertEqual(len(self.heads), 1)


class WaitingForSlotTest(OwnStopTestCase):
    """One gateway with one slot, for which a call waits when the shutdown starts."""

    slots = 1
    execution_seconds = 0.3
    backends = 1

    async def test_a_request_that_gets_its_slot_too_late_is_refused_before_it_runs(self) -> None:
        await self.begin(repeatable=False, calls=0)
        self.assertEqual((await self.call("first")).status, 200)
        running = asyncio.create_task(self.call("running"))
        await asyncio.sleep(0.05)
        waiting = asyncio.create_task(self.call("waiting"))
        await asyncio.sleep(0.05)
        self.gateways[0].start_leaving(STOP_SECONDS)
        started_at = time.monotonic()
        self.assert_refused(await waiting, 503, "not-run")
        self.assertLess(time.monotonic() - started_at, STOP_SECONDS)
        answer = await running
        self.assertEqual((answer.status, len(answer.body)), (200, DOWNLOAD_BYTES))
        self.assertEqual(len(self.heads), 2)


class HopHeaderTest(GatewayTestCase):
    async def test_the_headers_for_buffered_and_unrepeatable_responses(self) -> None:
        headers = hop_headers(route(), "b0", 1.0, WaitPolicy.WAIT, "desk")
        self.assertFalse(read_hop(headers).buffers_start)
        self.assertTrue(read_hop([*headers, (BUFFERS_START, b"1")]).buffers_start)
        self.assertFalse(read_hop(headers).no_alternative)
        self.assertTrue(read_hop([*headers, (NO_ALTERNATIVE, b"1")]).no_alternative)
