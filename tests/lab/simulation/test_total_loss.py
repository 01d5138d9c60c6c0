"""A fleet whose nodes are all replaced, and fleets whose regions or zones are cut off."""

import unittest

from pewtertack.lab.history.checker import CheckGroup, check_history
from pewtertack.lab.history.verdicts import Guarantee, Judgement
from pewtertack.lab.simulation.documents import tree_for_edit
from pewtertack.lab.simulation.execution import SIMULATION_BOUNDS
from pewtertack.lab.simulation.fleet import FleetSettings, SimulatedFleet


def violated(fleet: SimulatedFleet) -> list[Guarantee]:
    verdicts = check_history(fleet.history, SIMULATION_BOUNDS, CheckGroup.CONFIGURATION)
    return [verdict.promise for verdict in verdicts if verdict.judgement is Judgement.VIOLATED]


def serving_count(fleet: SimulatedFleet) -> int:
    return sum(process.serving for process in fleet.processes.values())


class TotalLossTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = SimulatedFleet(FleetSettings(nodes=9, zones=3), tree_for_edit(1))
        self.fleet.start_all()
        self.fleet.run(6.0)
        self.fleet.edit(tree_for_edit(2), valid=True)
        self.fleet.run(2.0)

    def replace_all(self) -> None:
        self.fleet.kill(self.fleet.names)
        self.fleet.run(1.0)
        self.fleet.start(self.fleet.names)

    def test_a_new_fleet_serves_the_revision_of_the_source(self) -> None:
        self.replace_all()
        self.fleet.run(10.0)
        self.assertEqual(serving_count(self.fleet), 9)
        self.fleet.run(60.0)
        self.fleet.heal()
        self.assertEqual(violated(self.fleet), [])

    def test_a_new_fleet_does_not_serve_until_the_source_responds(self) -> None:
        self.fleet.record_source_fault("outage")
        self.fleet.source.fail()
        self.replace_all()
        self.fleet.run(30.0)
        self.assertEqual(serving_count(self.fleet), 0)
        self.fleet.source.recover()
        self.fleet.record_source_fault("none")
        self.fleet.run(20.0)
        self.assertEqual(serving_count(self.fleet), 9)

    def test_a_stale_source_reverts_a_new_fleet_which_is_a_known_limit(self) -> None:
        self.fleet.source.hide_versions_above(1)
        self.replace_all()
        self.fleet.run(10.0)
        self.fleet.heal()
        self.assertIn(Guarantee.REVISIONS_MONOTONIC, violated(self.fleet))


class RegionCutTest(unittest.TestCase):
    def test_the_smaller_region_keeps_serving_and_catches_up_after_the_heal(self) -> None:
        fleet = SimulatedFleet(FleetSettings(nodes=15, zones=5, regions=2), tree_for_edit(1))
        fleet.start_all()
        fleet.run(6.0)
        near, far = ("zone-0", "zone-1", "zone-2"), ("zone-3", "zone-4")
        for one in near:
            for other in far:
                fleet.cut(one, other)
                fleet.cut(other, one)
        for number in range(2, 6):
            fleet.edit(tree_for_edit(number), valid=True)
            fleet.run(60.0)
        self.assertEqual(serving_count(fleet), 15)
        self.assertEqual(self.in_force(fleet, near), {5})
        self.assertEqual(self.in_force(fleet, far), {1})
        fleet.heal()
        fleet.run(SIMULATION_BOUNDS.convergence)
        self.assertEqual(self.in_force(fleet, far), {5})
        fleet.run(SIMULATION_BOUNDS.recovery)
        fleet.heal()
        self.assertEqual(violated(fleet), [])

    def test_a_cut_off_zone_whose_nodes_are_all_replaced_does_not_form_a_fleet(self) -> None:
        fleet = SimulatedFleet(FleetSettings(nodes=9, zones=3), tree_for_edit(1))
        fleet.start_all()
        fleet.run(6.0)
        fleet.edit(tree_for_edit(2), valid=True)
        fleet.run(3.0)
        for other in ("zone-1", "zone-2"):
            fleet.cut("zone-0", other)
            fleet.cut(other, "zone-0")
        fleet.source.hide_versions_above(1)
        zone = fleet.names[::3]
        fleet.kill(zone)
        fleet.run(0.5)
        fleet.start(zone)
        fleet.run(30.0)
        self.assertEqual(serving_count(fleet), 6)
        fleet.heal()
        fleet.run(SIMULATION_BOUNDS.convergence)
        self.assertEqual(serving_count(fleet), 9)
        fleet.heal()
        self.assertEqual(violated(fleet), [])

    def in_force(self, fleet: SimulatedFleet, zones: tuple[str, ...]) -> set[int]:
        return {
            process.core.replication.replica.in_force_number
            for process in fleet.processes.values()
            if process.identity.zone in zones
        }


if __name__ == "__main__":
    unittest.main()
