"""The lab's reader of the platform's eras: what it hands on over returns of both services."""

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
TREE, LIST = DocumentKind.CONFIGURATION, DocumentKind.MACHINE_LIST
MACHINE = {"role": "backend", "zone": "yaba", "address": "127.0.0.1:9", "service": "logbook"}
TRIES = 3
"""A rise of the era on a connection that stands takes two more reads."""


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

    async def end(self) -> None:
        await self.reader.close()
        for service in (self.source.service, self.machines.service):
            service.readers.close()
            service.control.close()

    async def read(
        self, kind: DocumentKind, after: int = 0, era: int = 0
    ) -> DocumentRead | DocumentUnchanged | DocumentReadFailed:
        return await self.reader.read(ReadDocument(kind, after, 0.0, era=era))

    async def settled(self, kind: DocumentKind, after: int = 0) -> DocumentRead | DocumentUnchanged:
        for _ in range(TRIES):
            answer = await self.read(kind, after)
            if not isinstance(answer, DocumentReadFailed):
                return answer
        raise AssertionError(answer)

    def restore(self) -> None:
        for store in (self.source._store, self.machines._store):
            store.restore(0.0)

    async def test_a_return_is_read_anew_and_an_older_version_changes_nothing(self) -> None:
        async with anyio.create_task_group() as tasks:
            await self.serve(tasks)
            self.source._store.put({"a": 2}, 1.0)
            self.machines._store.put({"m1": MACHINE, "m2": MACHINE}, 1.0)
            self.assertEqual(await self.read(TREE), DocumentRead(TREE, 2, {"a": 2}))
            listed = await self.read(LIST)
            assert isinstance(listed, DocumentRead)
            self.assertEqual(listed.number, 2)
            self.restore()
            self.assertEqual(await self.settled(TREE, 2), DocumentUnchanged(TREE))
            anew = await self.settled(LIST, 2)
            assert isinstance(anew, DocumentRead)
            self.assertEqual(anew.number, list_number(1, 1))
            self.assertEqual(await self.read(LIST, anew.number), DocumentUnchanged(LIST))
            self.source._store.put({"a": 2}, 1.0)
            self.source._store.put({"a": 3}, 1.0)
            self.assertEqual(await self.read(TREE, 2, 1), DocumentRead(TREE, 3, {"a": 3}))
            await self.end()

    async def test_a_service_that_has_not_come_back_is_not_believed(self) -> None:
        async with anyio.create_task_group() as tasks:
            await self.serve(tasks)
            await self.read(TREE)
            answer = await self.read(TREE, 1, era=1)
            assert isinstance(answer, DocumentReadFailed)
            self.assertIn("source-era", answer.reason)
            self.machines._store.restore(0.0)
            await self.settled(LIST)
            answer = await self.read(TREE, 1)
            assert isinstance(answer, DocumentReadFailed)
            self.assertEqual([item.detail for item in answer.answer_findings], ["fell from 1 to 0"])
            await self.end()
