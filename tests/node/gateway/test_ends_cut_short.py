"""A request that was sent stays one that may have run, whatever cuts the look for its end short."""

import asyncio
from collections.abc import Awaitable, Callable
from unittest import mock

import msgspec

from pewtertack.core.machines import MachineList
from tests.node.gateway.test_gateway import GatewayTestCase, answer_well
from tests.node.proxy.harness import raw_call, request_bytes

CHECK_SECONDS = 0.5
LOOKED_AT = "pewtertack.node.crash_watch.refuses_connections"


async def look_slowly(address: str) -> bool:
    """Take long to find out that the back end still listens."""
    await asyncio.sleep(CHECK_SECONDS)
    return False


class CutShortTest(GatewayTestCase):
    def breaking(self, ran: list[object]) -> Callable[..., Awaitable[bool]]:
        """Return a back end that runs the first request and closes without an answer."""

        async def serve(reader: object, writer: object, head: object) -> bool:
            ran.append(head)
            return len(ran) > 1 and await answer_well(reader, writer, head)

        return serve

    async def test_a_stop_does_not_make_it_run_twice(self) -> None:
        ran: list[object] = []
        breaks = self.breaking(ran)
        address = await self.start_fleet(breaks, breaks, repeatable=False, retry_limit=3)
        headers = ("x-call: c1", "x-left: 4000")
        with mock.patch(LOOKED_AT, look_slowly):
            call = asyncio.ensure_future(
                raw_call(address, request_bytes("POST", "/", b"x", headers=headers))
            )
            await asyncio.sleep(0.2)
            for gateway in self.gateways:
                for request in tuple(gateway.requests.active):
                    request.stop()
            answer = await call
        self.assertEqual(len(ran), 1)
        self.assertNotEqual(answer.headers.get("x-outcome"), "not-run")

    async def test_a_deadline_does_not_make_it_one_that_has_not_run(self) -> None:
        ran: list[object] = []
        address = await self.start_fleet(self.breaking(ran), repeatable=False, retry_limit=3)
        listed = tuple(msgspec.structs.replace(item, gateway="") for item in self.machines)
        self.proxy.use_machines(MachineList(2, listed))
        headers = ("x-call: c1", "x-left: 200")
        with mock.patch(LOOKED_AT, look_slowly):
            answer = await raw_call(address, request_bytes("POST", "/", b"x", headers=headers))
        self.assertEqual(len(ran), 1)
        self.assertNotEqual(answer.status, 503)
        self.assertNotEqual(answer.headers.get("x-outcome"), "not-run")
