"""Real nodes using a store that is restored from a copy some seconds old.

After the copy was taken, one back end joined, another left, and an edit was acknowledged. The
restore must not undo this for callers: the back end that left gets no requests, the new one keeps
serving, and the edit stays in force. A node that starts after the restore is informed by its peers.
"""

import asyncio
import contextlib
from typing import Any

import anyio

from pewtertack.core.eras import TREE_NUMBERS_PER_VERSION
from pewtertack.lab.fleet.ports import PortAllocator
from pewtertack.lab.metadata_store.application import MetadataStore
from tests.node.processes import TIMEOUT_SECONDS, StoreNodeProcess, get, get_until
from tests.node.proxy.harness import ProxyTestCase
from tests.platform.test_documents import CONFIGURATION, ENTRY, encoded

HOSTS = ("127.0.0.21", "127.0.0.22", "127.0.0.23", "127.0.0.24")
CALLER_HEADERS = {"host": "desk.example"}
DOWNTIME_SECONDS = 0.7
HOLD_AFTER_RETURN = "20s"
"""Longer than the late node takes to start on a busy machine."""
EDIT_SECONDS = 2.0
"""Seconds within which an edit must be in force everywhere."""


def configuration(version: int) -> bytes:
    return encoded({**CONFIGURATION, "Version": f"r{version}"})


class RestoredStoreTest(ProxyTestCase):
    """Nodes with a local back end each; callers use the first node, the last one starts late."""

    async def asyncSetUp(self) -> None:
        self.store = MetadataStore(0)
        self.ran: list[str] = []
        self.store_address = await self.serve(self.store.application)
        self.addresses = [await self.serve(self.backend(host), host) for host in HOSTS]
        self.ports = [PortAllocator().allocate(HOSTS[0]).port for _ in range(2)]
        self.store.put("op/config", configuration(12))
        for number in (0, 1):
            self.put(number)

    def backend(self, host: str) -> Any:
        async def application(scope: Any, receive: Any, send: Any) -> None:
            if scope["type"] != "http":
                return
            while (await receive()).get("more_body"):
                pass
            if scope["path"].startswith("/holds/"):
                self.ran.append(host)
            await send({"type": "http.response.start", "status": 200, "headers": []})
            await send({"type": "http.response.body", "body": b"done"})

        return application

    def put(self, number: int) -> None:
        fields = {"Address": self.addresses[number], "born": 1000 + number}
        self.store.put(f"servers/i-{number}", encoded({**ENTRY, **fields}))

    def settings(self, number: int, seed: int) -> str:
        host, (peer, gateway) = HOSTS[number], self.ports
        url = f"http://{self.store_address}"
        return f"""
            node = {{name = "{host}", zone = "garia", region = "r"}}
            source = {{url = "{url}", durable = true, hold_after_return = "{HOLD_AFTER_RETURN}"}}
            machines = {{url = "{url}"}}
            peers = {{key = "{"ab" * 16}", seeds = ["{HOSTS[seed]}:{peer}"]}}
            profile = {{name = "leased"}}
            backend = {{address = "{self.addresses[number]}", service = "desk"}}
            [listen]
            proxy = "{host}:0"
            admin = "{host}:0"
            peer = "{host}:{peer}"
            gateway = "{host}:{gateway}"
        """

    async def wait_for_status(self, nodes: list[StoreNodeProcess], **expected: Any) -> None:
        def holds(page: Any) -> bool:
            actual = {**page, "version": page["in_force"]["number"] // TREE_NUMBERS_PER_VERSION}
            return all(actual[key] == value for key, value in expected.items())

        for node in nodes:
            await get_until(node.lines[0]["admin"], "/status", holds)

    async def call(self, node: StoreNodeProcess, seconds: float) -> list[int]:
        """Return the statuses of requests that a caller sends for ``seconds``."""
        statuses = []
        with anyio.move_on_after(seconds):
            while True:
                status, _, _ = await get(node.lines[0]["proxy"], "/holds/1", CALLER_HEADERS)
                statuses.append(status)
                await anyio.sleep(0.02)
        return statuses

    async def test_callers_do_not_notice_the_restore(self) -> None:
        async with contextlib.AsyncExitStack() as stack:
            nodes = []
            for number in range(3):
                process = StoreNodeProcess(self.settings(number, 0))
                nodes.append(await stack.enter_async_context(process))
            for node in nodes:
                await node.wait_event("NODE_SERVING")
            copy = self.store.snapshot()
            self.put(2)
            self.store.remove("servers/i-0")
            self.store.put("op/config", configuration(13))
            await self.wait_for_status(nodes, version=13)
            await self.call(nodes[0], 0.5)
            self.store.make_unavailable()
            await anyio.sleep(DOWNTIME_SECONDS)
            self.ran.clear()
            self.store.restore_from(copy)
            late = StoreNodeProcess(self.settings(3, 0))
            nodes.append(await stack.enter_async_context(late))
            statuses = await self.call(nodes[0], 2.0)
            self.assertEqual(set(statuses), {200})
            self.assertEqual(set(self.ran), {HOSTS[1], HOSTS[2]})
            await late.wait_event("NODE_SERVING")
            self.ran.clear()
            self.assertEqual(set(await self.call(late, 1.0)), {200})
            self.assertEqual(set(self.ran), {HOSTS[1], HOSTS[2]})
            await self.wait_for_status(nodes, version=13, source_era=1)
            event = await asyncio.wait_for(nodes[0].wait_event("SOURCE_RETURNED"), TIMEOUT_SECONDS)
            actual = {key: event[key] for key in ("old", "new", "lost", "kept", "came_back")}
            expected = {"old": 0, "new": 1, "lost": 1, "kept": 1, "came_back": 1}
            self.assertEqual(actual, expected)
            self.put(2)
            self.store.remove("servers/i-0")
            self.store.put("op/config", configuration(14))
            with anyio.fail_after(EDIT_SECONDS):
                await self.wait_for_status(nodes, version=14)
