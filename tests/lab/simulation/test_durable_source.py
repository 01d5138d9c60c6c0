"""Fleets with a durable source, compared with a source that may lose acknowledged edits."""

import unittest
from random import Random

from pewtertack.core.profile import DIRECT, FAST, SourceProperties, TimingProfile
from pewtertack.lab.history.checker import CheckGroup, check_history
from pewtertack.lab.history.verdicts import Guarantee, Judgement
from pewtertack.lab.simulation.documents import invalid_tree_for_edit, tree_for_edit
from pewtertack.lab.simulation.execution import SIMULATION_BOUNDS, without_mechanism
from pewtertack.lab.simulation.fleet import FleetSettings, SimulatedFleet

DURABLE = SourceProperties(durable=True)
BOUND = 2.0
"""Seconds within which an edit must be in force on every node that is up."""


def start_fleet(
    source: SourceProperties, profile: TimingProfile = DIRECT, seed: int = 0
) -> SimulatedFleet:
    settings = FleetSettings(nodes=12, zones=4, profile=profile, source=source, seed=seed)
    fleet = SimulatedFleet(settings, tree_for_edit(1))
    fleet.start_all()
    fleet.run(6.0)
    return fleet


def in_force(fleet: SimulatedFleet) -> set[int]:
    return {
        process.core.replication.replica.in_force_number for process in fleet.processes.values()
    }


def violated(fleet: SimulatedFleet) -> list[Guarantee]:
    verdicts = check_history(fleet.history, SIMULATION_BOUNDS, CheckGroup.CONFIGURATION)
    return [verdict.promise for verdict in verdicts if verdict.judgement is Judgement.VIOLATED]


class MajorityPausedTest(unittest.TestCase):
    def pause_majority(self, fleet: SimulatedFleet) -> None:
        fleet.pause(fleet.names[:9])
        fleet.edit(tree_for_edit(2), valid=True)

    def test_an_edit_is_in_force_on_the_other_nodes_while_a_majority_is_paused(self) -> None:
        fleet = start_fleet(DURABLE)
        self.pause_majority(fleet)
        fleet.run(BOUND)
        other_nodes = [fleet.processes[name] for name in fleet.names[9:]]
        numbers = {item.core.replication.replica.in_force_number for item in other_nodes}
        self.assertEqual(numbers, {2})

    def test_without_a_durable_source_an_edit_needs_a_majority(self) -> None:
        fleet = start_fleet(SourceProperties(), FAST)
        self.pause_majority(fleet)
        fleet.run(BOUND)
        other_nodes = [fleet.processes[name] for name in fleet.names[9:]]
        numbers = {item.core.replication.replica.in_force_number for item in other_nodes}
        self.assertEqual(numbers, {1})


class SourceDownTest(unittest.TestCase):
    def test_replacements_serve_the_revision_that_their_peers_hold(self) -> None:
        fleet = start_fleet(DURABLE)
        fleet.edit(tree_for_edit(2), valid=True)
        fleet.run(BOUND)
        fleet.source.fail()
        fleet.machine_list.fail()
        fleet.kill(fleet.names[:6])
        fleet.run(0.5)
        fleet.start(fleet.names[:6])
        fleet.run(6.0)
        self.assertEqual(in_force(fleet), {2})
        self.assertTrue(all(process.serving for process in fleet.processes.values()))


class StaleReadTest(unittest.TestCase):
    """A node does not revert to an older revision after a stale read of a durable source."""

    def run_stale_read(self, profile: TimingProfile) -> SimulatedFleet:
        fleet = start_fleet(DURABLE, profile)
        fleet.edit(tree_for_edit(2), valid=True)
        fleet.run(BOUND)
        fleet.source.hide_versions_above(1)
        fleet.run(15.0)
        fleet.source.recover()
        fleet.run(10.0)
        return fleet

    def test_a_stale_read_does_not_revert_the_revision(self) -> None:
        self.assertEqual(violated(self.run_stale_read(DIRECT)), [])

    def test_the_check_notices_a_fleet_that_reverts(self) -> None:
        profile = without_mechanism(DIRECT, "monotonic_numbers")
        profile = without_mechanism(profile, "quorum_gate")  # commit marks would hide the fault
        self.assertIn(Guarantee.REVISIONS_MONOTONIC, violated(self.run_stale_read(profile)))


class RandomFaultsTest(unittest.TestCase):
    """Random kills, pauses, outages and edits violate no guarantee."""

    def run_faults(self, seed: int) -> SimulatedFleet:
        fleet = start_fleet(DURABLE, seed=seed)
        random = Random(seed)
        number = 1
        for _ in range(12):
            names = random.sample(fleet.names, random.randint(1, 8))
            fault = random.choice(("kill", "pause", "outage", "edit", "bad-edit"))
            if fault == "kill":
                fleet.kill(names)
                fleet.run(random.random())
                fleet.start(names)
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
            else:
                number += 1
                valid = fault == "edit"
                fleet.edit((tree_for_edit if valid else invalid_tree_for_edit)(number), valid=valid)
            fleet.run(random.random())
        fleet.run(20.0)
        return fleet

    def test_no_guarantee_is_violated(self) -> None:
        for seed in range(20):
            with self.subTest(seed):
                self.assertEqual(violated(self.run_faults(seed)), [])
