"""The store comes back from a copy some seconds old; its era is one higher.

What was seen: the revisions that were given out after the copy are given out again, for other
writes. A reader that went on from its cursor missed for good what lay between the copy and the
cursor; its next lists had lower numbers than the ones before, so that no node took them; an
evacuation begun after the return had a lower number than the one before it.
"""

import unittest

from pewtertack.core.profile import LEASED, TimingProfile
from pewtertack.lab.metadata_store.application import StoreSnapshot
from tests.platform.restored_fleet import FEW_READERS, ReturningFleet, configuration, entry


class ReturnedStoreTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        await self.begin(FEW_READERS)

    async def begin(self, profile: TimingProfile) -> None:
        self.fleet = ReturningFleet(profile=profile)
        self.store = self.fleet.store
        self.store.put("op/config", configuration(12))
        for number in (1, 2, 3):
            self.store.put(f"servers/i-{number}", entry(number))
        self.nodes = [self.fleet.start_node() for _ in range(3)]
        await self.fleet.run(4.0)
        assert all(node.serving for node in self.nodes)

    def cut(self, cut: bool) -> None:
        for node in self.fleet.nodes:
            node.calls.cut = cut

    async def come_back(self, copy: StoreSnapshot, away: float = 0.5) -> None:
        """The store is away for a moment and comes back from ``copy``."""
        self.cut(True)
        await self.fleet.run(away)
        self.store.restore_from(copy)
        self.cut(False)

    def ready(self) -> list[list[str]]:
        return [node.ready for node in self.nodes]

    def evacuated(self) -> list[frozenset[str]]:
        return [node.evacuated for node in self.nodes]

    async def test_what_is_written_after_the_return_is_seen(self) -> None:
        """The new history has passed the cursor before the reader asks: there is no 410."""
        copy = self.store.snapshot()
        self.store.put("servers/i-4", entry(4))
        await self.fleet.run(1.0)
        self.cut(True)
        self.store.restore_from(copy)
        for number in (5, 6, 4):
            self.store.put(f"servers/i-{number}", entry(number))
        self.cut(False)
        await self.fleet.run(3.0)
        with self.subTest("in place of a lost revision"):
            self.assertEqual(self.ready(), [["i-1", "i-2", "i-3", "i-4", "i-5", "i-6"]] * 3)
        copy = self.store.snapshot()
        for _ in range(20):
            self.store.put("servers/i-1", entry(1))
        await self.fleet.run(1.0)
        await self.come_back(copy)
        self.store.put("servers/i-7", entry(7))
        await self.fleet.run(3.0)
        with self.subTest("under a lower revision than the newest before the return"):
            self.assertIn("i-7", self.nodes[0].ready)

    async def test_a_copy_takes_nothing_back(self) -> None:
        copy = self.store.snapshot()
        self.store.put("servers/i-4", entry(4))
        self.store.put("servers/i-3", entry(3, State="draining"))
        self.store.remove("servers/i-2")
        await self.fleet.run(1.0)
        await self.come_back(copy)
        for _ in range(20):
            self.store.put("servers/i-1", entry(1))
        self.store.discard_history()
        await self.fleet.run(1.5)
        with self.subTest("who the copy lacks is kept, who had left or was leaving stays away"):
            self.assertEqual(self.ready(), [["i-1", "i-4"]] * 3)
        await self.begin(LEASED)
        copy = self.store.snapshot()
        self.store.put("op/config", configuration(13))
        await self.fleet.run(1.0)
        await self.come_back(copy)
        started = self.fleet.start_node()
        self.fleet.dark = {started.name}
        await self.fleet.run(0.5)
        self.fleet.dark = set()
        await self.fleet.run(2.0)
        with self.subTest("a node that starts meanwhile serves by what its peers hold"):
            self.assertEqual((started.serving, started.versions), (True, [13]))

    async def test_evacuations_follow_the_store_after_its_return(self) -> None:
        copy = self.store.snapshot()
        for _ in range(20):
            self.store.put("servers/i-1", entry(1))
        self.store.put("op/evacuate/howrah", b"{}")
        await self.fleet.run(1.5)
        self.assertEqual(self.evacuated(), [{"howrah"}] * 3)
        await self.come_back(copy)
        await self.fleet.run(1.0)
        self.assertEqual(self.evacuated(), [{"howrah"}] * 3)
        self.store.put("op/evacuate/howrah", b"{}")
        self.store.put("op/evacuate/garia", b"{}")
        await self.fleet.run(1.5)
        self.assertEqual(self.evacuated(), [{"garia", "howrah"}] * 3)
        self.store.remove("op/evacuate/garia")
        await self.fleet.run(1.5)
        self.assertEqual(self.evacuated(), [{"howrah"}] * 3)

    async def test_what_the_new_era_itself_takes_back_is_not_held(self) -> None:
        """A node that has just begun to read cannot tell an old era from a new one."""
        self.fleet = ReturningFleet(era=3)
        self.fleet.store.put("op/config", configuration(12))
        self.fleet.store.put("servers/i-1", entry(1))
        self.fleet.store.put("op/evacuate/garia", b"{}")
        self.nodes = [self.fleet.start_node()]
        await self.fleet.run(2.0)
        self.assertEqual(self.evacuated(), [{"garia"}])
        self.fleet.store.remove("op/evacuate/garia")
        await self.fleet.run(1.5)
        self.assertEqual(self.evacuated(), [set()])
