"""The era header of the store's responses: absent, valid and invalid values."""

import unittest
from typing import Any

import msgspec

from pewtertack.core.effects import ReadDocument
from pewtertack.core.inputs import DocumentRead, DocumentReadFailed
from pewtertack.core.items import ItemProblem
from pewtertack.events import Event
from pewtertack.lab.metadata_store.application import MetadataStore, StoreFaults
from pewtertack.platform.entries import parse_entries
from pewtertack.platform.store import StoreReader
from pewtertack.wire.messages import DocumentKind
from tests.node.proxy.harness import ProxyTestCase
from tests.platform.restored_fleet import RestoredFleet, configuration, entry

CONFIG = DocumentKind.CONFIGURATION
MACHINES = DocumentKind.MACHINE_LIST


class EraHeaderTest(ProxyTestCase):
    """Over real connections."""

    async def asyncSetUp(self) -> None:
        self.store = MetadataStore(3)
        self.store.put("op/config", configuration(12))
        self.store.put("servers/i-1", entry(1))
        self.reader = StoreReader(await self.serve(self.store.application), 8146, 7380)
        self.addAsyncCleanup(self.reader.close)
        await self.read()
        self.calls = self.store.calls

    async def read(self, kind: DocumentKind = MACHINES) -> Any:
        return await self.reader.read(ReadDocument(kind, 0, 0.0))

    async def test_invalid_era_is_a_finding_and_writes_are_still_read(self) -> None:
        for number, text in enumerate(("", "-1", "two", "9" * 40), 2):
            self.store.faults = StoreFaults(era=text)
            self.store.put(f"servers/i-{number}", entry(number))
            result = await self.read()
            self.assertIn(f"i-{number}", result.document)
            self.assertEqual([item.problem for item in result.answer_findings], [ItemProblem.ERA])

    async def test_disappearing_header_is_a_finding(self) -> None:
        self.store.era = None
        result = await self.read()
        self.assertEqual([item.problem for item in result.answer_findings], [ItemProblem.ERA])

    async def test_response_of_an_earlier_era_is_not_used(self) -> None:
        self.store.faults = StoreFaults(era="2")
        self.store.put("servers/i-2", entry(2))
        failed = await self.read()
        self.assertIsInstance(failed, DocumentReadFailed)
        self.assertEqual([item.problem for item in failed.answer_findings], [ItemProblem.ERA])
        self.store.faults = StoreFaults()
        self.assertIn("i-2", (await self.read()).document)

    async def test_rise_on_one_connection_is_a_finding_and_the_read_is_repeated_on_another(
        self,
    ) -> None:
        self.store.put("servers/i-2", entry(2))
        self.store.restore_from(self.store.snapshot())
        failed = await self.read()
        self.assertEqual([item.problem for item in failed.answer_findings], [ItemProblem.ERA])
        await self.read()
        result = await self.read()
        assert isinstance(result, DocumentRead)
        self.assertIn("i-2", result.document)
        self.assertEqual(result.answer_findings, ())
        self.assertLessEqual(self.store.calls - self.calls, 3)


class EraFindingLogTest(unittest.IsolatedAsyncioTestCase):
    async def test_node_logs_a_finding_once_and_continues(self) -> None:
        fleet = RestoredFleet(era=3)
        fleet.store.put("op/config", configuration(12))
        fleet.store.put("servers/i-1", entry(1))
        node = fleet.start_node()
        await fleet.run(3.0)
        fleet.store.faults = StoreFaults(era="three")
        await fleet.run(3.0)
        fleet.store.put("op/config", configuration(13))
        await fleet.run(3.0)
        skipped_documents = [
            log.fields["document"] for log in node.logged if log.event is Event.ITEM_PASSED_OVER
        ]
        self.assertEqual(sorted(skipped_documents), ["CONFIGURATION", "MACHINE_LIST"])
        self.assertEqual((node.version, node.serving), (13, True))


class WithoutErasTest(unittest.IsolatedAsyncioTestCase):
    async def test_absent_era_and_era_0_are_equivalent(self) -> None:
        """Numbers, documents, messages to peers and reads are the same as before eras existed."""
        states = []
        for era in (None, 0):
            fleet = RestoredFleet(era=era)
            fleet.store.put("op/config", configuration(12))
            revision = fleet.store.put("servers/i-1", entry(1))
            evacuation_revision = fleet.store.put("op/evacuate/howrah", b"{}")
            nodes = [fleet.start_node() for _ in range(2)]
            await fleet.run(5.0)
            state = nodes[1].core.replication.state()
            self.assertEqual(state.held.number, 12 * 1_000_000_000 + evacuation_revision)
            self.assertEqual(state.machine_list, revision)
            machines, _ = parse_entries({"i-1": entry(1)}, 8146, 7380, {"i-1": revision})
            store = nodes[1].core.replication.machine_list.store
            self.assertEqual(store.document, machines)
            reads = [effect for node in nodes for effect in node.reads]
            self.assertEqual({read.era for read in reads}, {0})
            held = {(0, ()), (state.held.number, ("howrah",))}
            self.assertEqual(
                {(read.held_revision.number, read.evacuated_zones) for read in reads}, held
            )
            states.append((msgspec.msgpack.encode(state), store.revision, reads))
        self.assertEqual(*states)
