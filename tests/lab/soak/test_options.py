"""Invalid options of a soak; exit code, verdict and report of a result."""

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

HELD_RESULT = SoakResult(
    minutes=1.0,
    seed=1,
    nodes=4,
    disabled_mechanism="",
    seconds=75.0,
    interrupted=False,
    faults={"stop": 3},
    routes={},
    verdicts=[Verdict(guarantee, Judgement.HELD, 9) for guarantee in REQUIRED],
    problems=[],
    resident_megabytes=30.0,
    descriptors=50,
)
VIOLATION = Violation(1.0, "call-1", "no answer")
VIOLATED_VERDICT = Verdict(Guarantee.SHUTDOWN_ANSWERS_ALL, Judgement.VIOLATED, 9, (VIOLATION,))


class SoakOptionsTest(unittest.TestCase):
    def test_invalid_options_are_rejected(self) -> None:
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

    def test_too_little_memory_is_rejected(self) -> None:
        with (
            mock.patch.object(soak_options, "available_memory", return_value=1e8),
            self.assertRaises(SoakOptionError),
        ):
            SoakOptions(1.0, 1)

    def test_every_node_of_the_smallest_fleet_has_a_gateway(self) -> None:
        plan = plan_fleet(soak_fleet_shape(SoakOptions(1.0, 1, soak_options.MIN_NODES)))
        self.assertTrue(all(node.gateway for node in plan.nodes.values()))


class SoakResultTest(unittest.TestCase):
    def test_exit_code_and_verdict_of_results(self) -> None:
        replace = msgspec.structs.replace
        violated = replace(HELD_RESULT, verdicts=[*HELD_RESULT.verdicts, VIOLATED_VERDICT])
        for result, code, verdict in (
            (HELD_RESULT, ExitCode.OK, "held"),
            (violated, ExitCode.FOUND, "violated"),
            (replace(violated, interrupted=True), ExitCode.FOUND, "violated"),
            (replace(HELD_RESULT, problems=["a node is gone"]), ExitCode.FOUND, "violated"),
            (replace(HELD_RESULT, verdicts=[]), ExitCode.FOUND, "not put to the test"),
            (replace(HELD_RESULT, interrupted=True), ExitCode.UNUSABLE_INPUT, "interrupted"),
        ):
            self.assertEqual((result.exit_code, result.verdict), (code, verdict))

    def test_reports_name_the_offence_and_end_with_the_verdict(self) -> None:
        result = msgspec.structs.replace(
            HELD_RESULT, verdicts=[*HELD_RESULT.verdicts, VIOLATED_VERDICT]
        )
        text = format_result(result)
        self.assertIn("call-1: no answer", text)
        self.assertTrue(text.endswith("violated"))
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "report.md"
            write_report(result, path)
            self.assertIn("call-1: no answer", path.read_text())
