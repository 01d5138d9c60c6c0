"""Both watches are in flight over real connections, in either order, during a restore."""

from typing import Any

import anyio

from pewtertack.core.effects import ReadDocument
from pewtertack.core.inputs import DocumentRead, DocumentReadFailed
from pewtertack.core.items import ItemProblem
from pewtertack.lab.metadata_store.application import MetadataStore
from pewtertack.platform.store import StoreReader
from pewtertack.wire.messages import DocumentKind
from tests.node.proxy.harness import ProxyTestCase
from tests.platform.restored_fleet import configuration, entry

KINDS = (DocumentKind.CONFIGURATION, DocumentKind.MACHINE_LIST)
MAX_READS = 3
"""The watch that sees the new era, the request on a new connection, and the list."""


class WatchesDuringRestoreTest(ProxyTestCase):
    async def start_reader(self) -> None:
        self.store = MetadataStore(0)
        self.store.put("op/config", configuration(12))
        self.store.put("servers/i-1", entry(1))
        self.reader = StoreReader(await self.serve(self.store.application), 8146, 7380)
        self.addAsyncCleanup(self.reader.close)
        for kind in KINDS:
            await self.read(kind)

    async def read(self, kind: DocumentKind, wait: float = 0.0) -> Any:
        return await self.reader.read(ReadDocument(kind, 0, wait))

    async def watch_during_restore(self, first: DocumentKind) -> dict[DocumentKind, Any]:
        """Restore the store during two watches, ``first`` on the older connection."""
        results: dict[DocumentKind, Any] = {}

        async def wait(kind: DocumentKind) -> None:
            results[kind] = await self.read(kind, 20.0)

        copy, calls = self.store.snapshot(), self.store.calls
        async with anyio.create_task_group() as tasks:
            for number, kind in enumerate(sorted(KINDS, key=lambda kind: kind is not first), 1):
                tasks.start_soon(wait, kind)
                while self.store.calls < calls + number:
                    await anyio.sleep(0.001)
            self.store.put("servers/x", entry(9))
            self.store.restore_from(copy)
            for number in (2, 3, 4):
                self.store.put(f"servers/i-{number}", entry(number))
            self.store.put("op/config", configuration(13))
        return results

    async def test_responses_across_the_restore_are_discarded_and_everything_is_read_again(
        self,
    ) -> None:
        for first in KINDS:
            with self.subTest(first=first):
                await self.start_reader()
                for answer in (await self.watch_during_restore(first)).values():
                    assert isinstance(answer, DocumentReadFailed), answer
                    self.assertIn("source-era", answer.reason)
                calls, documents = self.store.calls, {}
                for _ in range(MAX_READS - 1):
                    for kind in KINDS:
                        answer = await self.read(kind)
                        if isinstance(answer, DocumentRead):
                            documents[kind] = answer
                self.assertLessEqual(self.store.calls - calls, len(KINDS) * (MAX_READS - 1))
                machines = documents[DocumentKind.MACHINE_LIST].document
                self.assertEqual(
                    sorted(name for name in machines if name.startswith("i-")),
                    ["i-1", "i-2", "i-3", "i-4"],
                )
                self.assertNotIn("x", machines)
                tree = documents[DocumentKind.CONFIGURATION]
                self.assertEqual(tree.number, 13 * 10**9)

    async def test_rise_is_a_finding_only_on_a_connection_that_returned_both_eras(self) -> None:
        await self.start_reader()
        results = await self.watch_during_restore(KINDS[0])
        problems = {item.problem for answer in results.values() for item in answer.answer_findings}
        self.assertEqual(problems, {ItemProblem.ERA})
        await self.read(KINDS[0])
        for kind in KINDS:
            self.assertEqual((await self.read(kind)).answer_findings, ())
