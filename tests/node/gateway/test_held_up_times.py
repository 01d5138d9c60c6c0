"""What nodes learn of a back end's times while their event loop is held up."""

import asyncio
import time
from typing import Any

from tests.node.gateway.test_gateway import GatewayTestCase, answer_well
from tests.node.proxy.harness import raw_call, request_bytes

RUN_SECONDS = 0.05
HELD_UP_SECONDS = 0.4
BETWEEN = 0.2
GET = request_bytes("GET", "/", headers=("x-call: call-1", "x-left: 4000"))


class HeldUpTimesTest(GatewayTestCase):
    """The back end answers, and its answer lies unread while the node has no turn."""

    async def answer_and_hold_up(self, reader: Any, writer: Any, head: str) -> bool:
        await asyncio.sleep(RUN_SECONDS)
        await answer_well(reader, writer, head)
        time.sleep(HELD_UP_SECONDS)
        return True

    async def test_a_gateway_does_not_count_its_own_delay_as_the_back_end_s_time(self) -> None:
        """Guards against refusals for which the back end's time was overrated."""
        address = await self.start_fleet(self.answer_and_hold_up)
        asyncio.get_running_loop().slow_callback_duration = 2 * HELD_UP_SECONDS
        self.assertEqual((await raw_call(address, GET)).status, 200)
        (incarnation,) = self.gateways[0]._incarnations._by_name.values()
        expected = incarnation.admission.expected_time("lookup")
        self.assertGreaterEqual(expected, RUN_SECONDS)
        self.assertLess(expected, BETWEEN)
