"""Requests under way when a configuration takes away what they were accepted by."""

import asyncio
from typing import Any

from pewtertack.core.configuration.resolved import ResolvedConfiguration
from tests.node.gateway.test_gateway import GatewayTestCase
from tests.node.gateway.test_stop import FEW_SECONDS, Held, upload
from tests.node.proxy.harness import Answer, raw_call
from tests.routing.samples import configuration, route, service

TIMES = {"timeout": 30.0, "target_latency": 20.0}
SHORTER = 0.1


class ChangesUnderWayTest(GatewayTestCase):
    """One request is at work, another waits at the gateway behind it."""

    async def begin(self) -> list[asyncio.Task[Answer]]:
        self.held = Held()
        self.address = await self.start_fleet(self.held, slots=1, **TIMES)
        calls = [await self.call("run-1"), await self.call("wait-1")]
        async with asyncio.timeout(FEW_SECONDS):
            while self.gateways[0].in_flight < len(calls):
                await asyncio.sleep(0.005)
        return calls

    async def call(self, name: str) -> asyncio.Task[Answer]:
        task = asyncio.create_task(raw_call(self.address, upload(name), 30.0))
        self.addCleanup(task.cancel)
        await asyncio.sleep(0.05)
        return task

    async def assert_answered_in_spite_of(self, changed: ResolvedConfiguration) -> None:
        calls = await self.begin()
        users: tuple[Any, ...] = (self.proxy, *self.gateways)
        for user in users:
            user.use_configuration(changed)
        await asyncio.sleep(2 * SHORTER)
        self.held.go_on.set()
        answers = [await asyncio.wait_for(task, FEW_SECONDS) for task in calls]
        self.assertEqual([answer.status for answer in answers], [200, 200])
        self.assertEqual(self.held.calls, ["run-1", "wait-1"])

    async def test_its_route_and_service_are_gone(self) -> None:
        other = route("other", service="other", path_prefix="/other")
        await self.assert_answered_in_spite_of(configuration(other, services=(service("other"),)))
        late = await asyncio.wait_for(await self.call("late"), FEW_SECONDS)
        self.assert_refused(late, 404, "not-run")

    async def test_its_route_goes_to_another_service(self) -> None:
        services = (service(), service("other"))
        moved = configuration(route(service="other", **TIMES), services=services)
        await self.assert_answered_in_spite_of(moved)

    async def test_its_route_has_a_shorter_timeout(self) -> None:
        shorter = route(timeout=SHORTER, target_latency=SHORTER)
        await self.assert_answered_in_spite_of(configuration(shorter))
