"""Invalid options of a convergence run are typed errors; valid ones form a grid of points."""

import io
import math
import sys
import unittest
from contextlib import redirect_stderr
from typing import Any
from unittest import mock

from pewtertack.__main__ import main
from pewtertack.cli.exit_codes import ExitCode
from pewtertack.lab.convergence.options import ConvergenceOptions, GridPoint
from pewtertack.lab.errors import ConvergenceOptionError, LabUsageError

VALID_OPTIONS: dict[str, Any] = {"nodes": [18], "routes": [10], "answers": [0.5]}


class ConvergenceOptionsTest(unittest.TestCase):
    def test_every_combination_is_a_point(self) -> None:
        options = ConvergenceOptions([3, 18], [1, 2000], [0.004, 5.0], [0.0, 10.0], 2.0)
        self.assertEqual(len(set(options.points)), 16)
        self.assertEqual(options.points[0], GridPoint(3, 1, 0.004, 0.0, 2.0))

    def test_invalid_option_is_a_typed_error(self) -> None:
        invalid_options: list[dict[str, Any]] = [
            {"nodes": [2]},
            {"nodes": [25]},
            {"nodes": []},
            {"routes": [0]},
            {"routes": [4001]},
            {"answers": [-0.1]},
            {"answers": [math.nan]},
            {"answers": [math.inf]},
            {"links": [0.01]},
            {"links": [-1.0]},
            {"nodes": [1700], "links": [10.0], "virtual": True},
            {"slow_before": -1.0},
            {"seed": -1},
        ]
        for change in invalid_options:
            with self.subTest(change), self.assertRaises(ConvergenceOptionError):
                ConvergenceOptions(**{**VALID_OPTIONS, **change})

    def test_virtual_time_allows_large_fleets(self) -> None:
        options = ConvergenceOptions([1700], [10], [0.5], virtual=True)
        self.assertEqual(options.points[0].nodes, 1700)

    def test_unknown_mechanism_is_a_typed_error(self) -> None:
        with self.assertRaises(LabUsageError):
            ConvergenceOptions(**VALID_OPTIONS, without="nothing")

    def test_command_exits_with_the_code_for_unusable_input(self) -> None:
        command = ["pewtertack", "lab", "convergence", "--answer", "-1"]
        stderr = io.StringIO()
        patched = mock.patch.object(sys, "argv", command)
        with patched, redirect_stderr(stderr), self.assertRaises(SystemExit) as exit_context:
            main()
        self.assertEqual(exit_context.exception.code, ExitCode.UNUSABLE_INPUT)
        self.assertIn("convergence-option", stderr.getvalue())
