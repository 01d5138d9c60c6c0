"""The response times that a gateway measures while its event loop is blocked."""

import asyncio
import time
from typing import Any

from tests.node.gateway.test_gateway import GatewayTestCase, answer_normally
from tests.node.proxy.harness import raw_call, request_bytes

RESPONSE_SECONDS = 0.05
BLOCK_SECONDS = 0.4
LIMIT_SECONDS = 0.2
GET = request_bytes("GET", "/", headers=("x-call: call-1", "x-left: 4000"))


class BusyEventLoopTest(GatewayTestCase):
    """The back end's response lies unread while the node's event loop is blocked."""

    async def answer_and_block(self, reader: Any, writer: Any, head: str) -> bool:
        await asyncio.sleep(RESPONSE_SECONDS)
        await answer_normally(reader, writer, head)
        time.sleep(BLOCK_SECONDS)
        return True

    async def test_a_gateway_does_not_count_its_own_delay_as_back_end_time(self) -> None:
        """Guards against refusals caused by an overestimated response time of the back end."""
        address = await self.start_fleet(self.answer_and_block)
        asyncio.get_running_loop().slow_callback_duration = 2 * BLOCK_SECONDS
        self.assertEqual((await raw_call(address, GET)).status, 200)
        (incarnation,) = self.gateways[0]._incarnations._by_name.values()
        expected = incarnation.admission.expected_time("lookup")
        self.assertGreaterEqual(expected, RESPONSE_SECONDS)
        self.assertLess(expected, LIMIT_SECONDS)
