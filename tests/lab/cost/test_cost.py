"""The cost report's figures, and a short run on real processes."""

import os
import unittest
from dataclasses import replace
from pathlib import Path

from pewtertack.lab.cost.measurement import NodeCostSettings, measure_node_cost
from pewtertack.lab.cost.report import Spread, State, Window, cost_of, format_node_cost
from pewtertack.lab.cost.sampling import ProcessMemory, parse_memory, sample_process
from pewtertack.lab.deployments import shape_of

EXAMPLES = Path(__file__).resolve().parents[3] / "examples"
ROLLUP = """\
55d0-7ffe ---p 00000000 00:00 0    [rollup]
Rss:               23412 kB
Pss:               15000 kB
Private_Clean:        10 kB
Private_Dirty:     12700 kB
"""


class SamplingTest(unittest.TestCase):
    def test_memory_is_in_bytes(self) -> None:
        self.assertEqual(parse_memory(ROLLUP), ProcessMemory(23412 * 1024, 12710 * 1024))

    def test_a_process_uses_what_it_spends(self) -> None:
        first = sample_process(os.getpid())
        while (last := sample_process(os.getpid())).processor_seconds == first.processor_seconds:
            pass
        self.assertGreater(last.time, first.time)
        self.assertGreater(last.memory.resident, 0)


class SpreadTest(unittest.TestCase):
    def test_a_state_is_the_median_of_its_own_windows(self) -> None:
        windows = [
            Window(state, 1.0, share, 10, 5, 0, 0)
            for state, share in ((State.REST, 0.3), (State.REST, 0.1), (State.LOADED, 9.0))
        ]
        self.assertEqual(cost_of(State.REST, windows).processor_share, Spread(0.2, 0.1, 0.3))


class NodeCostTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_short_run_measures_every_state(self) -> None:
        shape = replace(shape_of("lagos", EXAMPLES, 1), services={"logbook": 1, "archive": 1})
        settings = NodeCostSettings(rate=30.0, rounds=1, window_seconds=1.0, warm_up_seconds=0.5)
        report = await measure_node_cost(shape, settings, lambda line: None)
        self.assertEqual([cost.state for cost in report.states], list(State))
        self.assertGreater(report.windows[-1].calls, 0)
        self.assertGreater(report.proxy_memory, 0)
        self.assertIn("control work", format_node_cost(report))
