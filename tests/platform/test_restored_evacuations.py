"""Evacuations and edits over a return of the store, at readers that know little of what was before.

Also at a reader that has not itself read the version in force.
"""

import unittest

from pewtertack.lab.metadata_store.application import StoreSnapshot
from tests.platform.restored_fleet import ReturningFleet, configuration, entry

USUAL_BOUND = 1.5
TAKEN_OVER = 2.0
"""Seconds until another node reads in place of one that has ended."""


class ReturnedEvacuationsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet = ReturningFleet()
        self.store = self.fleet.store
        self.store.put("op/config", configuration(12))
        for number in (1, 2, 3):
            self.store.put(f"servers/i-{number}", entry(number))
        for _ in range(3):
            self.fleet.start_node()
        await self.fleet.run(4.0)
        self.nodes = list(self.fleet.nodes)

    def cut(self, cut: bool) -> None:
        for node in self.fleet.nodes:
            node.calls.cut = cut

    async def come_back(self, copy: StoreSnapshot, away: float = 0.5) -> None:
        self.cut(True)
        await self.fleet.run(away)
        self.store.restore_from(copy)
        self.cut(False)

    def evacuated(self) -> list[set[str]]:
        return [set(node.evacuated) for node in self.fleet.nodes]

    async def check_all_show(self, zones: set[str]) -> None:
        """Check that all three nodes show just these evacuations at every tenth of two seconds."""
        for _ in range(20):
            await self.fleet.run(0.1)
            self.assertEqual(self.evacuated(), [zones] * 3)

    def stop_readers(self) -> None:
        """End the nodes that read: who takes over has not read itself what is in force."""
        readers = [node for node in self.fleet.nodes if node.core.replication.reader.reading]
        self.assertEqual(len(readers), 1)
        self.fleet.nodes.remove(readers[0])

    async def test_a_new_reader_shows_evacuations_of_the_new_era_on_the_version_in_force(
        self,
    ) -> None:
        copy = self.store.snapshot()
        self.store.put("op/config", configuration(13))
        await self.fleet.run(1.5)
        self.assertEqual([node.version for node in self.fleet.nodes], [13] * 3)
        self.cut(True)
        self.stop_readers()
        await self.come_back(copy)
        await self.fleet.run(4.0)
        self.store.put("op/evacuate/garia", b"{}")
        await self.fleet.run(USUAL_BOUND)
        self.assertEqual(self.evacuated(), [{"garia"}] * 2)
        self.assertEqual([node.version for node in self.fleet.nodes], [13] * 2)
        self.store.remove("op/evacuate/garia")
        await self.fleet.run(USUAL_BOUND)
        self.assertEqual(self.evacuated(), [set()] * 2)
        self.store.put("op/config", configuration(14))
        await self.fleet.run(USUAL_BOUND)
        self.assertEqual([node.version for node in self.fleet.nodes], [14] * 2)

    async def test_the_first_read_of_an_era_keeps_what_is_held_beside_what_the_copy_shows(
        self,
    ) -> None:
        """It is asked before this node has heard of the era."""
        self.store.put("op/evacuate/garia", b"{}")
        await self.fleet.run(USUAL_BOUND)
        copy = self.store.snapshot()
        self.store.put("op/evacuate/howrah", b"{}")
        await self.fleet.run(USUAL_BOUND)
        await self.come_back(copy)
        await self.check_all_show({"garia", "howrah"})

    async def test_an_evacuation_that_was_taken_back_stays_so_against_the_copy(self) -> None:
        self.store.put("op/evacuate/garia", b"{}")
        await self.fleet.run(USUAL_BOUND)
        copy = self.store.snapshot()
        self.store.remove("op/evacuate/garia")
        await self.fleet.run(USUAL_BOUND)
        self.assertEqual(self.evacuated(), [set()] * 3)
        await self.come_back(copy)
        await self.check_all_show(set())
        self.store.remove("op/evacuate/garia")
        self.store.put("op/evacuate/garia", b"{}")
        await self.fleet.run(USUAL_BOUND)
        with self.subTest("what the new era names anew is believed at once"):
            self.assertEqual(self.evacuated(), [{"garia"}] * 3)

    async def test_one_that_was_written_again_and_then_taken_back_stays_so(self) -> None:
        """Its item was made anew after the first return, under the same tree."""
        copy = self.store.snapshot()
        self.store.put("op/evacuate/garia", b"{}")
        await self.fleet.run(USUAL_BOUND)
        await self.come_back(copy)
        for _ in range(5):
            self.store.put("servers/i-1", entry(1))
        self.store.put("op/evacuate/garia", b"{}")
        await self.fleet.run(USUAL_BOUND)
        copy = self.store.snapshot()
        self.store.remove("op/evacuate/garia")
        await self.fleet.run(USUAL_BOUND)
        self.assertEqual(self.evacuated(), [set()] * 3)
        await self.come_back(copy)
        await self.check_all_show(set())

    async def test_an_evacuation_taken_back_is_believed_again_once_the_time_is_over(self) -> None:
        """The operator has not written its end again: the store's word is the newest."""
        self.store.put("op/evacuate/garia", b"{}")
        await self.fleet.run(USUAL_BOUND)
        copy = self.store.snapshot()
        self.store.remove("op/evacuate/garia")
        await self.fleet.run(USUAL_BOUND)
        await self.come_back(copy)
        for _ in range(20):
            await self.fleet.run(self.fleet.hold_after_return / 10)
            self.store.put("servers/i-1", entry(1))
        self.assertEqual(self.evacuated(), [{"garia"}] * 3)

    async def test_a_reader_that_takes_over_long_after_a_return_holds_nothing_against_the_store(
        self,
    ) -> None:
        self.store.put("op/evacuate/garia", b"{}")
        await self.fleet.run(USUAL_BOUND)
        await self.come_back(self.store.snapshot())
        await self.fleet.run(self.fleet.hold_after_return + 4.0)
        self.assertEqual(self.evacuated(), [{"garia"}] * 3)
        self.stop_readers()
        self.store.remove("op/evacuate/garia")
        await self.fleet.run(TAKEN_OVER + USUAL_BOUND)
        self.assertEqual(self.evacuated(), [set()] * 2)

    async def test_edits_written_again_one_by_one_and_one_made_before_all_are(self) -> None:
        copy = self.store.snapshot()
        for version in (13, 14):
            self.store.put("op/config", configuration(version))
            await self.fleet.run(1.0)
        await self.come_back(copy)
        await self.fleet.run(0.5)
        for version, in_force in ((13, 14), (14, 14), (15, 15)):
            self.store.put("op/config", configuration(version))
            await self.fleet.run(USUAL_BOUND)
            self.assertEqual([node.version for node in self.fleet.nodes], [in_force] * 3)

    async def test_a_fleet_that_starts_as_a_whole_in_the_gap_serves(self) -> None:
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
        await self.fleet.run(USUAL_BOUND)
        self.assertEqual([node.version for node in self.fleet.nodes], [13] * 3)

    async def test_the_store_is_seen_by_readers_that_change_hands_at_the_return(self) -> None:
        copy = self.store.snapshot()
        for number in (4, 5):
            self.store.put(f"servers/i-{number}", entry(number))
        await self.fleet.run(1.0)
        self.cut(True)
        self.stop_readers()
        self.store.restore_from(copy)
        for number in (4, 5, 6):
            self.store.put(f"servers/i-{number}", entry(number))
        self.cut(False)
        await self.fleet.run(4.0)
        names = [f"i-{number}" for number in (1, 2, 3, 4, 5, 6)]
        self.assertEqual([node.ready for node in self.fleet.nodes], [names] * 2)
        self.assertEqual([node.core.replication.era for node in self.fleet.nodes], [1, 1])
