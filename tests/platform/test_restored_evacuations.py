"""Evacuations and edits across a restore of the store.

They must be kept even if the reader is new and has not itself read the version in force or the
state before the restore.
"""

import unittest

from pewtertack.lab.metadata_store.application import StoreSnapshot
from tests.platform.restored_fleet import RestoredFleet, configuration, entry

PROPAGATION_SECONDS = 1.5
"""Seconds until a write has reached all nodes."""
TAKEOVER_SECONDS = 2.0
"""Seconds until another node takes over reading from a stopped one."""


class RestoredEvacuationsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet = RestoredFleet()
        self.store = self.fleet.store
        self.store.put("op/config", configuration(12))
        for number in (1, 2, 3):
            self.store.put(f"servers/i-{number}", entry(number))
        for _ in range(3):
            self.fleet.start_node()
        await self.fleet.run(4.0)
        self.nodes = list(self.fleet.nodes)

    def set_disconnected(self, disconnected: bool) -> None:
        for node in self.fleet.nodes:
            node.client.disconnected = disconnected

    async def restore_store(self, copy: StoreSnapshot, outage_seconds: float = 0.5) -> None:
        self.set_disconnected(True)
        await self.fleet.run(outage_seconds)
        self.store.restore_from(copy)
        self.set_disconnected(False)

    def evacuated(self) -> list[set[str]]:
        return [set(node.evacuated) for node in self.fleet.nodes]

    async def check_evacuated_zones(self, zones: set[str]) -> None:
        """Check every 0.1 s for two seconds that all three nodes have exactly these evacuations."""
        for _ in range(20):
            await self.fleet.run(0.1)
            self.assertEqual(self.evacuated(), [zones] * 3)

    def stop_reader(self) -> None:
        """Stop the reader; the node that takes over has not itself read the version in force."""
        readers = [node for node in self.fleet.nodes if node.core.replication.reader.reading]
        self.assertEqual(len(readers), 1)
        self.fleet.nodes.remove(readers[0])

    async def test_new_reader_applies_evacuations_of_the_new_era_to_the_version_in_force(
        self,
    ) -> None:
        copy = self.store.snapshot()
        self.store.put("op/config", configuration(13))
        await self.fleet.run(1.5)
        self.assertEqual([node.version for node in self.fleet.nodes], [13] * 3)
        self.set_disconnected(True)
        self.stop_reader()
        await self.restore_store(copy)
        await self.fleet.run(4.0)
        self.store.put("op/evacuate/garia", b"{}")
        await self.fleet.run(PROPAGATION_SECONDS)
        self.assertEqual(self.evacuated(), [{"garia"}] * 2)
        self.assertEqual([node.version for node in self.fleet.nodes], [13] * 2)
        self.store.remove("op/evacuate/garia")
        await self.fleet.run(PROPAGATION_SECONDS)
        self.assertEqual(self.evacuated(), [set()] * 2)
        self.store.put("op/config", configuration(14))
        await self.fleet.run(PROPAGATION_SECONDS)
        self.assertEqual([node.version for node in self.fleet.nodes], [14] * 2)

    async def test_first_read_of_an_era_keeps_held_evacuations_in_addition_to_those_of_the_copy(
        self,
    ) -> None:
        """The read starts before the node knows of the era."""
        self.store.put("op/evacuate/garia", b"{}")
        await self.fleet.run(PROPAGATION_SECONDS)
        copy = self.store.snapshot()
        self.store.put("op/evacuate/howrah", b"{}")
        await self.fleet.run(PROPAGATION_SECONDS)
        await self.restore_store(copy)
        await self.check_evacuated_zones({"garia", "howrah"})

    async def test_withdrawn_evacuation_of_the_copy_stays_withdrawn(self) -> None:
        self.store.put("op/evacuate/garia", b"{}")
        await self.fleet.run(PROPAGATION_SECONDS)
        copy = self.store.snapshot()
        self.store.remove("op/evacuate/garia")
        await self.fleet.run(PROPAGATION_SECONDS)
        self.assertEqual(self.evacuated(), [set()] * 3)
        await self.restore_store(copy)
        await self.check_evacuated_zones(set())
        self.store.remove("op/evacuate/garia")
        self.store.put("op/evacuate/garia", b"{}")
        await self.fleet.run(PROPAGATION_SECONDS)
        with self.subTest("an evacuation written in the new era applies immediately"):
            self.assertEqual(self.evacuated(), [{"garia"}] * 3)

    async def test_evacuation_rewritten_after_a_restore_and_withdrawn_stays_withdrawn(self) -> None:
        """The item was created again after the first restore, but the tree stayed the same."""
        copy = self.store.snapshot()
        self.store.put("op/evacuate/garia", b"{}")
        await self.fleet.run(PROPAGATION_SECONDS)
        await self.restore_store(copy)
        for _ in range(5):
            self.store.put("servers/i-1", entry(1))
        self.store.put("op/evacuate/garia", b"{}")
        await self.fleet.run(PROPAGATION_SECONDS)
        copy = self.store.snapshot()
        self.store.remove("op/evacuate/garia")
        await self.fleet.run(PROPAGATION_SECONDS)
        self.assertEqual(self.evacuated(), [set()] * 3)
        await self.restore_store(copy)
        await self.check_evacuated_zones(set())

    async def test_withdrawn_evacuation_of_the_copy_applies_after_the_hold_period(self) -> None:
        """The operator has not withdrawn it again, so the state of the store is authoritative."""
        self.store.put("op/evacuate/garia", b"{}")
        await self.fleet.run(PROPAGATION_SECONDS)
        copy = self.store.snapshot()
        self.store.remove("op/evacuate/garia")
        await self.fleet.run(PROPAGATION_SECONDS)
        await self.restore_store(copy)
        for _ in range(20):
            await self.fleet.run(self.fleet.hold_after_return / 10)
            self.store.put("servers/i-1", entry(1))
        self.assertEqual(self.evacuated(), [{"garia"}] * 3)

    async def test_reader_that_takes_over_after_the_hold_period_follows_the_store(
        self,
    ) -> None:
        self.store.put("op/evacuate/garia", b"{}")
        await self.fleet.run(PROPAGATION_SECONDS)
        await self.restore_store(self.store.snapshot())
        await self.fleet.run(self.fleet.hold_after_return + 4.0)
        self.assertEqual(self.evacuated(), [{"garia"}] * 3)
        self.stop_reader()
        self.store.remove("op/evacuate/garia")
        await self.fleet.run(TAKEOVER_SECONDS + PROPAGATION_SECONDS)
        self.assertEqual(self.evacuated(), [set()] * 2)

    async def test_edits_are_rewritten_one_by_one_after_a_restore(self) -> None:
        copy = self.store.snapshot()
        for version in (13, 14):
            self.store.put("op/config", configuration(version))
            await self.fleet.run(1.0)
        await self.restore_store(copy)
        await self.fleet.run(0.5)
        for version, in_force in ((13, 14), (14, 14), (15, 15)):
            self.store.put("op/config", configuration(version))
            await self.fleet.run(PROPAGATION_SECONDS)
            self.assertEqual([node.version for node in self.fleet.nodes], [in_force] * 3)

    async def test_fleet_that_restarts_before_lost_edits_are_rewritten_serves(self) -> None:
        copy = self.store.snapshot()
        self.store.put("op/config", configuration(13))
        await self.fleet.run(1.0)
        self.fleet.nodes.clear()
        self.store.restore_from(copy)
        for _ in range(3):
            self.fleet.start_node()
        await self.fleet.run(3.0)
        self.assertEqual([node.serving for node in self.fleet.nodes], [True] * 3)
        self.assertEqual([node.versions for node in self.fleet.nodes], [[12]] * 3)
        self.store.put("op/config", configuration(13))
        await self.fleet.run(PROPAGATION_SECONDS)
        self.assertEqual([node.version for node in self.fleet.nodes], [13] * 3)

    async def test_reader_that_takes_over_during_a_restore_reads_the_new_era(self) -> None:
        copy = self.store.snapshot()
        for number in (4, 5):
            self.store.put(f"servers/i-{number}", entry(number))
        await self.fleet.run(1.0)
        self.set_disconnected(True)
        self.stop_reader()
        self.store.restore_from(copy)
        for number in (4, 5, 6):
            self.store.put(f"servers/i-{number}", entry(number))
        self.set_disconnected(False)
        await self.fleet.run(4.0)
        names = [f"i-{number}" for number in (1, 2, 3, 4, 5, 6)]
        self.assertEqual([node.ready for node in self.fleet.nodes], [names] * 2)
        self.assertEqual([node.core.replication.era for node in self.fleet.nodes], [1, 1])
