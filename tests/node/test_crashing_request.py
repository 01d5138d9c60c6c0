"""Real node processes, each with a local back end that one request of one caller crashes."""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator
from typing import Any

import anyio

from tests.node.crashing_backend import CrashingBackend
from tests.node.gateway_fleet import gateway_fleet
from tests.node.processes import NodeProcess
from tests.node.proxy.harness import Answer, ProxyTestCase, raw_call, request_bytes

NODES = ("a", "b", "c")
SLOTS = 6
TREE: dict[str, Any] = {
    "services": {"archive": {}},
    "routes": {
        "read": {
            "service": "archive",
            "path_prefix": "/",
            "repeatable": True,
            "retry_limit": 1,
            "timeout": "2s",
        },
        "write": {"service": "archive", "path_prefix": "/write", "timeout": "2s"},
    },
}
LONG_BODY = b"b" * 100_000
"""Longer than the part of a body that is kept to distinguish requests."""
REPEAT_INTERVAL_SECONDS = 0.2
ORDINARY_INTERVAL_SECONDS = 0.05
TEST_SECONDS = 10.0
CRASHES_BEFORE_REFUSAL = 3
ADDITIONAL_CRASHES = 3
"""Crashes after the third, by attempts already in flight."""


class CrashingRequestTest(ProxyTestCase):
    async def asyncSetUp(self) -> None:
        self.backends = {name: CrashingBackend() for name in NODES}
        for backend in self.backends.values():
            await backend.start()
            self.addAsyncCleanup(backend.stop)

    @property
    def crashes(self) -> list[float]:
        return sorted(at for backend in self.backends.values() for at in backend.crashed_at)

    @contextlib.asynccontextmanager
    async def fleet(self, with_gateways: bool = True) -> AsyncIterator[list[NodeProcess]]:
        addresses = {name: backend.address for name, backend in self.backends.items()}
        async with gateway_fleet(TREE, addresses, SLOTS, with_gateways=with_gateways) as fleet:
            yield list(fleet.nodes.values())

    async def call(self, node: NodeProcess, path: str, body: bytes = b"") -> Answer:
        method = "POST" if body else "GET"
        return await raw_call(node.lines[0]["proxy"], request_bytes(method, path, body))

    async def repeat(
        self, nodes: list[NodeProcess], until: float, path: str = "/read/crash", body: bytes = b""
    ) -> list[Answer]:
        """Send the crashing request repeatedly, to one node after another."""
        responses: list[Answer] = []
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            responses.append(await self.call(nodes[len(responses) % len(nodes)], path, body))
            await anyio.sleep(REPEAT_INTERVAL_SECONDS)
        return responses

    async def test_a_request_that_crashes_back_ends_is_eventually_refused(self) -> None:
        async with self.fleet() as nodes:
            until = asyncio.get_running_loop().time() + TEST_SECONDS
            responses = await self.repeat(nodes, until)
        self.assertLessEqual(len(self.crashes), CRASHES_BEFORE_REFUSAL + ADDITIONAL_CRASHES)
        self.assertEqual(
            (responses[-1].status, responses[-1].headers["x-outcome"]), (503, "not-run")
        )

    async def test_requests_to_the_same_path_are_distinguished_by_their_bodies(self) -> None:
        async with self.fleet() as nodes:
            until = asyncio.get_running_loop().time() + TEST_SECONDS / 2
            responses = await self.repeat(nodes, until, "/write/crash", LONG_BODY)
            self.assertLessEqual(len(self.crashes), CRASHES_BEFORE_REFUSAL)
            self.assertEqual(responses[0].status, 502)
            self.assertEqual(responses[-1].headers["x-outcome"], "not-run")
            self.assertEqual(json.loads(responses[-1].body)["type"], "request-ends-back-ends")
            crashes_before = len(self.crashes)
            await self.call(nodes[0], "/write/crash", LONG_BODY.upper())
            self.assertEqual(len(self.crashes), crashes_before + 1)

    async def test_a_crashing_request_is_refused_without_gateways(self) -> None:
        async with self.fleet(with_gateways=False) as nodes:
            until = asyncio.get_running_loop().time() + TEST_SECONDS
            responses = await self.repeat(nodes, until)
        self.assertLessEqual(len(self.crashes), CRASHES_BEFORE_REFUSAL + ADDITIONAL_CRASHES)
        self.assertEqual(
            (responses[-1].status, responses[-1].headers["x-outcome"]), (503, "not-run")
        )

    async def test_other_requests_are_served_in_the_meantime(self) -> None:
        async with self.fleet() as nodes:
            until = asyncio.get_running_loop().time() + TEST_SECONDS
            repeating = asyncio.ensure_future(self.repeat(nodes, until))
            others = []
            sent = 0
            while asyncio.get_running_loop().time() < until:
                sent += 1
                ordinary = self.call(nodes[sent % len(nodes)], f"/read/{sent}")
                others.append(asyncio.ensure_future(ordinary))
                await anyio.sleep(ORDINARY_INTERVAL_SECONDS)
            responses = await asyncio.gather(*others)
            await repeating
        served = sum(response.status == 200 for response in responses)
        self.assertGreaterEqual(served / len(responses), 0.85)
