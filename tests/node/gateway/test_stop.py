"""A proxy or gateway that shuts down while it has waiting and running requests."""

import asyncio
from typing import Any
from unittest import mock

import msgspec

from pewtertack.core.machines import MachineState
from pewtertack.node.gateway.hop import GATEWAY_NAMES, withdrawal_request
from pewtertack.node.proxy.in_flight import Progress
from pewtertack.routing.outcomes import BackendUnreachableError
from tests.node.gateway.test_gateway import GatewayTestCase, answer_normally
from tests.node.proxy.harness import Answer, RawBackend, raw_call, request_bytes
from tests.routing.samples import configuration, route

TIMEOUT_SECONDS = 5.0


def upload(name: str) -> bytes:
    return request_bytes("POST", "/", b"log", (f"x-call: {name}", "x-left: 30000"))


class HeldBackend:
    """A back end that responds once the test sets ``resume``."""

    def __init__(self) -> None:
        self.calls: list[str] = []
        self.resume = asyncio.Event()

    async def __call__(self, reader: Any, writer: Any, head: str) -> bool:
        self.calls.append(head.split("x-call: ")[1].split("\r\n")[0])
        await self.resume.wait()
        return await answer_normally(reader, writer, head)


class StopTestCase(GatewayTestCase):
    """Two requests: one running at the back end, one waiting for its slot."""

    async def begin(self, *backends: Any, **changes: Any) -> None:
        """Have ``run-1`` running and ``wait-1`` waiting at the first back end."""
        changes = {"timeout": 30.0, "target_latency": 20.0} | changes
        self.held = HeldBackend()
        self.address = await self.start_fleet(self.held, *backends, slots=1, **changes)
        self.running = await self.call("run-1")
        self.waiting = await self.call("wait-1")
        await self.wait_until(lambda: self.progress_at(0) == ["offered", "waiting"])

    def progress_at(self, gateway: int) -> list[str]:
        active: Any = self.gateways[gateway].requests.active
        return sorted(request.progress for request in active)

    async def call(self, name: str) -> asyncio.Task[Answer]:
        task = asyncio.create_task(raw_call(self.address, upload(name), 30.0))
        self.addCleanup(task.cancel)
        await asyncio.sleep(0.05)
        return task

    async def wait_until(self, condition: Any) -> None:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while not condition():
                await asyncio.sleep(0.005)

    async def answer_of(self, task: asyncio.Task[Answer]) -> Answer:
        return await asyncio.wait_for(task, TIMEOUT_SECONDS)


