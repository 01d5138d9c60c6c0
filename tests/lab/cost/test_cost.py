"""Sampling of processes, figures of the cost report, and a short measurement of real processes."""

import os
import unittest
from dataclasses import replace
from pathlib import Path

from pewtertack.lab.cost.measurement import NodeCostSettings, measure_node_cost
from pewtertack.lab.cost.report import MeasuredState, Spread, Window, format_node_cost, state_cost
from pewtertack.lab.cost.sampling import ProcessMemory, parse_memory, sample_process
from pewtertack.lab.deployments import shape_of

EXAMPLES = Path(__file__).resolve().parents[3] / "examples"
SMAPS_ROLLUP = """\
55d0-7ffe ---p 00000000 00:00 0    [rollup]
Rss:               23412 kB
Pss:               15000 kB
Private_Clean:        10 kB
Private_Dirty:     12700 kB
"""


class SamplingTest(unittest.TestCase):
    def test_memory_is_parsed_to_bytes(self) -> None:
        self.assertEqual(parse_memory(SMAPS_ROLLUP), ProcessMemory(23412 * 1024, 12710 * 1024))

    def test_sampled_processor_time_of_a_busy_process_increases(self) -> None:
        first = sample_process(os.getpid())
        while (last := sample_process(os.getpid())).processor_seconds == first.processor_seconds:
            pass
        self.assertGreater(last.time, first.time)
        self.assertGreater(last.memory.resident_bytes, 0)


class SpreadTest(unittest.TestCase):
    def test_cost_of_a_state_covers_only_its_own_windows(self) -> None:
        windows = [
            Window(state, 1.0, share, 10, 5, 0, 0)
            for state, share in (
                (MeasuredState.IDLE, 0.3),
                (MeasuredState.IDLE, 0.1),
                (MeasuredState.LOADED, 9.0),
            )
        ]
        self.assertEqual(
            state_cost(MeasuredState.IDLE, windows).processor_share, Spread(0.2, 0.1, 0.3)
        )


class NodeCostTest(unittest.IsolatedAsyncioTestCase):
    async def test_short_run_measures_every_state(self) -> None:
        shape = replace(shape_of("lagos", EXAMPLES, 1), services={"logbook": 1, "archive": 1})
        settings = NodeCostSettings(rate=30.0, rounds=1, window_seconds=1.0, warm_up_seconds=0.5)
        report = await measure_node_cost(shape, settings, lambda line: None)
        self.assertEqual([cost.state for cost in report.states], list(MeasuredState))
        self.assertGreater(report.windows[-1].calls, 0)
        self.assertGreater(report.proxy_memory, 0)
        self.assertIn("control work", format_node_cost(report))
