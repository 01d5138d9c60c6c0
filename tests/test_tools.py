"""Every program under ``tools`` runs and prints its figures; here with few rounds."""

import contextlib
import io
import os
import runpy
import subprocess
import sys
import unittest
from pathlib import Path
from typing import Any

SOURCE_DIRECTORY = Path(__file__).resolve().parent.parent / "src"
TOOLS = Path(__file__).resolve().parent.parent / "tools"
TESTED_ELSEWHERE = {"run_tests.py", "write_reference.py"}
"""The first runs this test, the second is the subject of ``tests.test_events``."""


def output_of(tool: str, **options: Any) -> str:
    """Run a tool's ``main`` with options and return what it prints."""
    main = runpy.run_path(str(TOOLS / tool))["main"]
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        main(**options)
    return output.getvalue()


class ToolsTest(unittest.TestCase):
    def test_frames_of_each_kind_are_measured(self) -> None:
        lines = output_of("measure_frames.py", round_frames=10, fleet_size=3).splitlines()
        self.assertEqual(len(lines), 6)
        for line in lines[:-1]:
            self.assertRegex(line, r"\d+ bytes, encode +[\d.]+ us, read +[\d.]+ us$")
        self.assertRegex(lines[-1], r"of 3 processes: \d+ KiB$")

    def test_validation_and_resolution_are_measured(self) -> None:
        lines = output_of("measure_validation.py", calls=2).splitlines()
        names = [line.partition(":")[0] for line in lines]
        self.assertEqual(
            names, ["check_document", "resolve_checked", "resolve_document", "digest_of"]
        )
        for line in lines:
            self.assertRegex(line, r"min [\d.]+ ms, median [\d.]+ ms$")

    def test_a_change_is_measured_by_its_parts(self) -> None:
        # The tool replaces functions of the modules that it measures.
        command = [sys.executable, str(TOOLS / "measure_change.py"), "60", "20"]
        environment = os.environ | {"PYTHONPATH": str(SOURCE_DIRECTORY)}
        result = subprocess.run(
            command, capture_output=True, text=True, check=True, env=environment, timeout=100
        )
        for operation in ("read", "respond with the change", "receive the change"):
            self.assertRegex(result.stdout, rf"(?m)^{operation}: [\d.]+ ms")

    def test_every_tool_is_tested(self) -> None:
        tested = {"measure_frames.py", "measure_validation.py", "measure_change.py"}
        self.assertEqual({path.name for path in TOOLS.glob("*.py")}, tested | TESTED_ELSEWHERE)
