"""Memory of a node process whose back end, peer or store answers without end."""

import contextlib
import time
from typing import Any

import anyio
import httpcore

from pewtertack.lab.metadata_store.application import MetadataStore
from tests.node.endless_server import (
    CALLER_HEADERS,
    MEMORY_LIMIT_MB,
    OWN_HOST,
    PEER_HOST,
    EndlessAnswersTestCase,
    EndlessServer,
    peak_memory_mb,
)
from tests.node.http.test_overhead import ENDLESS
from tests.node.processes import StoreNodeProcess, get
from tests.platform.test_documents import CONFIGURATION, ENTRY, encoded

CALLS = 3
STORE_SECONDS = 3.0
STORE_ANSWERS_MIN = 2


class EndlessAnswersMemoryTest(EndlessAnswersTestCase):
    """Guards against an answer that takes a node over its memory."""

    async def check_calls(self, server: EndlessServer, machine: str, backend: str) -> None:
        """Call a node whose only back end, at ``machine``, answers without end in every way."""
        store = MetadataStore()
        store.put("op/config", encoded(CONFIGURATION))
        entry: dict[str, Any] = {**ENTRY, "Address": machine}
        store.put("servers/i-0", encoded(entry))
        settings = self.settings(await self.serve(store.application), backend)
        for name, (start, repeated) in ENDLESS.items():
            with self.subTest(name):
                server.start, server.repeated, server.answers = start, repeated, 0
                async with StoreNodeProcess(settings) as node:
                    await node.wait_event("NODE_SERVING")
                    for _ in range(CALLS):
                        with contextlib.suppress(httpcore.RemoteProtocolError):  # a cut answer
                            await get(node.lines[0]["proxy"], "/holds/1", CALLER_HEADERS)
                    self.assertGreater(server.answers, 0)
                    self.assertLess(peak_memory_mb(node.pid), MEMORY_LIMIT_MB)

    async def test_answers_of_a_back_end(self) -> None:
        server = EndlessServer()
        address = await server.listen(self, OWN_HOST)
        await self.check_calls(server, address, address)

    async def test_answers_of_a_peer(self) -> None:
        server = EndlessServer()
        await server.listen(self, PEER_HOST, self.gateway_port)
        await self.check_calls(server, f"{PEER_HOST}:{self.peer_port}", f"{OWN_HOST}:1")

    async def test_answers_of_the_store(self) -> None:
        for name, (start, repeated) in ENDLESS.items():
            with self.subTest(name):
                store = EndlessServer()
                store.start, store.repeated = start, repeated
                address = await store.listen(self, OWN_HOST)
                async with StoreNodeProcess(self.settings(address, f"{OWN_HOST}:1")) as node:
                    started_at = time.monotonic()
                    while time.monotonic() < started_at + STORE_SECONDS:
                        await anyio.sleep(0.1)
                    self.assertGreaterEqual(store.answers, STORE_ANSWERS_MIN)
                    self.assertLess(peak_memory_mb(node.pid), MEMORY_LIMIT_MB)
