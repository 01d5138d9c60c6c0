"""Real nodes: each policy has its effect when the settings choose it, and not otherwise."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Any

from tests.node.gateway_fleet import GatewayFleet, gateway_fleet
from tests.node.proxy.harness import (
    Answer,
    ProxyTestCase,
    RawBackend,
    answer_bytes,
    raw_call,
    request_bytes,
    request_id_of,
)

SLOTS = 4
WARM_UP_ROUNDS = 40
WARM_UP_CALLS = 10
"""Enough calls for the gateway to know the response times."""


def tree(**route_settings: Any) -> dict[str, Any]:
    route = {"service": "logbook", "path_prefix": "/", "repeatable": True, **route_settings}
    return {"services": {"logbook": {}}, "routes": {"read": route}}


def chosen(policies: str) -> str:
    """Return the table of a node's settings with these policies."""
    return f"\n        policies = {{{policies}}}\n"


class Backend:
    """Answers after the time that the request's path gives in milliseconds, ``/hang`` never."""

    def __init__(self) -> None:
        self.shedding = False
        self.hangs = False
        self.calls = 0
        self.hung_calls = 0

    async def answer(self, reader: Any, writer: Any, head: str) -> bool:
        self.calls += 1
        path = head.split(" ")[1].strip("/")
        headers = [b"x-request-id: " + request_id_of(head)]
        if path == "hang" and self.hangs:
            self.hung_calls += 1
            await reader.read(1)
            return False
        if self.shedding:
            headers.append(b"x-outcome: not-run")
            writer.write(answer_bytes(b"", *headers, status=b"503 Service Unavailable"))
            return True
        await asyncio.sleep(int(path) / 1000 if path.isdigit() else 0.0)
        writer.write(answer_bytes(b"ok", *headers))
        return True


class PoliciesTestCase(ProxyTestCase):
    fleet: GatewayFleet

    @contextlib.asynccontextmanager
    async def running(
        self, settings: str, count: int = 1, slots: int = SLOTS, **route_settings: Any
    ) -> AsyncIterator[list[Backend]]:
        """Run a node for each of ``count`` back ends of one service."""
        backends = [Backend() for _ in range(count)]
        addresses = {
            name: await RawBackend(backend.answer).start(self)
            for name, backend in zip("ab", backends, strict=False)
        }
        async with gateway_fleet(tree(**route_settings), addresses, slots, settings) as self.fleet:
            yield backends

    async def call(self, path: str, deadline_seconds: float = 8.0) -> Answer:
        """Call the first node."""
        header = f"x-deadline-ms: {deadline_seconds * 1000:.0f}"
        return await raw_call(self.fleet.proxy("a"), request_bytes(path=path, headers=(header,)))

    async def call_many(self, path: str, count: int) -> None:
        await asyncio.gather(*(self.call(path) for _ in range(count)))


class HangingTest(PoliciesTestCase):
    """One of two back ends hangs on requests that the other would answer."""

    async def call_hanging(self, settings: str) -> tuple[set[int], int]:
        """Return the statuses of some calls, and on how many of them a back end hung."""
        retries: dict[str, Any] = {"retry_limit": 1, "retry_budget": 1.0}
        async with self.running(settings, count=2, **retries) as (hanging, _):
            hanging.hangs = True
            for _ in range(WARM_UP_ROUNDS):
                await self.call_many("/20", SLOTS)
            async with asyncio.TaskGroup() as tasks:
                calls = [tasks.create_task(self.call("/hang", 3.0)) for _ in range(2 * SLOTS)]
                while not all(task.done() for task in calls):
                    await self.call_many("/20", 2)
            return {task.result().status for task in calls}, hanging.hung_calls

    async def test_a_hung_request_is_sent_to_another_back_end(self) -> None:
        statuses, hung_calls = await self.call_hanging(chosen('hanging = "left"'))
        self.assertGreater(hung_calls, 0)
        self.assertEqual(statuses, {200})

    async def test_a_hung_request_is_awaited_by_default(self) -> None:
        statuses, hung_calls = await self.call_hanging("")
        self.assertGreater(hung_calls, 0)
        self.assertIn(504, statuses)


class RetryBudgetTest(PoliciesTestCase):
    """Both back ends shed all requests."""

    CALLS = 10

    async def count_attempts(self, settings: str) -> int:
        """Return the attempts that ``CALLS`` calls cause."""
        async with self.running(settings, count=2, retry_limit=1) as backends:
            for backend in backends:
                backend.shedding = True
            for _ in range(self.CALLS):
                await self.call("/0", 1.0)
            return sum(backend.calls for backend in backends)

    async def test_retries_are_limited_to_a_share_of_the_window(self) -> None:
        settings = chosen('retry_budget = "window"') + "        limits = {retry_ratio = 0.05}\n"
        self.assertEqual(await self.count_attempts(settings), self.CALLS)

    async def test_a_burst_of_retries_is_allowed_by_default(self) -> None:
        self.assertGreater(await self.count_attempts(""), self.CALLS)


class ReturningTest(PoliciesTestCase):
    """A caller with less than four times its objective left would wait beyond the objective."""

    async def call_while_occupied(self, settings: str) -> Answer:
        async with self.running(settings, slots=1, target_latency="350ms"):
            for _ in range(WARM_UP_CALLS):
                await self.call("/400")
                await asyncio.sleep(0.4)  # half of the capacity is free
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self.call("/400"))
                await asyncio.sleep(0.05)
                return await self.call("/400", 1.3)

    async def test_the_caller_is_told_to_retry(self) -> None:
        answer = await self.call_while_occupied(chosen('returning = "two"'))
        self.assertEqual((answer.status, answer.headers["x-outcome"]), (503, "not-run"))
        self.assertIn("retry-after", answer.headers)

    async def test_the_request_waits_by_default(self) -> None:
        self.assertEqual((await self.call_while_occupied("")).status, 200)


class MarginTest(PoliciesTestCase):
    """A slot comes free in time for the mean response time, though not for its whole spread."""

    async def call_while_occupied(self, settings: str) -> Answer:
        async with self.running(settings, target_latency="800ms"):
            for _ in range(WARM_UP_CALLS):
                await self.call("/50")
                await self.call("/650")
            async with asyncio.TaskGroup() as tasks:
                for _ in range(SLOTS):
                    tasks.create_task(self.call("/650"))
                await asyncio.sleep(0.55)
                return await self.call("/50")

    async def test_the_request_waits(self) -> None:
        answer = await self.call_while_occupied(chosen('margin = "half"'))
        self.assertEqual(answer.status, 200)

    async def test_the_request_is_refused_by_default(self) -> None:
        answer = await self.call_while_occupied("")
        self.assertEqual((answer.status, answer.headers["x-outcome"]), (503, "not-run"))
