"""The store client against the stand-in, with every trouble that the pages name."""

import json
from typing import Any

import anyio

from pewtertack.core.effects import ReadDocument
from pewtertack.core.inputs import DocumentRead, DocumentReadFailed, DocumentUnchanged
from pewtertack.lab.metadata_store.application import MetadataStore, StoreFaults
from pewtertack.platform.store import StoreReader
from pewtertack.wire.messages import DocumentKind
from tests.node.proxy.harness import ProxyTestCase
from tests.platform.test_documents import CONFIGURATION, ENTRY, encoded

CONFIG = DocumentKind.CONFIGURATION
MACHINES = DocumentKind.MACHINE_LIST


class StoreReaderTest(ProxyTestCase):
    async def asyncSetUp(self) -> None:
        self.store = MetadataStore()
        self.store.put("op/config", encoded(CONFIGURATION))
        self.store.put("servers/i-1", encoded(ENTRY))
        self.reader = StoreReader(await self.serve(self.store.application), 8146, 7380)
        self.addAsyncCleanup(self.reader.close)

    async def read(self, kind: DocumentKind, wait: float = 0.0) -> Any:
        return await self.reader.read(ReadDocument(kind, 0, wait))

    async def test_the_first_read_lists_and_the_next_watches(self) -> None:
        first = await self.read(CONFIG)
        self.assertEqual((type(first), first.number), (DocumentRead, 12))
        self.assertIsInstance(await self.read(CONFIG), DocumentUnchanged)
        self.store.put("op/config", encoded({**CONFIGURATION, "Version": "r15"}))
        self.assertEqual((await self.read(CONFIG, 5.0)).number, 15)

    async def test_a_change_answers_a_waiting_watch(self) -> None:
        await self.read(MACHINES)
        found: list[Any] = []

        async def wait_for_change() -> None:
            found.append(await self.read(MACHINES, 20.0))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(wait_for_change)
            while self.store.calls < 2:
                await anyio.sleep(0.001)
            self.store.put("servers/i-1", encoded({**ENTRY, "State": "draining"}))
        self.assertEqual(found[0].document["i-1"]["state"], "leaving")

    async def test_a_removed_entry_leaves_the_list(self) -> None:
        await self.read(MACHINES)
        self.store.put("servers/i-2", encoded({**ENTRY, "Address": "10.1.0.9:8080"}))
        self.store.remove("servers/i-1")
        changed = await self.read(MACHINES)
        self.assertEqual(sorted(changed.document), ["10.1.0.9", "i-2"])

    async def test_many_entries_are_listed_page_by_page(self) -> None:
        for index in range(120):
            entry = {**ENTRY, "Address": f"10.1.1.{index}:8080"}
            self.store.put(f"servers/x-{index}", encoded(entry))
        listed = await self.read(MACHINES)
        self.assertEqual(len([name for name in listed.document if name[0] in "ix"]), 121)

    async def test_forgotten_history_leads_to_a_new_list_with_what_was_missed(self) -> None:
        await self.read(MACHINES)
        self.store.remove("servers/i-1")
        self.store.put("servers/i-2", encoded({**ENTRY, "Address": "10.1.0.9:8080"}))
        self.store.forget_history()
        self.assertIsInstance(await self.read(MACHINES), DocumentReadFailed)
        listed = await self.read(MACHINES)
        self.assertEqual(sorted(listed.document), ["10.1.0.9", "i-2"])

    async def test_refusals_are_typed_failures_and_lose_no_change(self) -> None:
        await self.read(CONFIG)
        for status in (429, 503):
            self.store.faults = StoreFaults(status=status)
            failed = await self.read(CONFIG)
            self.assertIsInstance(failed, DocumentReadFailed)
            self.assertIn("store-busy", failed.reason)
        self.store.put("op/config", encoded({**CONFIGURATION, "Version": "r20"}))
        self.store.faults = StoreFaults()
        self.assertEqual((await self.read(CONFIG)).number, 20)

    async def test_a_lost_answer_ends_in_time_and_its_connection_is_not_used_again(self) -> None:
        await self.read(CONFIG)
        self.store.faults = StoreFaults(lost_answers=1)
        with anyio.fail_after(10.0):
            failed = await self.read(CONFIG)
        self.assertIn("store-unreachable", failed.reason)
        self.store.put("op/config", encoded({**CONFIGURATION, "Version": "r20"}))
        self.assertEqual((await self.read(CONFIG)).number, 20)

    async def test_a_closed_store_is_a_typed_failure(self) -> None:
        reader = StoreReader("127.0.0.1:1", 8146, 7380)
        self.addAsyncCleanup(reader.close)
        failed = await reader.read(ReadDocument(CONFIG, 0, 0.0))
        assert isinstance(failed, DocumentReadFailed)
        self.assertIn("store-unreachable", failed.reason)

    async def test_a_wrong_item_changes_nothing_until_it_is_mended(self) -> None:
        await self.read(CONFIG)
        self.store.put("op/config", json.dumps(CONFIGURATION).encode()[:-9])
        failed = await self.read(CONFIG)
        self.assertIn("platform-item", failed.reason)
        self.store.put("op/config", encoded({**CONFIGURATION, "Version": "r21"}))
        self.assertEqual((await self.read(CONFIG)).number, 21)
