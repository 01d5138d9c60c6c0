"""What a gateway does at its own node's stop with answers that its link can't carry in time."""

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

DOWNLOAD = 100_000
MEGABITS = 2.0
"""Of each gateway's link: a download takes 0.5 s of it."""
RUN_SECONDS = 0.05
CALLS = 6
STOP_SECONDS = 0.8
"""One answer leaves in time, and not the second."""
OWN_SECONDS = 0.4
"""Too short for an answer, though nothing else is on the link."""
PATIENCE = 20.0
CLOSE = b"connection: close\r\n"


class OwnStopTestCase(GatewayTestCase):
    """Downloads from two gateways on narrow links; one of them stops."""

    slots = 20
    run_seconds = RUN_SECONDS
    backends = 2
    size = DOWNLOAD
    body = b""

    async def begin(self, calls: int = CALLS, **changes: Any) -> None:
        async def script(reader: Any, writer: Any, head: str) -> bool:
            await asyncio.sleep(self.run_seconds)
            if self.breaks_next.pop(header(head, "x-wanted"), False):
                return False
            name = header(head, "x-call").encode()
            writer.write(answer_bytes(b"x" * self.size, b"x-call: " + name))
            return True

        self.breaks_next: dict[str, bool] = {}
        """Back ends that break their next answer off."""
        usual = {"timeout": 30.0, "target_latency": 25.0, "repeatable": True}
        address = await self.start_fleet(
            *[script] * self.backends, slots=self.slots, **usual | changes
        )
        self.address = address
        self.events: list[Event] = []
        """What the gateways have told."""
        self.story: list[str] = []
        """What all nodes have told, and when: an attempt that failed says why."""
        self.proxy._request_log._record = self.recorder("proxy")
        for gateway, machine in zip(self.gateways, self.machines, strict=True):
            gateway._log._record = self.recorder(machine.name)
            pacer = LinkPacer(time.monotonic, LinkScheduler(MEGABITS))
            gateway._context = msgspec.structs.replace(gateway._context, pacer=pacer)
        self.start_calls(calls)

    def recorder(self, node: str) -> RecordEvent:
        def record(event: Event, **fields: Any) -> None:
            if node != "proxy":
                self.events.append(event)
            self.story.append(f"{time.monotonic():.3f} {node} {event.name} {fields}")

        return record

    def assert_all_answered(self, answers: list[tuple[int, int]]) -> None:
        expected = [(200, DOWNLOAD)] * len(self.calls)
        self.assertEqual(answers, expected, "\n".join(["", *self.story]))

    def start_calls(self, count: int) -> None:
        self.calls = [asyncio.create_task(self.call(f"own-{n}")) for n in range(count)]
        self.addCleanup(lambda: [task.cancel() for task in self.calls])

    async def until_sent(self, count: int) -> None:
        async with asyncio.timeout(5.0):
            while len(self.heads) < count:
                await asyncio.sleep(0.01)
        await asyncio.sleep(2 * RUN_SECONDS)

    async def call(self, name: str) -> Answer:
        return await raw_call(self.address, self.request(name), PATIENCE)

    def request(self, name: str) -> bytes:
        headers = (f"x-call: {name}", "x-left: 25000")
        method = "POST" if self.body else "GET"
        return request_bytes(method, "/", self.body, headers)

    async def answers(self) -> list[tuple[int, int]]:
        async with asyncio.timeout(PATIENCE):
            return [(item.status, len(item.body)) for item in await asyncio.gather(*self.calls)]


