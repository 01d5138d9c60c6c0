"""What a hop over two nodes costs the processor, held to what was reached.

Processor time depends on the machine and on what runs beside it; the calls of functions that a
hop takes do not, so they are held. Both figures of each are of ``pewtertack lab request-cost
--profile --calls 100``, on the node as it was at f5f3f18 and on this one; ``docs/COST.md`` has the
processor time beside them.
"""

import unittest

from pewtertack.lab.cost.calls import CallKind
from pewtertack.lab.cost.requests import CostSettings, measure_requests

CALLS = 100


class HopCostTest(unittest.TestCase):
    def functions_of(self, kind: CallKind) -> float:
        settings = CostSettings(calls=CALLS, kinds=(kind,), profile=True)
        costs, _ = measure_requests(settings)
        functions = costs[0].functions
        assert functions is not None
        return functions

    def test_a_served_hop(self) -> None:
        """1419 calls before, 1020 now."""
        self.assertLess(self.functions_of(CallKind.SERVED), 1090)

    def test_a_refused_hop(self) -> None:
        """1490 calls before, 1046 now."""
        self.assertLess(self.functions_of(CallKind.REFUSED), 1120)

    def test_a_hop_that_opens_both_onward_connections(self) -> None:
        """2587 calls before, 1610 now."""
        self.assertLess(self.functions_of(CallKind.SERVED_CONNECTING), 1720)

    def test_a_hop_on_a_new_connection_of_its_caller(self) -> None:
        """1715 calls before, 1187 now."""
        self.assertLess(self.functions_of(CallKind.CONNECTION), 1270)

    def test_a_probe_of_a_gateway(self) -> None:
        """472 calls before, 309 now."""
        self.assertLess(self.functions_of(CallKind.PROBE), 340)
