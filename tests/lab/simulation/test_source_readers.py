"""Number of concurrent reads of the source while many nodes start or are replaced."""

import unittest

from pewtertack.lab.simulation.documents import tree_for_edit
from pewtertack.lab.simulation.fleet import FleetSettings, SimulatedFleet

READERS_LIMIT = 16


class SourceReadersTest(unittest.TestCase):
    def test_few_nodes_read_while_a_large_fleet_starts_and_half_of_it_is_replaced(self) -> None:
        settings = FleetSettings(nodes=150, zones=5, regions=2)
        fleet = SimulatedFleet(settings, tree_for_edit(1))
        fleet.start_all()
        fleet.run(6.0)
        self.assertTrue(all(process.serving for process in fleet.processes.values()))
        fleet.kill(fleet.names[::2])
        fleet.run(1.0)
        fleet.start(fleet.names)
        fleet.run(5.0)
        self.assertTrue(all(process.serving for process in fleet.processes.values()))
        self.assertLessEqual(fleet.source.counts.peak_concurrent, READERS_LIMIT)
        self.assertLessEqual(fleet.machine_list.counts.peak_concurrent, READERS_LIMIT)


if __name__ == "__main__":
    unittest.main()
