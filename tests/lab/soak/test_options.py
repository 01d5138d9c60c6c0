"""Options of a soak that make no sense, and what follows from a result."""

import math
import tempfile
import unittest
from pathlib import Path
from unittest import mock

import msgspec

from pewtertack.cli.exit_codes import ExitCode
from pewtertack.lab.errors import LabUsageError, SoakOptionError
from pewtertack.lab.fleet.plan import plan_fleet
from pewtertack.lab.history.verdicts import Guarantee, Judgement, Verdict, Violation
from pewtertack.lab.soak import options as soak_options
from pewtertack.lab.soak.options import SoakOptions
from pewtertack.lab.soak.report import format_result, write_report
from pewtertack.lab.soak.result import REQUIRED, SoakResult
from pewtertack.lab.soak.shape import soak_fleet_shape

HELD = SoakResult(
    minutes=1.0,
    seed=1,
    nodes=4,
    disabled_mechanism="",
    seconds=75.0,
    interrupted=False,
    faults={"stop": 3},
    routes={},
    verdicts=[Verdict(promise, Judgement.HELD, 9) for promise in REQUIRED],
    problems=[],
    resident_megabytes=30.0,
    descriptors=50,
)
OFFENCE = Violation(1.0, "call-1", "no answer")
BROKEN = Verdict(Guarantee.SHUTDOWN_ANSWERS_ALL, Judgement.VIOLATED, 9, (OFFENCE,))


class SoakOptionsTest(unittest.TestCase):
    def test_what_makes_no_sense_is_refused(self) -> None:
        for minutes in (0.0, -1.0, math.nan, math.inf, 1e9):
            with self.assertRaises(SoakOptionError):
                SoakOptions(minutes, 1)
        for nodes in (0, 2, 5, 1000):
            with self.assertRaises(SoakOptionError):
                SoakOptions(1.0, 1, nodes)
        with self.assertRaises(SoakOptionError):
            SoakOptions(1.0, -1)
        with self.assertRaises(LabUsageError):
            SoakOptions(1.0, 1, disabled_mechanism="luck")

    def test_too_little_memory_is_refused(self) -> None:
        with (
            mock.patch.object(soak_options, "available_memory", return_value=1e8),
            self.assertRaises(SoakOptionError),
        ):
            SoakOptions(1.0, 1)

    def test_the_smallest_fleet_has_a_node_beside_every_back_end(self) -> None:
        plan = plan_fleet(soak_fleet_shape(SoakOptions(1.0, 1, soak_options.FEWEST_NODES)))
        self.assertTrue(all(node.gateway for node in plan.nodes.values()))


class SoakResultTest(unittest.TestCase):
    def test_the_exit_code_says_what_was_found(self) -> None:
        replace = msgspec.structs.replace
        violated = replace(HELD, verdicts=[*HELD.verdicts, BROKEN])
        for result, code, word in (
            (HELD, ExitCode.OK, "held"),
            (violated, ExitCode.FOUND, "violated"),
            (replace(violated, interrupted=True), ExitCode.FOUND, "violated"),
            (replace(HELD, problems=["a node is gone"]), ExitCode.FOUND, "violated"),
            (replace(HELD, verdicts=[]), ExitCode.FOUND, "not put to the test"),
            (replace(HELD, interrupted=True), ExitCode.UNUSABLE_INPUT, "interrupted"),
        ):
            self.assertEqual((result.exit_code, result.verdict), (code, word))

    def test_reports_name_the_offence_and_end_with_the_verdict(self) -> None:
        result = msgspec.structs.replace(HELD, verdicts=[*HELD.verdicts, BROKEN])
        text = format_result(result)
        self.assertIn("call-1: no answer", text)
        self.assertTrue(text.endswith("violated"))
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "report.md"
            write_report(result, path)
            self.assertIn("call-1: no answer", path.read_text())
