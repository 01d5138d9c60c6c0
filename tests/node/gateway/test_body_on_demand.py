"""Long bodies cross between nodes when the gateway asks for them, few ahead of their slots."""

import asyncio
import contextlib
from typing import Any
from unittest import mock

import msgspec

from pewtertack.node.gateway.reception import MAX_EARLY_BODIES
from pewtertack.node.proxy import body as bodies
from pewtertack.node.proxy.in_flight import Progress
from tests.node.gateway.test_gateway import GatewayTestCase, answer_well, header
from tests.node.gateway.test_stop import FEW_SECONDS, Held
from tests.node.listening import Listener
from tests.node.proxy.harness import Answer, RawBackend, begin_call, raw_call, request_bytes

SIZE = 300_000
HEAD_BYTES = 4096
"""More than any head between two nodes takes."""


def upload(name: str, size: int = SIZE) -> bytes:
    return request_bytes("POST", "/", b"x" * size, (f"x-call: {name}", "x-left: 30000"))


class Relay:
    """Stands before a gateway and counts what is sent to it; can end its connections."""

    def __init__(self, gateway: str) -> None:
        self.gateway = gateway
        self.received = 0
        self.asked_for_bodies = 0
        self.writers: list[asyncio.StreamWriter] = []

    async def start(self, case: GatewayTestCase) -> str:
        return await Listener(self.pass_on).start(case)

    async def pass_on(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = self.gateway.rpartition(":")
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        self.writers += [writer, far_writer]
        with contextlib.suppress(ConnectionError):  # of connections that the test has cut
            await asyncio.gather(self.there(reader, far_writer), self.back(far_reader, writer))

    async def there(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(65536):
            self.received += len(data)
            writer.write(data)
        writer.close()

    async def back(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(65536):
            self.asked_for_bodies += data.count(b" 100 Continue")
            writer.write(data)
        writer.close()

    def cut(self) -> None:
        for writer in self.writers:
            writer.transport.abort()


class BodyOnDemandTest(GatewayTestCase):
    async def begin(self, *backends: Any, **changes: Any) -> None:
        """Run back ends of one slot; what goes to the first one's gateway passes a relay."""
        changes = {"timeout": 30.0, "target_latency": 20.0} | changes
        self.address = await self.start_fleet(*backends, slots=1, **changes)
        self.relay = Relay(self.machines[0].gateway)
        through = await self.relay.start(self)
        self.machines[0] = msgspec.structs.replace(self.machines[0], gateway=through)
        self.use_machines(2)

    async def begin_held(self) -> Held:
        """Run a back end that holds requests, after one that tells how quick it can be."""
        held = Held()
        held.go_on.set()
        await self.begin(held)
        answer = await asyncio.wait_for(await self.call(upload("first", 100)), FEW_SECONDS)
        self.assertEqual(answer.status, 200)
        held.go_on.clear()
        held.calls.clear()
        return held

    async def call(self, raw: bytes) -> asyncio.Task[Answer]:
        task = asyncio.create_task(raw_call(self.address, raw, 30.0))
        self.addCleanup(task.cancel)
        await asyncio.sleep(0.05)
        return task

    async def until_waiting(self, count: int) -> None:
        active: Any = self.gateways[0].requests.active
        async with asyncio.timeout(FEW_SECONDS):
            while sum(item.progress is Progress.WAITING for item in active) < count:
                await asyncio.sleep(0.005)

    async def test_few_bodies_come_ahead_of_their_slots_and_all_arrive_whole(self) -> None:
        held = await self.begin_held()
        calls = [await self.call(upload("run-1"))]
        waiting = MAX_EARLY_BODIES + 2
        calls += [await self.call(upload(f"wait-{number}")) for number in range(waiting)]
        await self.until_waiting(waiting)
        self.assertEqual(self.relay.asked_for_bodies, 1 + MAX_EARLY_BODIES)
        self.assertLess(self.relay.received, (2 + MAX_EARLY_BODIES) * SIZE)
        held.go_on.set()
        for task in calls:
            self.assertEqual((await asyncio.wait_for(task, FEW_SECONDS)).status, 200)
        self.assertGreater(self.relay.received, len(calls) * SIZE)
        self.assertNotIn("expect", "".join(self.heads).lower())

    async def test_no_more_are_taken_while_as_many_wait_as_a_node_keeps(self) -> None:
        with mock.patch.object(bodies, "TOTAL_BODY_BUFFER_BYTES", 2 * SIZE):
            held = await self.begin_held()
            calls = [await self.call(upload(f"kept-{number}")) for number in range(2)]
            await self.until_waiting(1)
            refused = await asyncio.wait_for(await self.call(upload("late")), FEW_SECONDS)
            self.assert_refused(refused, 503, "not-run")
            self.assertIn(b"bodies-full", refused.body)
            calls.append(await self.call(upload("small", 100)))
            held.go_on.set()
            for task in calls:
                self.assertEqual((await asyncio.wait_for(task, FEW_SECONDS)).status, 200)
            again = await asyncio.wait_for(await self.call(upload("again")), FEW_SECONDS)
            self.assertEqual(again.status, 200)

    async def test_a_gateway_that_refuses_is_sent_no_body_and_the_next_gets_it_whole(self) -> None:
        await self.begin(answer_well, answer_well)
        self.gateways[0].start_draining()
        for number in range(4):
            answer = await asyncio.wait_for(await self.call(upload(f"c{number}")), FEW_SECONDS)
            self.assertEqual(answer.status, 200)
        self.assertEqual({header(head, "x-wanted") for head in self.heads}, {"b1"})
        self.assertLess(self.relay.received, HEAD_BYTES)

    async def test_a_connection_that_breaks_before_the_body_was_asked_for_ran_nothing(self) -> None:
        held = await self.begin_held()
        for number in range(1 + MAX_EARLY_BODIES):
            await self.call(upload(f"ahead-{number}"))
        waiting = await self.call(upload("wait-1"))
        await self.until_waiting(1 + MAX_EARLY_BODIES)
        self.relay.cut()
        answer = await asyncio.wait_for(waiting, FEW_SECONDS)
        self.assert_refused(answer, 503, "not-run")
        held.go_on.set()
        await asyncio.sleep(0.1)
        self.assertEqual(held.calls, ["ahead-0"])

    async def test_one_that_breaks_later_may_have_run(self) -> None:
        held = Held()
        await self.begin(held)
        running = await self.call(upload("run-1"))
        async with asyncio.timeout(FEW_SECONDS):
            while not held.calls:
                await asyncio.sleep(0.005)
        self.relay.cut()
        self.assert_refused(await asyncio.wait_for(running, FEW_SECONDS), 502, "unknown")

    async def test_a_deadline_before_the_body_was_asked_for_is_not_run(self) -> None:
        async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.relay.received += len(await reader.read())
            writer.close()

        await self.begin(answer_well, timeout=0.5, target_latency=0.4)
        nobody = await Listener(silent).start(self)
        self.machines[0] = msgspec.structs.replace(self.machines[0], gateway=nobody)
        self.use_machines(3)
        answer = await asyncio.wait_for(await self.call(upload("c")), FEW_SECONDS)
        self.assert_refused(answer, 503, "not-run")
        await asyncio.sleep(0.05)
        self.assertLess(self.relay.received, HEAD_BYTES)

    async def test_a_stopping_proxy_takes_back_what_waits_with_and_without_its_body(self) -> None:
        await self.begin_held()
        running = await self.call(upload("run-1"))
        waiting = [
            await self.call(upload(f"wait-{number}")) for number in range(2 + MAX_EARLY_BODIES)
        ]
        await self.until_waiting(len(waiting))
        await self.proxy.withdraw_waiting()
        for task in waiting:
            self.assert_refused(await asyncio.wait_for(task, FEW_SECONDS), 503, "not-run")
        self.assertFalse(running.done())

    async def test_a_caller_that_goes_is_noticed_while_its_body_waits(self) -> None:
        held = await self.begin_held()
        for number in range(1 + MAX_EARLY_BODIES):
            await self.call(upload(f"ahead-{number}"))
        _, writer = await begin_call(self.address, upload("wait-1", 360_000))
        await self.until_waiting(1 + MAX_EARLY_BODIES)
        writer.close()
        async with asyncio.timeout(FEW_SECONDS):
            while self.proxy.in_flight > 1 + MAX_EARLY_BODIES:
                await asyncio.sleep(0.005)
        held.go_on.set()
        await asyncio.sleep(0.2)
        self.assertNotIn("wait-1", held.calls)

    async def test_a_short_body_goes_along_with_its_head(self) -> None:
        await self.begin(answer_well)
        answer = await asyncio.wait_for(await self.call(upload("c", 1000)), FEW_SECONDS)
        self.assertEqual((answer.status, self.relay.asked_for_bodies), (200, 0))


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
