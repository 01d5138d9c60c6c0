"""Limits the processor cost of a hop over two nodes to the values that were reached.

Processor time depends on the machine and on its other processes; the number of function calls of a
hop does not, so that is limited. Each test names the number of calls at f5f3f18, at b317649 and
now, as ``pewtertack lab request-cost --profile --calls 100`` counts them: the back end's responses
arrive in one piece, the log's clock advances with its lines, and connection, request and end are
separate. ``docs/COST.md`` has the processor times.
"""

import unittest

from pewtertack.lab.cost.calls import CallKind
from pewtertack.lab.cost.requests import RequestCostSettings, measure_request_costs

CALLS = 100


class HopCostTest(unittest.TestCase):
    def function_calls_of(self, kind: CallKind) -> float:
        settings = RequestCostSettings(calls=CALLS, kinds=(kind,), profile=True)
        costs, _ = measure_request_costs(settings)
        function_calls = costs[0].functions
        assert function_calls is not None
        return function_calls

    def test_a_served_hop(self) -> None:
        """1430 calls, then 1070, now 1012; the best value before that was 1040."""
        self.assertLess(self.function_calls_of(CallKind.SERVED), 1040)

    def test_a_served_hop_whose_response_arrives_in_two_pieces(self) -> None:
        """1505 calls, then 1136, now 1076."""
        self.assertLess(self.function_calls_of(CallKind.SERVED_PIECES), 1090)

    def test_a_refused_hop(self) -> None:
        """1495 calls, then 1105, now 1044; the best value before that was 1066."""
        self.assertLess(self.function_calls_of(CallKind.REFUSED), 1066)

    def test_a_hop_that_opens_both_onward_connections(self) -> None:
        """2607 calls, then 1694, now 1362."""
        self.assertLess(self.function_calls_of(CallKind.SERVED_NEW_CONNECTIONS), 1610)

    def test_a_hop_on_a_new_connection_of_its_caller(self) -> None:
        """1773 calls, then 1254, now 1190."""
        self.assertLess(self.function_calls_of(CallKind.NEW_CALLER_CONNECTION), 1200)

    def test_a_probe_of_a_gateway(self) -> None:
        """505 calls, then 313, now 308."""
        self.assertLess(self.function_calls_of(CallKind.PROBE), 320)
