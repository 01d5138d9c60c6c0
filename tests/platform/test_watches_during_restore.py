"""Both watches are under way over real connections when the store comes back, in either order."""

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
READS = 3
"""The watch that hears of it, the call on a new connection, the list."""


class WatchesAtReturnTest(ProxyTestCase):
    async def begin(self) -> None:
        self.store = MetadataStore(0)
        self.store.put("op/config", configuration(12))
        self.store.put("servers/i-1", entry(1))
        self.reader = StoreReader(await self.serve(self.store.application), 8146, 7380)
        self.addAsyncCleanup(self.reader.close)
        for kind in KINDS:
            await self.read(kind)

    async def read(self, kind: DocumentKind, wait: float = 0.0) -> Any:
        return await self.reader.read(ReadDocument(kind, 0, wait))

    async def watch_over_return(self, first: DocumentKind) -> dict[DocumentKind, Any]:
        """Let both wait, ``first`` on the connection that is older; return their answers."""
        answers: dict[DocumentKind, Any] = {}

        async def wait(kind: DocumentKind) -> None:
            answers[kind] = await self.read(kind, 20.0)

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
        return answers

    async def test_no_answer_over_the_return_is_used_and_all_is_read_anew(self) -> None:
        for first in KINDS:
            with self.subTest(first=first):
                await self.begin()
                for answer in (await self.watch_over_return(first)).values():
                    assert isinstance(answer, DocumentReadFailed), answer
                    self.assertIn("source-era", answer.reason)
                calls, found = self.store.calls, {}
                for _ in range(READS - 1):
                    for kind in KINDS:
                        answer = await self.read(kind)
                        if isinstance(answer, DocumentRead):
                            found[kind] = answer
                self.assertLessEqual(self.store.calls - calls, len(KINDS) * (READS - 1))
                listed = found[DocumentKind.MACHINE_LIST].document
                self.assertEqual(
                    sorted(name for name in listed if name.startswith("i-")),
                    ["i-1", "i-2", "i-3", "i-4"],
                )
                self.assertNotIn("x", listed)
                tree = found[DocumentKind.CONFIGURATION]
                self.assertEqual(tree.number, 13 * 10**9)

    async def test_the_rise_is_a_finding_only_where_one_connection_told_both(self) -> None:
        await self.begin()
        answers = await self.watch_over_return(KINDS[0])
        problems = {item.problem for answer in answers.values() for item in answer.answer_findings}
        self.assertEqual(problems, {ItemProblem.ERA})
        await self.read(KINDS[0])
        for kind in KINDS:
            self.assertEqual((await self.read(kind)).answer_findings, ())