class OwnStopTest(OwnStopTestCase):
    """All of them run at once."""

    async def test_what_can_not_leave_in_time_is_given_back_at_once(self) -> None:
        await self.begin()
        await self.until_sent(CALLS)
        self.gateways[0].start_leaving(STOP_SECONDS)
        await asyncio.sleep(0.2)
        self.assertIn(Event.GATEWAY_GAVE_BACK, self.events)
        self.assertLessEqual(self.gateways[0].in_flight, 1)
        self.assert_all_answered(await self.answers())

    async def test_what_was_given_back_once_is_not_given_back_by_the_last_gateway_too(self) -> None:
        """Two gateways stop one after the other: who comes from the first has no other to ask."""
        await self.begin()
        await self.until_sent(CALLS)
        self.gateways[0].start_leaving(STOP_SECONDS)
        await self.until_sent(CALLS + 1)
        self.gateways[1].start_leaving(STOP_SECONDS)
        await self.answers()
        names = [header(head, "x-call") for head in self.heads]
        twice = [task.result() for n, task in enumerate(self.calls) if names.count(f"own-{n}") > 1]
        self.assertTrue(twice)
        self.assertEqual({(item.status, len(item.body)) for item in twice}, {(200, DOWNLOAD)})

    async def test_what_stands_behind_it_on_its_caller_s_connection_is_answered_in_turn(
        self,
    ) -> None:
        await self.begin(calls=0)
        names = [f"own-{number}" for number in range(CALLS)]
        reader, writer = await begin_call(
            self.address, b"".join(self.request(name).replace(CLOSE, b"") for name in names)
        )
        self.addCleanup(writer.close)
        await self.until_sent(CALLS)
        self.gateways[0].start_leaving(STOP_SECONDS)
        async with asyncio.timeout(PATIENCE):
            for name in names:
                answer = Answer(await reader.readuntil(b"\r\n\r\n"))
                answer.body = await reader.readexactly(int(answer.headers["content-length"]))
                self.assertEqual((answer.status, len(answer.body)), (200, DOWNLOAD))
                self.assertEqual(answer.headers["x-call"], name)
        self.assertIn(Event.GATEWAY_GAVE_BACK, self.events)

    async def test_what_may_not_be_repeated_is_not_given_back(self) -> None:
        await self.begin(repeatable=False)
        await self.until_sent(CALLS)
        self.gateways[0].start_leaving(STOP_SECONDS)
        self.assert_all_answered(await self.answers())
        self.assertNotIn(Event.GATEWAY_GAVE_BACK, self.events)
        self.assertEqual(len(self.heads), CALLS)


class OnlyGatewayTest(OwnStopTestCase):
    """There is no other to ask, and what the process holds is given to the system at its end."""

    backends = 1

    async def begin_to_stop(self) -> None:
        await self.begin()
        await self.until_sent(CALLS)
        self.gateways[0].start_leaving(STOP_SECONDS)
        await asyncio.sleep(0.2)

    async def test_nothing_is_given_back(self) -> None:
        await self.begin_to_stop()
        self.assertEqual(self.gateways[0].in_flight, CALLS)
        self.assertEqual(await self.answers(), [(200, DOWNLOAD)] * CALLS)

    async def test_but_what_is_too_long_to_be_held_whole_is(self) -> None:
        self.size = RESPONSE_BUFFER_BYTES + DOWNLOAD
        await self.begin_to_stop()
        self.assertIn(Event.GATEWAY_GAVE_BACK, self.events)
        self.assertLessEqual(self.gateways[0].in_flight, 1)


class NowhereElseTest(OwnStopTestCase):
    """What is given back is lost where the other node can't have it elsewhere."""

    async def assert_none_given_back(self) -> None:
        await self.until_sent(CALLS)
        self.gateways[0].start_leaving(STOP_SECONDS)
        self.assert_all_answered(await self.answers())
        self.assertNotIn(Event.GATEWAY_GAVE_BACK, self.events)

    async def test_the_only_gateway_gives_nothing_back(self) -> None:
        """What callers saw: 502 at once, of answers of which the beginning had been sent.

        Cause: that a node holds an answer's beginning back was taken for a word that it can have
        the answer elsewhere.
        """
        self.backends = 1
        await self.begin()
        await self.assert_none_given_back()

    async def test_nothing_is_given_back_once_the_retry_budget_is_spent(self) -> None:
        await self.begin(calls=0)
        now = time.monotonic()
        budget = self.proxy._context.dispatcher._budgets.for_service("logbook", now)
        while budget.take(now):
            pass
        self.start_calls(CALLS)
        await self.assert_none_given_back()

    async def test_nothing_is_given_back_whose_body_can_not_be_sent_again(self) -> None:
        self.body = b"p" * (MAX_REPLAY_BYTES + 1)
        await self.begin()
        await self.assert_none_given_back()


