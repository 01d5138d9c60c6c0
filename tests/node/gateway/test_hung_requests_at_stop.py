"""Requests that run slowly at a back end when a node starts to stop are not abandoned as hung.

Guards against a 502 for a request whose back end was still working. A gateway used to abandon a
request as hung after ten times its route's usual duration if it could be retried when it was sent.
By then the retry could be spent, the other back ends full, or the caller's node stopping. So the
gateway only reports the hang, and the caller's node decides at that moment. Executions here take 24
times the usual duration. A gateway that abandons executions by itself abandons 3 of 6 in each case,
and their callers get 502, ``backend-hung``, if the retry budget is spent or waiting requests were
withdrawn. With back ends that do hang, 22 of 661 abandoned requests ended with 502 because the
next gateways refused them.
"""

import asyncio
import time
from collections.abc import Callable
from typing import Any, ClassVar

from pewtertack.core.policies import HungRequestPolicy, Policies
from tests.node.gateway.test_gateway import answer_normally
from tests.node.gateway.test_hanging import RESPONSE_SECONDS, HangingBackend, HangingTestCase

SLOW_RESPONSE_SECONDS = 24 * RESPONSE_SECONDS
"""Duration of a slow response: far longer than it takes to be detected as a hang."""
STOP_SECONDS = 5.0


class SlowBackend(HangingBackend):
    """Responds to ``/hang`` after ``SLOW_RESPONSE_SECONDS``, unless the request is abandoned."""

    async def answer(self, reader: Any, writer: Any, head: str) -> bool:
        if "/hang" not in head:
            return await super().answer(reader, writer, head)
        self.hang_count += 1
        try:
            async with asyncio.timeout(SLOW_RESPONSE_SECONDS):
                await reader.read(1)
        except TimeoutError:
            return await answer_normally(reader, writer, head)
        self.closed_count += 1
        return False


class HungRequestsAtStopTest(HangingTestCase):
    extra_arguments: ClassVar[dict[str, Any]] = {
        "policies": Policies(hanging=HungRequestPolicy.LEFT)
    }

    def make_backend(self) -> HangingBackend:
        return SlowBackend()

    async def statuses_after(self, event: Callable[[], Any]) -> list[int]:
        """Make slow calls; trigger the event once they run at their back ends."""
        address = await self.begin()
        calls = asyncio.create_task(self.call_hanging(address))
        self.addCleanup(calls.cancel)
        async with asyncio.timeout(SLOW_RESPONSE_SECONDS):
            while self.hanging_backend.hang_count == 0:
                await asyncio.sleep(0.001)
        await asyncio.sleep(RESPONSE_SECONDS / 2)
        await event()
        statuses, _ = await calls
        return statuses

    def assert_all_answered(self, statuses: list[int]) -> None:
        self.assertGreater(self.hanging_backend.hang_count, 0)
        self.assertEqual(statuses, [200] * len(statuses))
        self.assertEqual(self.hanging_backend.closed_count, 0)

    async def test_running_requests_when_the_caller_s_node_starts_to_stop(self) -> None:
        async def start_leaving() -> None:
            self.proxy.start_leaving(STOP_SECONDS)

        self.assert_all_answered(await self.statuses_after(start_leaving))

    async def test_running_requests_when_the_caller_s_node_has_withdrawn_waiting_ones(self) -> None:
        async def withdraw() -> None:
            self.proxy.start_leaving(STOP_SECONDS)
            self.proxy.start_draining()
            await self.proxy.withdraw_waiting()

        self.assert_all_answered(await self.statuses_after(withdraw))

    async def test_running_requests_when_the_last_retry_has_been_spent(self) -> None:
        async def spend_retries() -> None:
            budget = self.proxy._context.dispatcher._budgets.for_service(
                "logbook", time.monotonic()
            )
            while budget.take(time.monotonic()):
                pass

        self.assert_all_answered(await self.statuses_after(spend_retries))

    async def test_running_requests_when_the_back_end_s_node_starts_to_stop(self) -> None:
        async def start_leaving() -> None:
            self.gateways[0].start_leaving(STOP_SECONDS)

        self.assert_all_answered(await self.statuses_after(start_leaving))
