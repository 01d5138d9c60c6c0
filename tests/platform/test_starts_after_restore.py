"""Nodes that start beside a return of the store are told what peers hold against its lists."""

import unittest

from pewtertack.core.profile import LEASED, TimingProfile
from pewtertack.lab.metadata_store.application import StoreSnapshot
from pewtertack.wire.messages import ListOverrides
from tests.platform.restored_fleet import (
    FEW_READERS,
    FleetNode,
    ReturningFleet,
    configuration,
    entry,
)

PROFILES = (FEW_READERS, LEASED)
HOLD = ReturningFleet.hold_after_return


class StartsAfterReturnTest(unittest.IsolatedAsyncioTestCase):
    async def begin(self, profile: TimingProfile, era: int | None = 0) -> StoreSnapshot:
        """Start a fleet; return the copy that lacks what is written then.

        i-2 leaves, i-3 is leaving, i-4 comes, and i-5 lives at the address of i-1, which has left.
        """
        self.fleet = ReturningFleet(era, profile)
        self.store = self.fleet.store
        self.store.put("op/config", configuration(12))
        for number in (1, 2, 3, 6):
            self.store.put(f"servers/i-{number}", entry(number, born=number))
        self.nodes = [self.fleet.start_node() for _ in range(3)]
        await self.fleet.run(4.0)
        assert all(node.serving for node in self.nodes)
        copy = self.store.snapshot()
        self.store.put("servers/i-4", entry(4, born=4))
        self.store.put("servers/i-3", entry(3, born=3, State="draining"))
        self.store.remove("servers/i-2")
        self.store.remove("servers/i-1")
        self.store.put("servers/i-5", entry(1, born=5))
        await self.fleet.run(1.5)
        return copy

    async def come_back(self, copy: StoreSnapshot, away: float = 0.5) -> None:
        for node in self.fleet.nodes:
            node.calls.cut = True
        await self.fleet.run(away)
        self.store.restore_from(copy)
        for node in self.fleet.nodes:
            node.calls.cut = False

    async def started(self, seconds: float = 2.0) -> FleetNode:
        node = self.fleet.start_node()
        await self.fleet.run(seconds)
        self.assertTrue(node.serving)
        return node

    async def test_who_starts_after_a_return_believes_what_its_peers_believe(self) -> None:
        for profile in PROFILES:
            for after in (0.0, 0.2, 1.0, 3.0):
                with self.subTest(few_readers=profile is FEW_READERS, after=after):
                    await self.come_back(await self.begin(profile))
                    await self.fleet.run(after)
                    node = await self.started()
                    self.assertEqual(self.nodes[0].ready, ["i-4", "i-5", "i-6"])
                    self.assertEqual(node.ready, self.nodes[0].ready)
                    self.assertEqual(node.served_by & {"i-1", "i-2", "i-3"}, set())

    async def test_who_started_shortly_before_a_return_is_told_who_had_left(self) -> None:
        for profile in PROFILES:
            with self.subTest(few_readers=profile is FEW_READERS):
                copy = await self.begin(profile)
                node = await self.started()
                self.assertEqual(node.ready, ["i-4", "i-5", "i-6"])
                await self.come_back(copy)
                for _ in range(30):
                    await self.fleet.step()
                    self.assertEqual(set(node.ready) & {"i-1", "i-2", "i-3"}, set())
                self.assertEqual(node.ready, ["i-4", "i-5", "i-6"])

    async def test_who_hears_nobody_serves_by_the_copy_until_the_word_comes(self) -> None:
        for profile in PROFILES:
            with self.subTest(few_readers=profile is FEW_READERS):
                await self.come_back(await self.begin(profile))
                node = self.fleet.start_node()
                await self.fleet.run(0.3)
                self.assertTrue(node.core.membership.table.get("n1"))
                self.fleet.dark = {node.name}
                await self.fleet.run(1.2)
                self.assertTrue(node.serving)
                self.assertEqual(node.ready, ["i-1", "i-2", "i-3", "i-6"])
                self.fleet.dark = set()
                await self.fleet.run(2.5)
                self.assertEqual(node.ready, ["i-4", "i-5", "i-6"])

    async def test_a_fleet_that_starts_as_a_whole_serves_by_the_copy(self) -> None:
        for profile in PROFILES:
            with self.subTest(few_readers=profile is FEW_READERS):
                await self.come_back(await self.begin(profile))
                self.fleet.nodes.clear()
                started = [self.fleet.start_node() for _ in range(3)]
                await self.fleet.run(3.0)
                for node in started:
                    self.assertTrue(node.serving)
                    self.assertEqual(node.ready, ["i-1", "i-2", "i-3", "i-6"])

    async def test_once_the_time_is_over_all_believe_the_list(self) -> None:
        for profile in PROFILES:
            with self.subTest(few_readers=profile is FEW_READERS):
                await self.come_back(await self.begin(profile))
                node = await self.started(HOLD)
                await self.fleet.run(3.0)
                self.assertEqual(self.nodes[0].ready, ["i-1", "i-2", "i-3", "i-6"])
                self.assertEqual(node.ready, self.nodes[0].ready)

    async def told(self, after: float) -> int:
        """Return how many messages tell a node that starts so long after a return."""
        await self.fleet.run(after)
        self.fleet.sent.clear()
        await self.started(3.0)
        return sum(isinstance(message, ListOverrides) for message in self.fleet.sent)

    async def test_nothing_is_told_without_eras_nor_when_the_time_is_over(self) -> None:
        for profile in PROFILES:
            with self.subTest(few_readers=profile is FEW_READERS):
                await self.come_back(await self.begin(profile))
                self.assertGreater(await self.told(0.5), 0)
                self.assertEqual(await self.told(HOLD + 1.0), 0)
                await self.begin(profile, era=None)
                self.assertEqual(await self.told(1.0), 0)

    async def test_an_evacuation_that_had_ended_stays_so_whoever_starts(self) -> None:
        for profile in PROFILES:
            for after in (-2.0, 0.0, 0.5, 2.0):
                with self.subTest(few_readers=profile is FEW_READERS, after=after):
                    await self.begin(profile)
                    self.store.put("op/evacuate/garia", b"{}")
                    await self.fleet.run(2.0)
                    copy = self.store.snapshot()
                    self.store.remove("op/evacuate/garia")
                    await self.fleet.run(2.0)
                    if after < 0:
                        self.fleet.start_node()
                    await self.fleet.run(max(0.0, -after))
                    await self.come_back(copy)
                    await self.fleet.run(max(0.0, after))
                    if after >= 0:
                        self.fleet.start_node()
                    for _ in range(20):
                        await self.fleet.step()
                        for node in self.fleet.nodes:
                            self.assertEqual(node.evacuated, frozenset())

    async def test_an_evacuation_of_the_copy_that_nobody_has_seen_to_end_is_believed(self) -> None:
        for profile in PROFILES:
            with self.subTest(few_readers=profile is FEW_READERS):
                await self.begin(profile)
                self.store.put("op/evacuate/garia", b"{}")
                await self.fleet.run(2.0)
                await self.come_back(self.store.snapshot())
                self.fleet.nodes.clear()
                started = [self.fleet.start_node() for _ in range(3)]
                await self.fleet.run(4.0)
                for node in started:
                    self.assertTrue(node.serving)
                    self.assertEqual(node.evacuated, {"garia"})
