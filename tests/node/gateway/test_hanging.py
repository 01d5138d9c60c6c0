"""A back end that hangs on some requests and never responds on their connections again."""

import asyncio
import time
from random import Random
from typing import Any, ClassVar
from unittest import mock

from pewtertack.core.machines import MachineList
from pewtertack.core.policies import HungRequestPolicy, Policies
from pewtertack.node.gateway.forwarding import GatewayForwarding
from pewtertack.node.proxy.application import ProxyApplication
from pewtertack.routing.admission_ticket import AdmissionTicket
from pewtertack.routing.hanging import HangDetector
from tests.node.gateway.test_gateway import EDGE, GatewayTestCase, answer_normally, header
from tests.node.proxy.harness import raw_call, request_bytes
from tests.routing.samples import configuration, route

RESPONSE_SECONDS = 0.05
"""Duration of a normal response."""
SHORT_RESPONSE_SECONDS = 0.01
BLOCK_SECONDS = 0.3
"""How long the event loop is blocked: longer than any response takes otherwise."""
DEADLINE_SECONDS = 3.0
CONCURRENT_CALLS = 6
"""Concurrent calls on which the first back end hangs, if it receives them."""
WARM_UP_CALLS = 130
"""Responses before any hang, of which each of the two back ends sends about half."""


def get(path: str = "/") -> bytes:
    return request_bytes(
        "GET", path, headers=("x-call: call-1", f"x-left: {DEADLINE_SECONDS:.0f}000")
    )


class HangingBackend:
    """Responds after ``RESPONSE_SECONDS``, but never to ``/hang`` nor on that connection again."""

    def __init__(self) -> None:
        self.hang_count = 0
        self.closed_count = 0
        self.bytes_after_hang = 0

    async def answer(self, reader: Any, writer: Any, head: str) -> bool:
        if "/hang" not in head:
            await asyncio.sleep(RESPONSE_SECONDS)
            return await answer_normally(reader, writer, head)
        self.hang_count += 1
        while data := await reader.read(1000):
            self.bytes_after_hang += len(data)
        self.closed_count += 1
        return False


async def answer_after_delay(reader: Any, writer: Any, head: str) -> bool:
    await asyncio.sleep(RESPONSE_SECONDS)
    return await answer_normally(reader, writer, head)


