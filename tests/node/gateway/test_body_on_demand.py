"""Long bodies are sent to a gateway only on request, few of them before they have a slot."""

import asyncio
import contextlib
from typing import Any
from unittest import mock

import msgspec

from pewtertack.node.gateway.reception import MAX_EARLY_BODIES
from pewtertack.node.proxy import body as bodies
from pewtertack.node.proxy.in_flight import Progress
from tests.node.gateway.test_gateway import GatewayTestCase, answer_normally, header
from tests.node.gateway.test_stop import TIMEOUT_SECONDS, HeldBackend
from tests.node.listening import Listener
from tests.node.proxy.harness import Answer, RawBackend, begin_call, raw_call, request_bytes

SIZE = 300_000
HEAD_BYTES = 4096
"""More than any request head between two nodes."""


def upload(name: str, size: int = SIZE) -> bytes:
    return request_bytes("POST", "/", b"x" * size, (f"x-call: {name}", "x-left: 30000"))


class Relay:
    """A relay in front of a gateway that counts the bytes sent to it and can cut connections."""

    def __init__(self, gateway: str) -> None:
        self.gateway = gateway
        self.received = 0
        self.continue_count = 0
        self.writers: list[asyncio.StreamWriter] = []

    async def start(self, case: GatewayTestCase) -> str:
        return await Listener(self.relay).start(case)

    async def relay(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = self.gateway.rpartition(":")
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        self.writers += [writer, far_writer]
        with contextlib.suppress(ConnectionError):  # the test has cut the connection
            await asyncio.gather(
                self.relay_request(reader, far_writer), self.relay_response(far_reader, writer)
            )

    async def relay_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(65536):
            self.received += len(data)
            writer.write(data)
        writer.close()

    async def relay_response(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(65536):
            self.continue_count += data.count(b" 100 Continue")
            writer.write(data)
        writer.close()

    def cut(self) -> None:
        for writer in self.writers:
            writer.transport.abort()


class BodyOnDemandTest(GatewayTestCase):
    async def begin(self, *backends: Any, **changes: Any) -> None:
        """Run back ends with one slot each and a relay in front of the first one's gateway."""
        changes = {"timeout": 30.0, "target_latency": 20.0} | changes
        self.address = await self.start_fleet(*backends, slots=1, **changes)
        self.relay = Relay(self.machines[0].gateway)
        relayed = await self.relay.start(self)
        self.machines[0] = msgspec.structs.replace(self.machines[0], gateway=relayed)
        self.use_machines(2)

    async def begin_held(self) -> HeldBackend:
        """Run a back end that holds requests, after one quick answer has been recorded."""
        held = HeldBackend()
        held.resume.set()
        await self.begin(held)
        answer = await asyncio.wait_for(await self.call(upload("first", 100)), TIMEOUT_SECONDS)
        self.assertEqual(answer.status, 200)
        held.resume.clear()
        held.calls.clear()
        return held

    async def call(self, raw: bytes) -> asyncio.Task[Answer]:
        task = asyncio.create_task(raw_call(self.address, raw, 30.0))
        self.addCleanup(task.cancel)
        await asyncio.sleep(0.05)
        return task

    async def wait_until_waiting(self, count: int) -> None:
        active: Any = self.gateways[0].requests.active
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while sum(item.progress is Progress.WAITING for item in active) < count:
                await asyncio.sleep(0.005)

    async def test_few_bodies_are_received_before_their_slots_and_all_arrive_whole(self) -> None:
        held = await self.begin_held()
        calls = [await self.call(upload("run-1"))]
        waiting = MAX_EARLY_BODIES + 2
        calls += [await self.call(upload(f"wait-{number}")) for number in range(waiting)]
        await self.wait_until_waiting(waiting)
        self.assertEqual(self.relay.continue_count, 1 + MAX_EARLY_BODIES)
        self.assertLess(self.relay.received, (2 + MAX_EARLY_BODIES) * SIZE)
        held.resume.set()
        for task in calls:
            self.assertEqual((await asyncio.wait_for(task, TIMEOUT_SECONDS)).status, 200)
        self.assertGreater(self.relay.received, len(calls) * SIZE)
        self.assertNotIn("expect", "".join(self.heads).lower())

    async def test_uploads_are_refused_while_the_body_buffer_is_full(self) -> None:
        with mock.patch.object(bodies, "TOTAL_BODY_BUFFER_BYTES", 2 * SIZE):
            held = await self.begin_held()
            calls = [await self.call(upload(f"kept-{number}")) for number in range(2)]
            await self.wait_until_waiting(1)
            refused = await asyncio.wait_for(await self.call(upload("late")), TIMEOUT_SECONDS)
            self.assert_refused(refused, 503, "not-run")
            self.assertIn(b"bodies-full", refused.body)
            calls.append(await self.call(upload("small", 100)))
            held.resume.set()
            for task in calls:
                self.assertEqual((await asyncio.wait_for(task, TIMEOUT_SECONDS)).status, 200)
            again = await asyncio.wait_for(await self.call(upload("again")), TIMEOUT_SECONDS)
            self.assertEqual(again.status, 200)

    async def test_a_refusing_gateway_is_sent_no_body_and_the_next_gets_it_whole(self) -> None:
        await self.begin(answer_normally, answer_normally)
        self.gateways[0].start_draining()
        for number in range(4):
            answer = await asyncio.wait_for(await self.call(upload(f"c{number}")), TIMEOUT_SECONDS)
            self.assertEqual(answer.status, 200)
        self.assertEqual({header(head, "x-wanted") for head in self.heads}, {"b1"})
        self.assertLess(self.relay.received, HEAD_BYTES)

    async def test_a_connection_that_breaks_before_the_body_was_requested_is_not_run(self) -> None:
        held = await self.begin_held()
        for number in range(1 + MAX_EARLY_BODIES):
            await self.call(upload(f"ahead-{number}"))
        waiting = await self.call(upload("wait-1"))
        await self.wait_until_waiting(1 + MAX_EARLY_BODIES)
        self.relay.cut()
        answer = await asyncio.wait_for(waiting, TIMEOUT_SECONDS)
        self.assert_refused(answer, 503, "not-run")
        held.resume.set()
        await asyncio.sleep(0.1)
        self.assertEqual(held.calls, ["ahead-0"])

    async def test_a_connection_that_breaks_later_has_unknown_outcome(self) -> None:
        held = HeldBackend()
        await self.begin(held)
        running = await self.call(upload("run-1"))
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while not held.calls:
                await asyncio.sleep(0.005)
        self.relay.cut()
        self.assert_refused(await asyncio.wait_for(running, TIMEOUT_SECONDS), 502, "unknown")

    async def test_a_deadline_before_the_body_was_requested_is_not_run(self) -> None:
        async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.relay.received += len(await reader.read())
            writer.close()

        await self.begin(answer_normally, timeout=0.5, target_latency=0.4)
        nobody = await Listener(silent).start(self)
        self.machines[0] = msgspec.structs.replace(self.machines[0], gateway=nobody)
        self.use_machines(3)
        answer = await asyncio.wait_for(await self.call(upload("c")), TIMEOUT_SECONDS)
        self.assert_refused(answer, 503, "not-run")
        await asyncio.sleep(0.05)
        self.assertLess(self.relay.received, HEAD_BYTES)

    async def test_a_stopping_proxy_withdraws_waiting_uploads_with_and_without_their_bodies(
        self,
    ) -> None:
        await self.begin_held()
        running = await self.call(upload("run-1"))
        waiting = [
            await self.call(upload(f"wait-{number}")) for number in range(2 + MAX_EARLY_BODIES)
        ]
        await self.wait_until_waiting(len(waiting))
        await self.proxy.withdraw_waiting()
        for task in waiting:
            self.assert_refused(await asyncio.wait_for(task, TIMEOUT_SECONDS), 503, "not-run")
        self.assertFalse(running.done())

    async def test_a_disconnect_is_noticed_while_the_body_is_waiting(self) -> None:
        held = await self.begin_held()
        for number in range(1 + MAX_EARLY_BODIES):
            await self.call(upload(f"ahead-{number}"))
        _, writer = await begin_call(self.address, upload("wait-1", 360_000))
        await self.wait_until_waiting(1 + MAX_EARLY_BODIES)
        writer.close()
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while self.proxy.in_flight > 1 + MAX_EARLY_BODIES:
                await asyncio.sleep(0.005)
        held.resume.set()
        await asyncio.sleep(0.2)
        self.assertNotIn("wait-1", held.calls)

    async def test_a_short_body_is_sent_with_its_head(self) -> None:
        await self.begin(answer_normally)
        answer = await asyncio.wait_for(await self.call(upload("c", 1000)), TIMEOUT_SECONDS)
        self.assertEqual((answer.status, self.relay.continue_count), (200, 0))


class DirectTest(GatewayTestCase):
    async def test_a_back_end_without_a_gateway_is_sent_the_body_at_once(self) -> None:
        heads: list[str] = []

        async def script(reader: Any, writer: Any, head: str) -> bool:
            heads.append(head)
            await reader.readexactly(SIZE)
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
            return True

        address = await self.start(RawBackend(script))
        self.assertEqual((await raw_call(address, upload("c"))).status, 200)
        self.assertNotIn("expect", heads[0])
