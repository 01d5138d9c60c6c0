"""A large fleet in which a few readers read the source and report its state to the others."""

import unittest
from random import Random

import msgspec

from pewtertack.core.profile import LEASED, SourceProperties, TimingProfile
from pewtertack.lab.history.checker import CheckGroup, check_history
from pewtertack.lab.history.verdicts import Judgement
from pewtertack.lab.simulation.documents import tree_for_edit
from pewtertack.lab.simulation.execution import SIMULATION_BOUNDS
from pewtertack.lab.simulation.fleet import FleetSettings, SimulatedFleet

NODES, ZONES = 48, 4
READERS = ZONES * LEASED.readers_per_zone
EDIT_BOUND = 2.0
"""Seconds within which an edit is in force on every node that is up, whichever nodes died."""


class LeasedFleetTest(unittest.TestCase):
    def start_fleet(self, profile: TimingProfile = LEASED, seed: int = 0) -> SimulatedFleet:
        settings = FleetSettings(
            nodes=NODES,
            zones=ZONES,
            profile=profile,
            source=SourceProperties(durable=True),
            readers_limit=1000,
            seed=seed,
        )
        fleet = SimulatedFleet(settings, tree_for_edit(1))
        fleet.start_all()
        fleet.run(8.0 + profile.read_wait)  # until reads opened at the start have ended
        self.assertTrue(all(process.serving for process in fleet.processes.values()))
        return fleet

    def readers(self, fleet: SimulatedFleet) -> list[str]:
        return [
            name
            for name, process in fleet.processes.items()
            if process.core.replication.reader.reading
        ]

    def nodes_behind(self, fleet: SimulatedFleet, number: int) -> list[str]:
        return [
            name
            for name, process in fleet.processes.items()
            if process.core.replication.replica.in_force_number < number
        ]

    def edit(self, fleet: SimulatedFleet) -> int:
        return fleet.edit(tree_for_edit(len(fleet.source.versions) + 1), valid=True)

    def test_few_nodes_read_and_an_edit_reaches_all_quickly(self) -> None:
        fleet = self.start_fleet()
        self.assertEqual(len(self.readers(fleet)), READERS)
        calls = fleet.source.counts.total
        number = self.edit(fleet)
        fleet.run(0.2)
        self.assertEqual(self.nodes_behind(fleet, number), [])
        fleet.run(20.0)
        self.assertLessEqual(fleet.source.counts.total - calls, 4 * READERS)

    def test_an_edit_comes_into_force_although_all_readers_died_just_before(self) -> None:
        fleet = self.start_fleet()
        fleet.kill(self.readers(fleet))
        number = self.edit(fleet)
        fleet.run(EDIT_BOUND)
        self.assertEqual(self.nodes_behind(fleet, number), [])
        fleet.run(10.0)
        self.assertLessEqual(len(self.readers(fleet)), READERS)

    def test_without_a_takeover_the_edit_does_not_reach_the_zones_of_dead_readers(self) -> None:
        fleet = self.start_fleet(msgspec.structs.replace(LEASED, reader_lease=60.0))
        fleet.kill(self.readers(fleet))
        number = self.edit(fleet)
        fleet.run(EDIT_BOUND)
        self.assertNotEqual(self.nodes_behind(fleet, number), [])

    def test_during_an_outage_some_nodes_read_and_then_report_the_next_edit(self) -> None:
        fleet = self.start_fleet()
        before = fleet.source.counts.total
        fleet.source.fail()
        fleet.machine_list.fail()
        fleet.run(2.5)
        self.assertLessEqual(len(self.readers(fleet)), NODES * 3 // 4)
        self.assertLess(fleet.source.counts.total - before, 3 * NODES)  # 5 times if every node read
        number = self.edit(fleet)
        fleet.source.recover()
        fleet.machine_list.recover()
        fleet.run(EDIT_BOUND)
        self.assertEqual(self.nodes_behind(fleet, number), [])
        fleet.run(4.0)
        self.assertEqual(len(self.readers(fleet)), READERS)

    def test_a_replacement_serves_the_revision_that_its_peers_confirm(self) -> None:
        fleet = self.start_fleet()
        number = self.edit(fleet)
        fleet.source.stale_lag = fleet.machine_list.stale_lag = 3.0
        fleet.run(0.5)
        replaced = [name for name in fleet.names if name not in self.readers(fleet)][:10]
        fleet.kill(replaced)
        fleet.run(0.2)
        calls = fleet.source.counts.total
        fleet.start(replaced)
        fleet.run(1.0)
        self.assertTrue(all(fleet.processes[name].serving for name in replaced))
        self.assertEqual(self.nodes_behind(fleet, number), [])
        self.assertLessEqual(fleet.source.counts.total - calls, 2 * READERS)

    def test_a_resumed_node_serves_again_only_with_the_newest_edit(self) -> None:
        fleet = self.start_fleet()
        paused_node = next(name for name in fleet.names if name not in self.readers(fleet))
        process = fleet.processes[paused_node]
        fleet.pause([paused_node])
        fleet.run(5.0)  # more reports arrive than the kernel buffers, so that the edit's is lost
        number = self.edit(fleet)
        fleet.resume([paused_node])
        self.assertFalse(process.serving)
        while not process.serving:
            fleet.run(0.01)
        self.assertEqual(process.core.replication.replica.in_force_number, number)

    def run_faults(self, seed: int) -> SimulatedFleet:
        fleet = self.start_fleet(seed=seed)
        random = Random(seed)
        for _ in range(8):
            names = random.sample(fleet.names, random.randint(1, NODES // 2))
            fault = random.choice(("kill", "readers", "pause", "outage", "edit", "loss"))
            if fault in ("kill", "readers"):
                fleet.kill(names if fault == "kill" else self.readers(fleet))
                fleet.run(random.random())
                fleet.start(fleet.names)
            elif fault == "pause":
                fleet.pause(names)
                fleet.run(3 * random.random())
                fleet.resume(names)
            elif fault == "outage":
                fleet.source.fail()
                fleet.record_source_fault("outage")
                fleet.run(3 * random.random())
                fleet.source.recover()
                fleet.record_source_fault("none")
            elif fault == "loss":
                fleet.network.impairments.loss = 0.1
                fleet.run(2.0)
                fleet.network.impairments.loss = 0.0
            self.edit(fleet)
            fleet.run(random.random())
        fleet.run(15.0)
        return fleet

    def test_random_faults_violate_no_guarantee(self) -> None:
        for seed in range(4):
            with self.subTest(seed):
                fleet = self.run_faults(seed)
                self.assertEqual(self.nodes_behind(fleet, len(fleet.source.versions)), [])
                verdicts = check_history(fleet.history, SIMULATION_BOUNDS, CheckGroup.CONFIGURATION)
                violated = [item for item in verdicts if item.judgement is Judgement.VIOLATED]
                self.assertEqual(violated, [])


if __name__ == "__main__":
    unittest.main()
