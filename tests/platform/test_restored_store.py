"""The store is restored from a copy that is some seconds old, and its era rises by one.

After a restore, the store assigns the revisions since the copy again, to other writes. Without
eras, a reader that continued from the last revision it had read permanently missed the writes
between the copy and that revision; its next lists had lower numbers than earlier ones, so no node
accepted them; and an evacuation that began after the restore had a lower number than the one
before it.
"""

import unittest

from pewtertack.core.profile import LEASED, TimingProfile
from pewtertack.lab.metadata_store.application import StoreSnapshot
from tests.platform.restored_fleet import SINGLE_READER_PROFILE, RestoredFleet, configuration, entry


class RestoredStoreTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        await self.start_fleet(SINGLE_READER_PROFILE)

    async def start_fleet(self, profile: TimingProfile) -> None:
        self.fleet = RestoredFleet(profile=profile)
        self.store = self.fleet.store
        self.store.put("op/config", configuration(12))
        for number in (1, 2, 3):
            self.store.put(f"servers/i-{number}", entry(number))
        self.nodes = [self.fleet.start_node() for _ in range(3)]
        await self.fleet.run(4.0)
        assert all(node.serving for node in self.nodes)

    def set_disconnected(self, disconnected: bool) -> None:
        for node in self.fleet.nodes:
            node.client.disconnected = disconnected

    async def restore_store(self, copy: StoreSnapshot, outage_seconds: float = 0.5) -> None:
        """Restore the store from ``copy`` after a short outage."""
        self.set_disconnected(True)
        await self.fleet.run(outage_seconds)
        self.store.restore_from(copy)
        self.set_disconnected(False)

    def ready(self) -> list[list[str]]:
        return [node.ready for node in self.nodes]

    def evacuated(self) -> list[frozenset[str]]:
        return [node.evacuated for node in self.nodes]

    async def test_writes_after_the_restore_are_read(self) -> None:
        """New writes pass the last revision read, so the store does not return status 410."""
        copy = self.store.snapshot()
        self.store.put("servers/i-4", entry(4))
        await self.fleet.run(1.0)
        self.set_disconnected(True)
        self.store.restore_from(copy)
        for number in (5, 6, 4):
            self.store.put(f"servers/i-{number}", entry(number))
        self.set_disconnected(False)
        await self.fleet.run(3.0)
        with self.subTest("at the number of a lost revision"):
            self.assertEqual(self.ready(), [["i-1", "i-2", "i-3", "i-4", "i-5", "i-6"]] * 3)
        copy = self.store.snapshot()
        for _ in range(20):
            self.store.put("servers/i-1", entry(1))
        await self.fleet.run(1.0)
        await self.restore_store(copy)
        self.store.put("servers/i-7", entry(7))
        await self.fleet.run(3.0)
        with self.subTest("at a lower revision than the newest one before the restore"):
            self.assertIn("i-7", self.nodes[0].ready)

    async def test_copy_does_not_revert_known_changes(self) -> None:
        copy = self.store.snapshot()
        self.store.put("servers/i-4", entry(4))
        self.store.put("servers/i-3", entry(3, State="draining"))
        self.store.remove("servers/i-2")
        await self.fleet.run(1.0)
        await self.restore_store(copy)
        for _ in range(20):
            self.store.put("servers/i-1", entry(1))
        self.store.discard_history()
        await self.fleet.run(1.5)
        with self.subTest("added back ends are kept, and removed or draining ones stay excluded"):
            self.assertEqual(self.ready(), [["i-1", "i-4"]] * 3)
        await self.start_fleet(LEASED)
        copy = self.store.snapshot()
        self.store.put("op/config", configuration(13))
        await self.fleet.run(1.0)
        await self.restore_store(copy)
        started = self.fleet.start_node()
        self.fleet.isolated = {started.name}
        await self.fleet.run(0.5)
        self.fleet.isolated = set()
        await self.fleet.run(2.0)
        with self.subTest("a node that starts meanwhile serves the version that its peers hold"):
            self.assertEqual((started.serving, started.versions), (True, [13]))

    async def test_evacuations_follow_the_store_after_the_restore(self) -> None:
        copy = self.store.snapshot()
        for _ in range(20):
            self.store.put("servers/i-1", entry(1))
        self.store.put("op/evacuate/howrah", b"{}")
        await self.fleet.run(1.5)
        self.assertEqual(self.evacuated(), [{"howrah"}] * 3)
        await self.restore_store(copy)
        await self.fleet.run(1.0)
        self.assertEqual(self.evacuated(), [{"howrah"}] * 3)
        self.store.put("op/evacuate/howrah", b"{}")
        self.store.put("op/evacuate/garia", b"{}")
        await self.fleet.run(1.5)
        self.assertEqual(self.evacuated(), [{"garia", "howrah"}] * 3)
        self.store.remove("op/evacuate/garia")
        await self.fleet.run(1.5)
        self.assertEqual(self.evacuated(), [{"howrah"}] * 3)

    async def test_evacuation_withdrawn_in_the_new_era_ends_immediately(self) -> None:
        """A node that has just started to read cannot distinguish an old era from a new one."""
        self.fleet = RestoredFleet(era=3)
        self.fleet.store.put("op/config", configuration(12))
        self.fleet.store.put("servers/i-1", entry(1))
        self.fleet.store.put("op/evacuate/garia", b"{}")
        self.nodes = [self.fleet.start_node()]
        await self.fleet.run(2.0)
        self.assertEqual(self.evacuated(), [{"garia"}])
        self.fleet.store.remove("op/evacuate/garia")
        await self.fleet.run(1.5)
        self.assertEqual(self.evacuated(), [set()])