class BrokenOnceTest(OwnStopTestCase):
    """One gateway stops; an attempt at the only other one is broken off once."""

    async def test_it_is_asked_again_when_the_one_that_stops_refuses(self) -> None:
        """What callers saw: 502, with a retry left and a gateway there that answers.

        Cause: the retry went to the gateway that was not tried yet. That one refused, and as all
        had been tried then, the request ended.
        """
        await self.begin(calls=0)
        for number in range(CALLS):
            self.assertEqual((await self.call(f"first-{number}")).status, 200)
        self.gateways[0].start_leaving(0.0)
        stopping, _ = self.proxy._context.dispatcher.service("logbook").backends
        stopping.slowness = 8.0  # so that the other one is tried first
        self.breaks_next["b1"] = True
        self.assertEqual((await self.call("own")).status, 200)
        self.assertEqual(self.breaks_next, {})


class TooLongTest(OwnStopTestCase):
    """What may not be repeated and is known to be too long is refused before it runs."""

    backends = 1

    async def begin_known(self) -> None:
        """Let the gateway learn how long answers are."""
        await self.begin(repeatable=False, calls=0)
        for number in range(3):
            self.assertEqual((await self.call(f"known-{number}")).status, 200)
        self.heads.clear()

    async def test_by_the_gateway_that_stops(self) -> None:
        await self.begin_known()
        self.gateways[0].start_leaving(OWN_SECONDS)
        self.assert_refused(await self.call("own"), 503, "not-run")
        self.assertEqual(self.heads, [])

    async def test_by_the_gateway_of_a_node_that_stops(self) -> None:
        await self.begin_known()
        self.proxy.start_leaving(OWN_SECONDS)
        self.assert_refused(await self.call("own"), 503, "not-run")
        self.assertEqual(self.heads, [])

    async def test_while_it_waits_for_its_slot_and_its_sender_is_told_to_stop(self) -> None:
        self.slots, self.run_seconds = 1, 0.3
        await self.begin_known()
        running = asyncio.create_task(self.call("running"))
        await asyncio.sleep(0.05)
        waiting = asyncio.create_task(self.call("waiting"))
        await asyncio.sleep(0.05)
        self.proxy.start_leaving(STOP_SECONDS)
        await self.proxy.announce_stop()
        self.assert_refused(await waiting, 503, "not-run")
        self.assertEqual((await running).status, 200)
        self.assertEqual(len(self.heads), 1)


class FullBackendTest(OwnStopTestCase):
    """One gateway, whose back end has one slot: a call waits for it when the stop begins."""

    slots = 1
    run_seconds = 0.3
    backends = 1

    async def test_what_gets_its_slot_too_late_is_refused_before_it_runs(self) -> None:
        await self.begin(repeatable=False, calls=0)
        self.assertEqual((await self.call("first")).status, 200)
        running = asyncio.create_task(self.call("running"))
        await asyncio.sleep(0.05)
        waiting = asyncio.create_task(self.call("waiting"))
        await asyncio.sleep(0.05)
        self.gateways[0].start_leaving(STOP_SECONDS)
        began = time.monotonic()
        self.assert_refused(await waiting, 503, "not-run")
        self.assertLess(time.monotonic() - began, STOP_SECONDS)
        answer = await running
        self.assertEqual((answer.status, len(answer.body)), (200, DOWNLOAD))
        self.assertEqual(len(self.heads), 2)


class WordTest(GatewayTestCase):
    async def test_a_gateway_is_told_which_answers_can_be_had_elsewhere(self) -> None:
        headers = hop_headers(route(), "b0", 1.0, WaitPolicy.WAIT, "desk")
        self.assertFalse(read_hop(headers).buffers_start)
        self.assertTrue(read_hop([*headers, (BUFFERS_START, b"1")]).buffers_start)
        self.assertFalse(read_hop(headers).no_alternative)
        self.assertTrue(read_hop([*headers, (NO_ALTERNATIVE, b"1")]).no_alternative)
