"""A request that was sent keeps its unknown outcome if the check for a crash is cancelled."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any
from unittest import mock

import msgspec

from pewtertack.core.machines import MachineList
from tests.node.gateway.test_gateway import GatewayTestCase, answer_normally
from tests.node.proxy.harness import raw_call, request_bytes

CHECK_SECONDS = 0.5
PATCHED_CHECK = "pewtertack.node.crash_watch.refuses_connections"


async def check_slowly(address: str) -> bool:
    """Take a long time to find that the back end still accepts connections."""
    await asyncio.sleep(CHECK_SECONDS)
    return False


class CancelledCrashCheckTest(GatewayTestCase):
    def breaking_backend(self, executions: list[str]) -> Callable[..., Awaitable[bool]]:
        """Return a back end that runs the first request and closes without a response."""

        async def serve(reader: Any, writer: Any, head: str) -> bool:
            executions.append(head)
            return len(executions) > 1 and await answer_normally(reader, writer, head)

        return serve

    async def test_a_stop_during_the_check_does_not_cause_a_second_execution(self) -> None:
        executions: list[str] = []
        script = self.breaking_backend(executions)
        address = await self.start_fleet(script, script, repeatable=False, retry_limit=3)
        headers = ("x-call: c1", "x-left: 4000")
        with mock.patch(PATCHED_CHECK, check_slowly):
            call = asyncio.ensure_future(
                raw_call(address, request_bytes("POST", "/", b"x", headers=headers))
            )
            await asyncio.sleep(0.2)
            for gateway in self.gateways:
                for request in tuple(gateway.requests.active):
                    request.stop()
            answer = await call
        self.assertEqual(len(executions), 1)
        self.assertNotEqual(answer.headers.get("x-outcome"), "not-run")

    async def test_a_deadline_during_the_check_does_not_make_the_outcome_not_run(self) -> None:
        executions: list[str] = []
        address = await self.start_fleet(
            self.breaking_backend(executions), repeatable=False, retry_limit=3
        )
        listed = tuple(msgspec.structs.replace(item, gateway="") for item in self.machines)
        self.proxy.use_machines(MachineList(2, listed))
        headers = ("x-call: c1", "x-left: 200")
        with mock.patch(PATCHED_CHECK, check_slowly):
            answer = await raw_call(address, request_bytes("POST", "/", b"x", headers=headers))
        self.assertEqual(len(executions), 1)
        self.assertNotEqual(answer.status, 503)
        self.assertNotEqual(answer.headers.get("x-outcome"), "not-run")