class HangingTestCase(GatewayTestCase):
    def make_backend(self) -> HangingBackend:
        return HangingBackend()

    async def begin(self, **changes: Any) -> str:
        """Start a back end that hangs and one that does not, and make the warm-up calls."""
        self.hanging_backend = self.make_backend()
        settings = {"repeatable": True, "retry_limit": 1, "retry_budget": 1.0, **changes}
        address = await self.start_fleet(
            self.hanging_backend.answer, answer_after_delay, slots=8, **settings
        )
        await self.start_other_proxy(settings)
        for _ in range(WARM_UP_CALLS // 10):
            await asyncio.gather(*(raw_call(address, get()) for _ in range(10)))
        return address

    async def start_other_proxy(self, settings: dict[str, Any]) -> None:
        """Start a second proxy whose requests do not hang, as a back end has many callers."""
        other_proxy = ProxyApplication(time.monotonic, Random(8), edge=EDGE, caller_service="desk")
        other_proxy.use_configuration(configuration(route(**settings)))
        other_proxy.use_machines(MachineList(1, tuple(self.machines)))
        other_proxy.set_serving(True)
        self.other_proxy_address = await self.serve(other_proxy)

    async def call_hanging(self, address: str) -> tuple[list[int], float]:
        """Make calls on which the first back end hangs, while other calls continue.

        Return their statuses and the duration of the longest one in seconds.
        """
        statuses: list[int] = []
        longest_seconds = 0.0

        async def call() -> None:
            nonlocal longest_seconds
            started_at = time.monotonic()
            answer = await raw_call(address, get("/hang"))
            statuses.append(answer.status)
            longest_seconds = max(longest_seconds, time.monotonic() - started_at)

        async with asyncio.TaskGroup() as tasks:
            calls = [tasks.create_task(call()) for _ in range(CONCURRENT_CALLS)]
            while not all(task.done() for task in calls):
                await asyncio.gather(*(raw_call(self.other_proxy_address, get()) for _ in range(3)))
        return statuses, longest_seconds


class HangingTest(HangingTestCase):
    extra_arguments: ClassVar[dict[str, Any]] = {
        "policies": Policies(hanging=HungRequestPolicy.LEFT)
    }

    async def test_a_repeatable_request_is_retried_long_before_its_deadline(self) -> None:
        address = await self.begin()
        statuses, longest_seconds = await self.call_hanging(address)
        self.assertGreater(self.hanging_backend.hang_count, 0)
        self.assertEqual(statuses, [200] * len(statuses))
        self.assertLess(longest_seconds, DEADLINE_SECONDS / 2)

    async def test_the_hung_connection_is_closed_and_not_reused(self) -> None:
        address = await self.begin()
        await self.call_hanging(address)
        await asyncio.sleep(0.05)
        self.assertEqual(self.hanging_backend.closed_count, self.hanging_backend.hang_count)
        self.assertEqual(self.hanging_backend.bytes_after_hang, 0)

    async def test_a_non_repeatable_request_waits_until_its_deadline(self) -> None:
        address = await self.begin(repeatable=False)
        statuses, longest_seconds = await self.call_hanging(address)
        self.assertGreater(self.hanging_backend.hang_count, 0)
        self.assertEqual(statuses.count(504), self.hanging_backend.hang_count)
        self.assertGreater(longest_seconds, DEADLINE_SECONDS - 0.1)

    async def test_hung_requests_do_not_eject_the_back_end(self) -> None:
        address = await self.begin()
        await self.call_hanging(address)
        before = len(self.heads)
        for _ in range(20):
            await asyncio.gather(*(raw_call(address, get()) for _ in range(4)))
        served = [head for head in self.heads[before:] if header(head, "x-wanted") == "b0"]
        self.assertGreater(len(served), 10)


def hangs_when_blocked(_detector: HangDetector, ticket: AdmissionTicket, now: float) -> bool:
    return now - ticket.started_at > BLOCK_SECONDS


class BlockedLoopTest(HangingTestCase):
    """The node's event loop is blocked while the back end responds."""

    extra_arguments: ClassVar[dict[str, Any]] = {
        "policies": Policies(hanging=HungRequestPolicy.LEFT)
    }

    async def answer_and_block(self, reader: Any, writer: Any, head: str) -> bool:
        await asyncio.sleep(SHORT_RESPONSE_SECONDS)
        await answer_normally(reader, writer, head)
        if "/held" in head:
            time.sleep(BLOCK_SECONDS)
        return True

    async def test_a_response_received_while_the_loop_was_blocked_is_no_hang(self) -> None:
        """Guards against a hang report for an execution that has been answered.

        After the loop had been blocked, the hang check ran before the response was read.
        """
        address = await self.start_fleet(
            *[self.answer_and_block] * 2, slots=8, repeatable=True, retry_limit=1, retry_budget=1
        )
        for _ in range(WARM_UP_CALLS // 10):
            await asyncio.gather(*(raw_call(address, get()) for _ in range(2)))
        before = len(self.heads)
        asyncio.get_running_loop().slow_callback_duration = 2 * BLOCK_SECONDS
        with (
            mock.patch.object(GatewayForwarding, "_report_hang") as report_hang,
            mock.patch.object(HangDetector, "should_abandon", hangs_when_blocked),
        ):
            for _ in range(2):
                self.assertEqual((await raw_call(address, get("/held"))).status, 200)
        self.assertEqual(report_hang.call_count, 0)
        self.assertEqual(len(self.heads) - before, 2)


class DefaultPolicyTest(HangingTestCase):
    """Nodes whose settings name no policy for hung requests."""

    async def test_all_requests_wait_until_their_deadlines(self) -> None:
        address = await self.begin()
        statuses, _ = await self.call_hanging(address)
        self.assertGreater(self.hanging_backend.hang_count, 0)
        self.assertEqual(statuses.count(504), self.hanging_backend.hang_count)