class StopTest(StopTestCase):
    async def test_a_stopping_proxy_withdraws_waiting_requests_and_running_ones_continue(
        self,
    ) -> None:
        await self.begin()
        self.proxy.start_draining()
        await self.proxy.withdraw_waiting()
        self.assert_refused(await self.answer_of(self.waiting), 503, "not-run")
        self.held.resume.set()
        self.assertEqual((await self.answer_of(self.running)).status, 200)
        self.assertEqual(self.held.calls, ["run-1"])

    async def test_a_withdrawn_request_is_not_retried(self) -> None:
        await self.begin()
        await self.add_backend("b1", answer_normally, 1)
        self.use_machines(2)
        await self.proxy.withdraw_waiting()
        self.assert_refused(await self.answer_of(self.waiting), 503, "not-run")
        self.assertNotIn("b1", [head.split("x-wanted: ")[1][:2] for head in self.heads])

    async def test_a_request_running_at_the_end_has_unknown_outcome_and_frees_the_back_end(
        self,
    ) -> None:
        await self.begin()
        self.proxy.start_draining()
        await self.proxy.withdraw_waiting()
        self.proxy.stop_requests()
        answer = await self.answer_of(self.running)
        self.assert_refused(answer, 502, "unknown")
        self.assertIn(b'"draining"', answer.body)
        await asyncio.wait_for(self.proxy.wait_drained(), TIMEOUT_SECONDS)
        await self.wait_until(lambda: self.progress_at(0) == [])

    async def test_requests_at_an_unreachable_gateway_have_unknown_outcome(self) -> None:
        await self.begin()
        unreachable = BackendUnreachableError("no connection")
        with mock.patch.object(self.proxy._context.connections, "acquire", side_effect=unreachable):
            await self.proxy.withdraw_waiting()
        self.proxy.stop_requests()
        for task in (self.running, self.waiting):
            self.assert_refused(await self.answer_of(task), 502, "unknown")

    async def test_a_stopping_gateway_hands_back_waiting_requests_and_another_answers(self) -> None:
        await self.begin()
        await self.add_backend("b1", answer_normally, 1)
        self.use_machines(2)
        self.gateways[0].start_draining()
        await self.gateways[0].withdraw_waiting()
        self.assertEqual((await self.answer_of(self.waiting)).status, 200)
        self.held.resume.set()
        self.assertEqual((await self.answer_of(self.running)).status, 200)

    async def test_a_gateway_at_its_end_reports_running_requests_with_unknown_outcome(self) -> None:
        await self.begin()
        self.gateways[0].start_draining()
        await self.gateways[0].withdraw_waiting()
        self.gateways[0].stop_requests()
        self.assert_refused(await self.answer_of(self.running), 502, "unknown")
        self.assert_refused(await self.answer_of(self.waiting), 503, "not-run")

    async def test_no_attempt_starts_after_the_withdrawal(self) -> None:
        broken = asyncio.Event()

        async def break_when_told(reader: Any, writer: Any, head: str) -> bool:
            started.set()
            await broken.wait()
            writer.transport.abort()
            return False

        started, second = asyncio.Event(), HeldBackend()
        self.address = await self.start_fleet(
            break_when_told, slots=1, timeout=30.0, repeatable=True
        )
        call = await self.call("c")
        await asyncio.wait_for(started.wait(), TIMEOUT_SECONDS)
        await self.add_backend("b1", second, 1)
        self.use_machines(2)
        self.proxy.start_draining()
        await self.proxy.withdraw_waiting()
        broken.set()
        self.assert_refused(await self.answer_of(call), 502, "unknown")
        self.assertEqual(second.calls, [])

    async def test_requests_waiting_for_a_leaving_back_end_are_served_elsewhere(self) -> None:
        await self.begin()
        await self.add_backend("b1", answer_normally, 1)
        leaving = msgspec.structs.replace(self.machines[0], state=MachineState.LEAVING)
        self.machines[0] = leaving
        self.use_machines(2)
        self.assertEqual((await self.answer_of(self.waiting)).status, 200)
        self.held.resume.set()
        self.assertEqual((await self.answer_of(self.running)).status, 200)
        self.assertEqual(self.held.calls, ["run-1"])

    async def test_running_requests_are_not_cut_when_their_gateway_is_delisted_or_dropped(
        self,
    ) -> None:
        await self.begin()
        await self.add_backend("b1", answer_normally, 1)
        former_machine, gateway = self.machines.pop(0), self.machines[0].gateway
        self.use_machines(2)
        for connections in (self.proxy.connections, self.gateways[0].connections):
            connections.keep_only((gateway,))
            for address in (former_machine.gateway, former_machine.address):
                connections.drop(address)
        self.assertEqual((await self.answer_of(self.waiting)).status, 200)
        self.held.resume.set()
        self.assertEqual((await self.answer_of(self.running)).status, 200)
        self.assertEqual(self.held.calls, ["run-1"])

    async def test_a_withdrawal_of_a_running_or_unknown_request_refuses_nothing(self) -> None:
        await self.begin()
        gateway = self.machines[0].gateway
        for name in ("run-1", "nobody"):
            raw = (
                withdrawal_request(gateway, name)
                .head()
                .replace(b"\r\n\r\n", b"\r\nconnection: close")
            )
            self.assertEqual((await raw_call(gateway, raw + b"\r\n\r\n")).status, 204)
        self.assertEqual(self.progress_at(0), [Progress.OFFERED, Progress.WAITING])

    async def test_a_caller_cannot_send_requests_to_the_gateway_itself(self) -> None:
        await self.begin()
        for name in GATEWAY_NAMES:
            forged = (f"{name.decode()}: wait-1", "x-call: call-1", "x-left: 100")
            answer = await raw_call(self.address, request_bytes(headers=forged))
            self.assert_refused(answer, 503, "not-run")
        self.assertEqual(self.progress_at(0), [Progress.OFFERED, Progress.WAITING])


class ProxyQueueTest(GatewayTestCase):
    async def begin(self) -> tuple[HeldBackend, list[asyncio.Task[Answer]]]:
        """Have 20 requests at a proxy without gateways, most of them in its own queue."""
        held = HeldBackend()

        async def script(reader: Any, writer: Any, head: str) -> bool:
            await reader.readexactly(3)
            held.calls.append(head)
            return not await held.resume.wait()

        settings = configuration(route(timeout=30.0, queue_limit=50))
        address = await self.start(RawBackend(script), settings=settings)
        calls = [asyncio.create_task(raw_call(address, upload(f"c{n}"), 30.0)) for n in range(20)]
        for call in calls:
            self.addCleanup(call.cancel)
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while self.proxy.in_flight < len(calls) or not held.calls:
                await asyncio.sleep(0.01)
        return held, calls

    async def test_a_request_that_ends_during_the_withdrawal_does_not_affect_others(self) -> None:
        _, calls = await self.begin()
        service = self.proxy._context.dispatcher.services()[0]
        first = service.queue.peek()
        assert first is not None
        first.expires_at = 0.0
        asyncio.get_running_loop().call_soon(service.pump, 1.0)
        await asyncio.wait_for(self.proxy.withdraw_waiting(), TIMEOUT_SECONDS)
        self.proxy.stop_requests()
        answers = await asyncio.wait_for(asyncio.gather(*calls), TIMEOUT_SECONDS)
        self.assertEqual({answer.status for answer in answers}, {502, 503})

    async def test_requests_in_the_proxy_s_own_queue_are_refused_as_not_run(self) -> None:
        held, calls = await self.begin()
        self.proxy.start_draining()
        await self.proxy.withdraw_waiting()
        self.proxy.stop_requests()
        answers = await asyncio.wait_for(asyncio.gather(*calls), TIMEOUT_SECONDS)
        statuses = sorted(answer.status for answer in answers)
        self.assertEqual(statuses, [502] * len(held.calls) + [503] * (20 - len(held.calls)))
        self.assertLess(len(held.calls), 20)
