"""Cyclic garbage collection is off during a node's start and skips objects created by the start."""

import gc
import unittest

from pewtertack.node import collector


class CollectorTest(unittest.TestCase):
    def setUp(self) -> None:
        threshold, enabled = gc.get_threshold(), gc.isenabled()
        self.addCleanup(gc.unfreeze)
        self.addCleanup(gc.set_threshold, *threshold)
        self.addCleanup(gc.enable if enabled else gc.disable)

    def test_nothing_is_collected_during_the_start(self) -> None:
        collector.pause()
        self.assertFalse(gc.isenabled())

    def test_objects_of_the_start_are_frozen(self) -> None:
        collector.pause()
        collector.resume()
        self.assertTrue(gc.isenabled())
        self.assertGreater(gc.get_freeze_count(), 0)

    def test_later_cycles_are_collected(self) -> None:
        collector.pause()
        collector.resume()
        cycle: list[object] = []
        cycle.append(cycle)
        del cycle
        self.assertGreater(gc.collect(), 0)


if __name__ == "__main__":
    unittest.main()
