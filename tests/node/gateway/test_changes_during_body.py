"""Uploads whose bodies are being received by a gateway when a change says not to run them.

Guards against two failures. A caller got 502 at the end of its node's shutdown for an upload that
had not been offered to any back end. And an upload was sent to a back end seconds after the machine
list had reported it as leaving. In both cases the upload had a slot, and its body was arriving over
a slow link: a request with a slot counted as run, and neither a withdrawal nor the state of the
back end was checked before it was sent.
"""

import asyncio
from typing import Any

import msgspec

from pewtertack.core.machines import MachineState
from tests.node.gateway.test_body_on_demand import HEAD_BYTES, Relay, upload
from tests.node.gateway.test_gateway import GatewayTestCase, answer_normally, header
from tests.node.gateway.test_stop import TIMEOUT_SECONDS
from tests.node.proxy.harness import Answer, raw_call
from tests.routing.samples import configuration, route

ZONE = "ikeja"
SHORT_SECONDS = 0.02


class SlowRelay(Relay):
    """Relays request heads at once, and the rest toward the gateway only after ``resume``."""

    def __init__(self, gateway: str) -> None:
        super().__init__(gateway)
        self.resume = asyncio.Event()

    async def relay_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        received = 0
        while data := await reader.read(65536):
            received += len(data)
            self.received += len(data)
            if received > HEAD_BYTES:
                await self.resume.wait()
            writer.write(data)
        writer.close()


class ChangesDuringBodyTestCase(GatewayTestCase):
    """One upload has a slot at the first gateway, and its body is delayed on the way there."""

    async def begin(self, *more_backends: Any) -> asyncio.Task[Answer]:
        address = await self.start_fleet(answer_normally, timeout=30.0, target_latency=20.0)
        relay = self.relay = SlowRelay(self.machines[0].gateway)
        relayed = await relay.start(self)
        self.machines[0] = msgspec.structs.replace(self.machines[0], gateway=relayed)
        self.use_machines(2)
        task = asyncio.create_task(raw_call(address, upload("own"), 30.0))
        self.addCleanup(task.cancel)
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while relay.received <= HEAD_BYTES:
                await asyncio.sleep(0.005)
        for number, script in enumerate(more_backends, 1):
            await self.add_backend(f"b{number}", script, 1)
        self.use_machines(3)
        return task

    async def release_body(self) -> None:
        self.relay.resume.set()
        await asyncio.sleep(0.1)

    async def answer_of(self, task: asyncio.Task[Answer]) -> Answer:
        return await asyncio.wait_for(task, TIMEOUT_SECONDS)


class ChangesDuringBodyTest(ChangesDuringBodyTestCase):
    async def test_a_stopping_proxy_withdraws_the_upload(self) -> None:
        task = await self.begin()
        await self.proxy.withdraw_waiting()
        self.assert_refused(await self.answer_of(task), 503, "not-run")
        await self.release_body()
        self.assertEqual(self.heads, [])

    async def test_a_stopping_gateway_hands_the_upload_back_and_another_answers(self) -> None:
        task = await self.begin(answer_normally)
        self.gateways[0].start_draining()
        await self.gateways[0].withdraw_waiting()
        self.assertEqual((await self.answer_of(task)).status, 200)
        await self.release_body()
        self.assertEqual([header(head, "x-wanted") for head in self.heads], ["b1"])

    async def test_a_back_end_that_leaves_meanwhile_does_not_receive_the_upload(self) -> None:
        task = await self.begin(answer_normally)
        leaving = msgspec.structs.replace(self.machines[0], state=MachineState.LEAVING)
        self.machines[0] = leaving
        self.use_machines(4)
        self.relay.resume.set()
        self.assertEqual((await self.answer_of(task)).status, 200)
        self.assertEqual([header(head, "x-wanted") for head in self.heads], ["b1"])

    async def test_a_back_end_in_a_zone_evacuated_meanwhile_does_not_receive_the_upload(
        self,
    ) -> None:
        task = await self.begin()
        changed = msgspec.structs.replace(configuration(route()), evacuated=frozenset({ZONE}))
        self.gateways[0].use_configuration(changed)
        self.relay.resume.set()
        self.assert_refused(await self.answer_of(task), 503, "not-run")
        self.assertEqual(self.heads, [])

    async def test_the_time_spent_waiting_for_the_body_is_not_counted_as_back_end_time(
        self,
    ) -> None:
        task = await self.begin()
        admission = self.gateways[0]._incarnations.get("b0").admission
        admission._service_times.note("lookup", SHORT_SECONDS)
        await asyncio.sleep(5 * SHORT_SECONDS)
        await self.proxy.withdraw_waiting()
        self.assert_refused(await self.answer_of(task), 503, "not-run")
        self.assertEqual(admission.expected_time("lookup"), SHORT_SECONDS)
        await self.release_body()

    async def test_without_a_change_the_upload_is_answered(self) -> None:
        task = await self.begin()
        self.relay.resume.set()
        self.assertEqual((await self.answer_of(task)).status, 200)
        self.assertEqual(len(self.heads), 1)
