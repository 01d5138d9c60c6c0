"""Short measurements of a fast source, with real processes and in virtual time."""

import tempfile
import unittest
from pathlib import Path

import anyio

from pewtertack.lab.convergence.measurement import measure_processes, measure_virtually
from pewtertack.lab.convergence.options import GridPoint
from pewtertack.lab.convergence.recording import PointResult
from pewtertack.lab.convergence.report import write_report
from pewtertack.lab.convergence.run import ConvergenceReport

ANSWER_SECONDS = 0.3
"""Shorter than the time for which any reader waits for the source."""
MAX_EXTRA_SECONDS = 1.0
"""Limit of the convergence time beyond one response of the source."""
MAX_CALLS = 18
"""Limit for two documents and three readers, in two long polls of 10 s with one change."""


class MeasurementTest(unittest.TestCase):
    def assert_converged(self, result: PointResult) -> None:
        self.assertEqual(result.missing, 0)
        last = result.in_force.last
        assert last is not None
        self.assertGreaterEqual(last, ANSWER_SECONDS)
        self.assertLess(last, ANSWER_SECONDS + MAX_EXTRA_SECONDS)
        self.assertEqual(result.failed_reads, 0)

    def test_virtual_time_with_a_fast_source(self) -> None:
        result = measure_virtually(GridPoint(18, 50, ANSWER_SECONDS, slow_before=2.0), 1)
        self.assert_converged(result)
        self.assertLessEqual(result.calls, MAX_CALLS)
        self.assertGreater(result.bytes_per_node or 0.0, 0.0)

    def test_virtual_time_is_deterministic(self) -> None:
        point = GridPoint(18, 20, 2.0, slow_before=2.0)
        first, second = measure_virtually(point, 3), measure_virtually(point, 3)
        self.assertEqual(first, second)

    def test_narrow_link_delays_an_edit(self) -> None:
        narrow_point = GridPoint(18, 400, 0.004, link_mbps=1.0, slow_before=2.0)
        wide_point = GridPoint(18, 400, 0.004, slow_before=2.0)
        narrow_last = measure_virtually(narrow_point, 1).in_force.last
        wide_last = measure_virtually(wide_point, 1).in_force.last
        assert narrow_last is not None and wide_last is not None
        self.assertGreater(narrow_last, wide_last + 0.1)

    def test_real_processes_with_limited_links(self) -> None:
        point = GridPoint(3, 20, ANSWER_SECONDS, link_mbps=20.0, slow_before=0.5)
        result = anyio.run(measure_processes, point, 1, "")
        self.assert_converged(result)
        report = ConvergenceReport(label="this program", without="", results=[result])
        with tempfile.TemporaryDirectory() as name:
            page = write_report(report, Path(name)).read_text()
            file_names = sorted(path.name for path in Path(name).iterdir())
        self.assertIn("| 3 | 0.3 | 20 | 20 |", page)
        self.assertEqual(
            file_names, ["calls.svg", "convergence.json", "convergence.svg", "index.md"]
        )
