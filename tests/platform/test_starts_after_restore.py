"""Nodes that start around a restore of the store receive the list overrides of their peers."""

import unittest

from pewtertack.core.profile import LEASED, TimingProfile
from pewtertack.lab.metadata_store.application import StoreSnapshot
from pewtertack.wire.messages import ListOverrides
from tests.platform.restored_fleet import (
    SINGLE_READER_PROFILE,
    FleetNode,
    RestoredFleet,
    configuration,
    entry,
)

PROFILES = (SINGLE_READER_PROFILE, LEASED)
HOLD_SECONDS = RestoredFleet.hold_after_return


class StartsAfterRestoreTest(unittest.IsolatedAsyncioTestCase):
    async def start_fleet(self, profile: TimingProfile, era: int | None = 0) -> StoreSnapshot:
        """Start a fleet, and return a copy of the store without the following changes.

        i-2 is removed, i-3 drains, i-4 is added, and i-5 is added at the address of i-1, which is
        removed.
        """
        self.fleet = RestoredFleet(era, profile)
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

    async def restore_store(self, copy: StoreSnapshot, outage_seconds: float = 0.5) -> None:
        for node in self.fleet.nodes:
            node.client.disconnected = True
        await self.fleet.run(outage_seconds)
        self.store.restore_from(copy)
        for node in self.fleet.nodes:
            node.client.disconnected = False

    async def start_serving_node(self, seconds: float = 2.0) -> FleetNode:
        node = self.fleet.start_node()
        await self.fleet.run(seconds)
        self.assertTrue(node.serving)
        return node

    async def test_node_started_after_a_restore_has_the_list_of_its_peers(self) -> None:
        for profile in PROFILES:
            for after in (0.0, 0.2, 1.0, 3.0):
                with self.subTest(single_reader=profile is SINGLE_READER_PROFILE, after=after):
                    await self.restore_store(await self.start_fleet(profile))
                    await self.fleet.run(after)
                    node = await self.start_serving_node()
                    self.assertEqual(self.nodes[0].ready, ["i-4", "i-5", "i-6"])
                    self.assertEqual(node.ready, self.nodes[0].ready)
                    self.assertEqual(node.ready_while_serving & {"i-1", "i-2", "i-3"}, set())

    async def test_node_started_shortly_before_a_restore_excludes_removed_back_ends(self) -> None:
        for profile in PROFILES:
            with self.subTest(single_reader=profile is SINGLE_READER_PROFILE):
                copy = await self.start_fleet(profile)
                node = await self.start_serving_node()
                self.assertEqual(node.ready, ["i-4", "i-5", "i-6"])
                await self.restore_store(copy)
                for _ in range(30):
                    await self.fleet.step()
                    self.assertEqual(set(node.ready) & {"i-1", "i-2", "i-3"}, set())
                self.assertEqual(node.ready, ["i-4", "i-5", "i-6"])

    async def test_isolated_node_uses_the_copy_until_overrides_arrive(self) -> None:
        for profile in PROFILES:
            with self.subTest(single_reader=profile is SINGLE_READER_PROFILE):
                await self.restore_store(await self.start_fleet(profile))
                node = self.fleet.start_node()
                await self.fleet.run(0.3)
                self.assertTrue(node.core.membership.table.get("n1"))
                self.fleet.isolated = {node.name}
                await self.fleet.run(1.2)
                self.assertTrue(node.serving)
                self.assertEqual(node.ready, ["i-1", "i-2", "i-3", "i-6"])
                self.fleet.isolated = set()
                await self.fleet.run(2.5)
                self.assertEqual(node.ready, ["i-4", "i-5", "i-6"])

    async def test_fleet_that_restarts_entirely_uses_the_copy(self) -> None:
        for profile in PROFILES:
            with self.subTest(single_reader=profile is SINGLE_READER_PROFILE):
                await self.restore_store(await self.start_fleet(profile))
                self.fleet.nodes.clear()
                started_nodes = [self.fleet.start_node() for _ in range(3)]
                await self.fleet.run(3.0)
                for node in started_nodes:
                    self.assertTrue(node.serving)
                    self.assertEqual(node.ready, ["i-1", "i-2", "i-3", "i-6"])

    async def test_all_nodes_use_the_list_after_the_hold_period(self) -> None:
        for profile in PROFILES:
            with self.subTest(single_reader=profile is SINGLE_READER_PROFILE):
                await self.restore_store(await self.start_fleet(profile))
                node = await self.start_serving_node(HOLD_SECONDS)
                await self.fleet.run(3.0)
                self.assertEqual(self.nodes[0].ready, ["i-1", "i-2", "i-3", "i-6"])
                self.assertEqual(node.ready, self.nodes[0].ready)

    async def count_override_messages(self, after: float) -> int:
        """Return the number of override messages to a node that starts ``after`` seconds later."""
        await self.fleet.run(after)
        self.fleet.sent.clear()
        await self.start_serving_node(3.0)
        return sum(isinstance(message, ListOverrides) for message in self.fleet.sent)

    async def test_no_overrides_are_sent_without_eras_or_after_the_hold_period(self) -> None:
        for profile in PROFILES:
            with self.subTest(single_reader=profile is SINGLE_READER_PROFILE):
                await self.restore_store(await self.start_fleet(profile))
                self.assertGreater(await self.count_override_messages(0.5), 0)
                self.assertEqual(await self.count_override_messages(HOLD_SECONDS + 1.0), 0)
                await self.start_fleet(profile, era=None)
                self.assertEqual(await self.count_override_messages(1.0), 0)

    async def test_ended_evacuation_stays_ended_at_nodes_that_start(self) -> None:
        for profile in PROFILES:
            for after in (-2.0, 0.0, 0.5, 2.0):
                with self.subTest(single_reader=profile is SINGLE_READER_PROFILE, after=after):
                    await self.start_fleet(profile)
                    self.store.put("op/evacuate/garia", b"{}")
                    await self.fleet.run(2.0)
                    copy = self.store.snapshot()
                    self.store.remove("op/evacuate/garia")
                    await self.fleet.run(2.0)
                    if after < 0:
                        self.fleet.start_node()
                    await self.fleet.run(max(0.0, -after))
                    await self.restore_store(copy)
                    await self.fleet.run(max(0.0, after))
                    if after >= 0:
                        self.fleet.start_node()
                    for _ in range(20):
                        await self.fleet.step()
                        for node in self.fleet.nodes:
                            self.assertEqual(node.evacuated, frozenset())

    async def test_evacuation_of_the_copy_applies_if_no_node_recorded_its_end(self) -> None:
        for profile in PROFILES:
            with self.subTest(single_reader=profile is SINGLE_READER_PROFILE):
                await self.start_fleet(profile)
                self.store.put("op/evacuate/garia", b"{}")
                await self.fleet.run(2.0)
                await self.restore_store(self.store.snapshot())
                self.fleet.nodes.clear()
                started_nodes = [self.fleet.start_node() for _ in range(3)]
                await self.fleet.run(4.0)
                for node in started_nodes:
                    self.assertTrue(node.serving)
                    self.assertEqual(node.evacuated, {"garia"})
