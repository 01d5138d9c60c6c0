"""A back end that never answers some requests, nor anything further on their connections."""

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
from tests.node.gateway.test_gateway import EDGE, GatewayTestCase, answer_well, header
from tests.node.proxy.harness import raw_call, request_bytes
from tests.routing.samples import configuration, route

SECONDS = 0.05
"""What an answer takes."""
SHORT_SECONDS = 0.01
HELD_UP_SECONDS = 0.3
"""Longer than any answer takes otherwise."""
PATIENCE = 3.0
HANGING = 6
"""Calls at once on which the first back end hangs, if they come to it."""
LEARNT = 130
"""Answers that each of two back ends has given at least half of before any hangs."""


def get(path: str = "/") -> bytes:
    return request_bytes("GET", path, headers=("x-call: call-1", f"x-left: {PATIENCE:.0f}000"))


class HangingBackend:
    """Answers after ``SECONDS``, but never what says so, nor anything further there."""

    def __init__(self) -> None:
        self.hung = 0
        self.closed = 0
        self.after_hanging = 0

    async def answer(self, reader: Any, writer: Any, head: str) -> bool:
        if "/hang" not in head:
            await asyncio.sleep(SECONDS)
            return await answer_well(reader, writer, head)
        self.hung += 1
        while data := await reader.read(1000):
            self.after_hanging += len(data)
        self.closed += 1
        return False


async def answer_in_time(reader: Any, writer: Any, head: str) -> bool:
    await asyncio.sleep(SECONDS)
    return await answer_well(reader, writer, head)


class HangingTestCase(GatewayTestCase):
    def make_backend(self) -> HangingBackend:
        return HangingBackend()

    async def begin(self, **changes: Any) -> str:
        """Start a back end that hangs and one that does not; let both be learnt."""
        self.hanging = self.make_backend()
        settings = {"repeatable": True, "retry_limit": 1, "retry_budget": 1.0, **changes}
        address = await self.start_fleet(self.hanging.answer, answer_in_time, slots=8, **settings)
        await self.add_other_proxy(settings)
        for _ in range(LEARNT // 10):
            await asyncio.gather(*(raw_call(address, get()) for _ in range(10)))
        return address

    async def add_other_proxy(self, settings: dict[str, Any]) -> None:
        """Add a proxy whose requests do not hang: a back end has many callers."""
        other = ProxyApplication(time.monotonic, Random(8), edge=EDGE, caller_service="desk")
        other.use_configuration(configuration(route(**settings)))
        other.use_machines(MachineList(1, tuple(self.machines)))
        other.set_serving(True)
        self.other = await self.serve(other)

    async def call_hanging(self, address: str) -> tuple[list[int], float]:
        """Make calls on which the first back end hangs, beside others that go on meanwhile.

        Return their statuses and how long the longest took.
        """
        statuses: list[int] = []
        longest = 0.0

        async def call() -> None:
            nonlocal longest
            began = time.monotonic()
            answer = await raw_call(address, get("/hang"))
            statuses.append(answer.status)
            longest = max(longest, time.monotonic() - began)

        async with asyncio.TaskGroup() as tasks:
            calls = [tasks.create_task(call()) for _ in range(HANGING)]
            while not all(task.done() for task in calls):
                await asyncio.gather(*(raw_call(self.other, get()) for _ in range(3)))
        return statuses, longest


class HangingTest(HangingTestCase):
    parts: ClassVar[dict[str, Any]] = {"policies": Policies(hanging=HungRequestPolicy.LEFT)}

    async def test_what_may_be_repeated_goes_elsewhere_long_before_its_deadline(self) -> None:
        address = await self.begin()
        statuses, longest = await self.call_hanging(address)
        self.assertGreater(self.hanging.hung, 0)
        self.assertEqual(statuses, [200] * len(statuses))
        self.assertLess(longest, PATIENCE / 2)

    async def test_its_work_ends_and_its_connection_is_not_used_again(self) -> None:
        address = await self.begin()
        await self.call_hanging(address)
        await asyncio.sleep(0.05)
        self.assertEqual(self.hanging.closed, self.hanging.hung)
        self.assertEqual(self.hanging.after_hanging, 0)

    async def test_what_may_not_be_repeated_stays_until_its_deadline(self) -> None:
        address = await self.begin(repeatable=False)
        statuses, longest = await self.call_hanging(address)
        self.assertGreater(self.hanging.hung, 0)
        self.assertEqual(statuses.count(504), self.hanging.hung)
        self.assertGreater(longest, PATIENCE - 0.1)

    async def test_the_back_end_is_not_ejected_for_it(self) -> None:
        address = await self.begin()
        await self.call_hanging(address)
        before = len(self.heads)
        for _ in range(20):
            await asyncio.gather(*(raw_call(address, get()) for _ in range(4)))
        served = [head for head in self.heads[before:] if header(head, "x-wanted") == "b0"]
        self.assertGreater(len(served), 10)


def hangs_when_late(_watch: HangDetector, ticket: AdmissionTicket, now: float) -> bool:
    return now - ticket.started_at > HELD_UP_SECONDS


class HeldUpTest(HangingTestCase):
    """The node itself had no turn while its back end answered."""

    parts: ClassVar[dict[str, Any]] = {"policies": Policies(hanging=HungRequestPolicy.LEFT)}

    async def answer_and_hold_up(self, reader: Any, writer: Any, head: str) -> bool:
        await asyncio.sleep(SHORT_SECONDS)
        await answer_well(reader, writer, head)
        if "/held" in head:
            time.sleep(HELD_UP_SECONDS)
        return True

    async def test_what_was_answered_meanwhile_is_not_taken_to_hang(self) -> None:
        """What a gateway did: it told the sender to give up a run that was answered.

        Cause: after a long round the look at what runs came before the answer was read.
        """
        address = await self.start_fleet(
            *[self.answer_and_hold_up] * 2, slots=8, repeatable=True, retry_limit=1, retry_budget=1
        )
        for _ in range(LEARNT // 10):
            await asyncio.gather(*(raw_call(address, get()) for _ in range(2)))
        before = len(self.heads)
        asyncio.get_running_loop().slow_callback_duration = 2 * HELD_UP_SECONDS
        with (
            mock.patch.object(GatewayForwarding, "_report_hang") as doubt,
            mock.patch.object(HangDetector, "should_abandon", hangs_when_late),
        ):
            for _ in range(2):
                self.assertEqual((await raw_call(address, get("/held"))).status, 200)
        self.assertEqual(doubt.call_count, 0)
        self.assertEqual(len(self.heads) - before, 2)


class AwaitedTest(HangingTestCase):
    """What nodes do whose settings say nothing of it."""

    async def test_all_is_awaited(self) -> None:
        address = await self.begin()
        statuses, _ = await self.call_hanging(address)
        self.assertGreater(self.hanging.hung, 0)
        self.assertEqual(statuses.count(504), self.hanging.hung)
