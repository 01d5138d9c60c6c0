"""What the lab's era reader returns when both services are restored from older copies."""

import unittest

import anyio
import anyio.abc

from pewtertack.core.effects import ReadDocument
from pewtertack.core.eras import list_number
from pewtertack.core.inputs import DocumentRead, DocumentReadFailed, DocumentUnchanged
from pewtertack.lab.machines.service import MachineListService
from pewtertack.lab.source.era_reader import EraReader
from pewtertack.lab.source.service import ConfigurationSource
from pewtertack.node.platform import PlatformLimits
from pewtertack.settings import Address, Url
from pewtertack.wire.messages import DocumentKind

ANY = Address("127.0.0.1", 0)
TREE, MACHINE_LIST = DocumentKind.CONFIGURATION, DocumentKind.MACHINE_LIST
MACHINE = {"role": "backend", "zone": "yaba", "address": "127.0.0.1:9", "service": "logbook"}
MAX_READS = 3
"""A higher era on an existing connection is accepted only after two more reads."""


class EraReaderTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.source = ConfigurationSource({"a": 1}, ANY, ANY)
        self.machines = MachineListService({"m1": MACHINE}, ANY, ANY)

    async def serve(self, tasks: anyio.abc.TaskGroup) -> None:
        urls = []
        for service in (self.source.service, self.machines.service):
            await service.open(tasks)
            urls.append(Url.parse(f"http://{service.readers.address}"))
        self.reader = EraReader(urls[0], urls[1], PlatformLimits(5.0, 100_000))

    async def close(self) -> None:
        await self.reader.close()
        for service in (self.source.service, self.machines.service):
            service.readers.close()
            service.control.close()

    async def read(
        self, kind: DocumentKind, after: int = 0, era: int = 0
    ) -> DocumentRead | DocumentUnchanged | DocumentReadFailed:
        return await self.reader.read(ReadDocument(kind, after, 0.0, era=era))

    async def read_successfully(
        self, kind: DocumentKind, after: int = 0
    ) -> DocumentRead | DocumentUnchanged:
        for _ in range(MAX_READS):
            result = await self.read(kind, after)
            if not isinstance(result, DocumentReadFailed):
                return result
        raise AssertionError(result)

    def restore(self) -> None:
        for store in (self.source._store, self.machines._store):
            store.restore(0.0)

    async def test_restored_list_is_read_again_and_older_tree_is_unchanged(self) -> None:
        async with anyio.create_task_group() as tasks:
            await self.serve(tasks)
            self.source._store.put({"a": 2}, 1.0)
            self.machines._store.put({"m1": MACHINE, "m2": MACHINE}, 1.0)
            self.assertEqual(await self.read(TREE), DocumentRead(TREE, 2, {"a": 2}))
            listed = await self.read(MACHINE_LIST)
            assert isinstance(listed, DocumentRead)
            self.assertEqual(listed.number, 2)
            self.restore()
            self.assertEqual(await self.read_successfully(TREE, 2), DocumentUnchanged(TREE))
            reread = await self.read_successfully(MACHINE_LIST, 2)
            assert isinstance(reread, DocumentRead)
            self.assertEqual(reread.number, list_number(1, 1))
            self.assertEqual(
                await self.read(MACHINE_LIST, reread.number), DocumentUnchanged(MACHINE_LIST)
            )
            self.source._store.put({"a": 2}, 1.0)
            self.source._store.put({"a": 3}, 1.0)
            self.assertEqual(await self.read(TREE, 2, 1), DocumentRead(TREE, 3, {"a": 3}))
            await self.close()

    async def test_service_of_an_older_era_is_ignored(self) -> None:
        async with anyio.create_task_group() as tasks:
            await self.serve(tasks)
            await self.read(TREE)
            result = await self.read(TREE, 1, era=1)
            assert isinstance(result, DocumentReadFailed)
            self.assertIn("source-era", result.reason)
            self.machines._store.restore(0.0)
            await self.read_successfully(MACHINE_LIST)
            result = await self.read(TREE, 1)
            assert isinstance(result, DocumentReadFailed)
            self.assertEqual([item.detail for item in result.answer_findings], ["fell from 1 to 0"])
            await self.close()
