"""Uploads whose bodies are on their way to a gateway when something is said that ends their work.

What callers saw: 502 at the end of their node's stop for an upload that no back end had been
offered; and an upload reached a back end seconds after the machine list had said that it leaves.
Order of events: the upload gets its slot, its body comes over a slow link, then comes the word.
Cause: what has its slot counted as run, though its body is received first; neither a withdrawal
nor a look at the back end's state came between. Evidence: the back end's own calls here.
"""

import asyncio
from typing import Any

import msgspec

from pewtertack.core.machines import MachineState
from tests.node.gateway.test_body_on_demand import HEAD_BYTES, Relay, upload
from tests.node.gateway.test_gateway import GatewayTestCase, answer_well, header
from tests.node.gateway.test_stop import FEW_SECONDS
from tests.node.proxy.harness import Answer, raw_call
from tests.routing.samples import configuration, route

ZONE = "ikeja"
QUICK = 0.02


class SlowRelay(Relay):
    """Passes heads on, and the rest of what is sent to the gateway only when it is let."""

    def __init__(self, gateway: str) -> None:
        super().__init__(gateway)
        self.go_on = asyncio.Event()

    async def there(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        received = 0
        while data := await reader.read(65536):
            received += len(data)
            self.received += len(data)
            if received > HEAD_BYTES:
                await self.go_on.wait()
            writer.write(data)
        writer.close()


class BodiesUnderWayTestCase(GatewayTestCase):
    """One upload has its slot at the first gateway, and its body is held up before it."""

    async def begin(self, *more_backends: Any) -> asyncio.Task[Answer]:
        address = await self.start_fleet(answer_well, timeout=30.0, target_latency=20.0)
        relay = self.relay = SlowRelay(self.machines[0].gateway)
        through = await relay.start(self)
        self.machines[0] = msgspec.structs.replace(self.machines[0], gateway=through)
        self.use_machines(2)
        task = asyncio.create_task(raw_call(address, upload("own"), 30.0))
        self.addCleanup(task.cancel)
        async with asyncio.timeout(FEW_SECONDS):
            while relay.received <= HEAD_BYTES:
                await asyncio.sleep(0.005)
        for number, script in enumerate(more_backends, 1):
            await self.add_backend(f"b{number}", script, 1)
        self.use_machines(3)
        return task

    async def let_body_come(self) -> None:
        self.relay.go_on.set()
        await asyncio.sleep(0.1)

    async def answer_of(self, task: asyncio.Task[Answer]) -> Answer:
        return await asyncio.wait_for(task, FEW_SECONDS)


class BodiesUnderWayTest(BodiesUnderWayTestCase):
    async def test_a_stopping_proxy_takes_it_back(self) -> None:
        task = await self.begin()
        await self.proxy.withdraw_waiting()
        self.assert_refused(await self.answer_of(task), 503, "not-run")
        await self.let_body_come()
        self.assertEqual(self.heads, [])

    async def test_a_stopping_gateway_gives_it_back_and_another_answers(self) -> None:
        task = await self.begin(answer_well)
        self.gateways[0].start_draining()
        await self.gateways[0].withdraw_waiting()
        self.assertEqual((await self.answer_of(task)).status, 200)
        await self.let_body_come()
        self.assertEqual([header(head, "x-wanted") for head in self.heads], ["b1"])

    async def test_a_back_end_that_leaves_meanwhile_does_not_get_it(self) -> None:
        task = await self.begin(answer_well)
        leaving = msgspec.structs.replace(self.machines[0], state=MachineState.LEAVING)
        self.machines[0] = leaving
        self.use_machines(4)
        self.relay.go_on.set()
        self.assertEqual((await self.answer_of(task)).status, 200)
        self.assertEqual([header(head, "x-wanted") for head in self.heads], ["b1"])

    async def test_a_back_end_of_a_zone_evacuated_meanwhile_does_not_get_it(self) -> None:
        task = await self.begin()
        changed = msgspec.structs.replace(configuration(route()), evacuated=frozenset({ZONE}))
        self.gateways[0].use_configuration(changed)
        self.relay.go_on.set()
        self.assert_refused(await self.answer_of(task), 503, "not-run")
        self.assertEqual(self.heads, [])

    async def test_the_time_for_which_it_had_its_slot_tells_nothing_of_the_back_end(self) -> None:
        task = await self.begin()
        admission = self.gateways[0]._incarnations.get("b0").admission
        admission._service_times.note("lookup", QUICK)
        await asyncio.sleep(5 * QUICK)
        await self.proxy.withdraw_waiting()
        self.assert_refused(await self.answer_of(task), 503, "not-run")
        self.assertEqual(admission.expected_time("lookup"), QUICK)
        await self.let_body_come()

    async def test_nothing_said_it_is_answered(self) -> None:
        task = await self.begin()
        self.relay.go_on.set()
        self.assertEqual((await self.answer_of(task)).status, 200)
        self.assertEqual(len(self.heads), 1)
