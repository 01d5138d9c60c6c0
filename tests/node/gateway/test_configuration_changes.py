"""Active requests when a new configuration removes or changes their route."""

import asyncio
from typing import Any

from pewtertack.core.configuration.resolved import ResolvedConfiguration
from tests.node.gateway.test_gateway import GatewayTestCase
from tests.node.gateway.test_stop import TIMEOUT_SECONDS, HeldBackend, upload
from tests.node.proxy.harness import Answer, raw_call
from tests.routing.samples import configuration, route, service

LONG_TIMES: dict[str, Any] = {"timeout": 30.0, "target_latency": 20.0}
SHORT_SECONDS = 0.1


class ConfigurationChangesTest(GatewayTestCase):
    """One request is running at the back end and another waits for its slot at the gateway."""

    async def begin(self) -> list[asyncio.Task[Answer]]:
        self.held = HeldBackend()
        self.address = await self.start_fleet(self.held, slots=1, **LONG_TIMES)
        calls = [await self.call("run-1"), await self.call("wait-1")]
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while self.gateways[0].in_flight < len(calls):
                await asyncio.sleep(0.005)
        return calls

    async def call(self, name: str) -> asyncio.Task[Answer]:
        task = asyncio.create_task(raw_call(self.address, upload(name), 30.0))
        self.addCleanup(task.cancel)
        await asyncio.sleep(0.05)
        return task

    async def assert_answered_after(self, changed: ResolvedConfiguration) -> None:
        calls = await self.begin()
        users: tuple[Any, ...] = (self.proxy, *self.gateways)
        for user in users:
            user.use_configuration(changed)
        await asyncio.sleep(2 * SHORT_SECONDS)
        self.held.resume.set()
        answers = [await asyncio.wait_for(task, TIMEOUT_SECONDS) for task in calls]
        self.assertEqual([answer.status for answer in answers], [200, 200])
        self.assertEqual(self.held.calls, ["run-1", "wait-1"])

    async def test_a_removed_route_and_service(self) -> None:
        other = route("other", service="other", path_prefix="/other")
        await self.assert_answered_after(configuration(other, services=(service("other"),)))
        late = await asyncio.wait_for(await self.call("late"), TIMEOUT_SECONDS)
        self.assert_refused(late, 404, "not-run")

    async def test_a_route_moved_to_another_service(self) -> None:
        services = (service(), service("other"))
        moved = configuration(route(service="other", **LONG_TIMES), services=services)
        await self.assert_answered_after(moved)

    async def test_a_route_with_a_shorter_timeout(self) -> None:
        shorter = route(timeout=SHORT_SECONDS, target_latency=SHORT_SECONDS)
        await self.assert_answered_after(configuration(shorter))
