"""Short measurements: real processes and virtual time find what a quick source must give."""

import tempfile
import unittest
from pathlib import Path

import anyio

from pewtertack.lab.convergence.measurement import measure_processes, measure_virtually
from pewtertack.lab.convergence.options import Point
from pewtertack.lab.convergence.recording import PointResult
from pewtertack.lab.convergence.report import write_report
from pewtertack.lab.convergence.run import ConvergenceReport

ANSWER_SECONDS = 0.3
"""Quicker than any reader's patience."""
BOUND = 1.0
"""Seconds beyond one answer of the source."""
CALM_READS = 18
"""For two documents and three readers, in two long polls of 10 s with one change."""


class MeasurementTest(unittest.TestCase):
    def check(self, result: PointResult) -> None:
        self.assertEqual(result.missing, 0)
        last = result.in_force.last
        assert last is not None
        self.assertGreaterEqual(last, ANSWER_SECONDS)
        self.assertLess(last, ANSWER_SECONDS + BOUND)
        self.assertEqual(result.failed_reads, 0)

    def test_virtual_time(self) -> None:
        result = measure_virtually(Point(18, 50, ANSWER_SECONDS, slow_before=2.0), 1)
        self.check(result)
        self.assertLessEqual(result.calls, CALM_READS)
        self.assertGreater(result.bytes_per_node or 0.0, 0.0)

    def test_virtual_time_repeats_itself(self) -> None:
        point = Point(18, 20, 2.0, slow_before=2.0)
        first, second = measure_virtually(point, 3), measure_virtually(point, 3)
        self.assertEqual(first, second)

    def test_a_narrow_link_takes_its_time(self) -> None:
        point = Point(18, 400, 0.004, link_mbps=1.0, slow_before=2.0)
        wide = Point(18, 400, 0.004, slow_before=2.0)
        narrow_last = measure_virtually(point, 1).in_force.last
        wide_last = measure_virtually(wide, 1).in_force.last
        assert narrow_last is not None and wide_last is not None
        self.assertGreater(narrow_last, wide_last + 0.1)

    def test_processes_behind_links_with_a_rate(self) -> None:
        point = Point(3, 20, ANSWER_SECONDS, link_mbps=20.0, slow_before=0.5)
        result = anyio.run(measure_processes, point, 1, "")
        self.check(result)
        report = ConvergenceReport(label="this program", without="", results=[result])
        with tempfile.TemporaryDirectory() as name:
            page = write_report(report, Path(name)).read_text()
            written = sorted(path.name for path in Path(name).iterdir())
        self.assertIn("| 3 | 0.3 | 20 | 20 |", page)
        self.assertEqual(written, ["calls.svg", "convergence.json", "convergence.svg", "index.md"])
