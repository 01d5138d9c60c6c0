"""What runs at a back end when a node is told to stop runs to its end.

The story: the node that had taken a request was told to stop. A second later, when the request
had run for ten times what its route usually takes, the run was broken off; 75 ms after that the
caller got a 502 of ours, long before any end of the drain. No log of it was kept: what follows
does the same and fits those times, but that case itself is not traced.

The cause: whether a run may be broken off for hanging was asked once, when it was sent: another
back end was there, and a retry was left in the budget. By the time the gateway judged it, the
retry could be spent, the other back ends full, or the node stopping: nobody asked again.

The evidence: here runs take 24 times what others do, and the gateways learn it as they do in a
fleet. Where the gateway breaks runs off itself, 3 of 6 are broken off in each of these cases, and
where the budget has been spent meanwhile, or what waits has been withdrawn, their three callers
get 502, ``backend-hung``. On a day of back ends that hang 22 of 661 requests that were left so
ended 502, refused by the gateways that were asked next. That the gateway asks, and the node of
the caller decides, ends it where that node stops.
"""

import asyncio
import time
from collections.abc import Callable
from typing import Any, ClassVar

from pewtertack.core.policies import HungRequestPolicy, Policies
from tests.node.gateway.test_gateway import answer_well
from tests.node.gateway.test_hanging import SECONDS, HangingBackend, HangingTestCase

LATE_SECONDS = 24 * SECONDS
"""What a late answer takes: far beyond where a request is taken to hang."""
STOP_SECONDS = 5.0


class LateBackend(HangingBackend):
    """Answers in its time what the other never answers, unless it is broken off before."""

    def __init__(self) -> None:
        super().__init__()
        self.late_answers = 0

    async def answer(self, reader: Any, writer: Any, head: str) -> bool:
        if "/hang" not in head:
            return await super().answer(reader, writer, head)
        self.hung += 1
        try:
            async with asyncio.timeout(LATE_SECONDS):
                await reader.read(1)
        except TimeoutError:
            self.late_answers += 1
            return await answer_well(reader, writer, head)
        self.closed += 1
        return False


class LeftAtAStopTest(HangingTestCase):
    parts: ClassVar[dict[str, Any]] = {"policies": Policies(hanging=HungRequestPolicy.LEFT)}

    def make_backend(self) -> HangingBackend:
        return LateBackend()

    async def statuses_when(self, happens: Callable[[], Any]) -> list[int]:
        """Make calls that run late; let something happen once they are at their back ends."""
        address = await self.begin()
        calls = asyncio.create_task(self.call_hanging(address))
        self.addCleanup(calls.cancel)
        async with asyncio.timeout(LATE_SECONDS):
            while self.hanging.hung == 0:
                await asyncio.sleep(0.001)
        await asyncio.sleep(SECONDS / 2)
        await happens()
        statuses, _ = await calls
        return statuses

    def assert_all_ran_to_their_ends(self, statuses: list[int]) -> None:
        self.assertGreater(self.hanging.hung, 0)
        self.assertEqual(statuses, [200] * len(statuses))
        self.assertEqual(self.hanging.closed, 0)

    async def test_what_runs_when_its_callers_node_is_told_to_stop(self) -> None:
        async def told_to_stop() -> None:
            self.proxy.start_leaving(STOP_SECONDS)

        self.assert_all_ran_to_their_ends(await self.statuses_when(told_to_stop))

    async def test_what_runs_when_its_callers_node_has_withdrawn_what_waits(self) -> None:
        async def withdrawn() -> None:
            self.proxy.start_leaving(STOP_SECONDS)
            self.proxy.start_draining()
            await self.proxy.withdraw_waiting()

        self.assert_all_ran_to_their_ends(await self.statuses_when(withdrawn))

    async def test_what_runs_when_the_last_retry_has_been_spent(self) -> None:
        async def spent() -> None:
            budget = self.proxy._context.dispatcher._budgets.for_service(
                "logbook", time.monotonic()
            )
            while budget.take(time.monotonic()):
                pass

        self.assert_all_ran_to_their_ends(await self.statuses_when(spent))

    async def test_what_runs_beside_a_node_that_is_told_to_stop(self) -> None:
        async def told_to_stop() -> None:
            self.gateways[0].start_leaving(STOP_SECONDS)

        self.assert_all_ran_to_their_ends(await self.statuses_when(told_to_stop))
