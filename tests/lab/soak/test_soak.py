"""A short soak of real processes: it holds, it can be interrupted, senseless options start nothing.

The seed's series hold planned stops that overlap, kills, reloads, a frozen back end, a surge of
callers, faults of the source, and its returns from older copies; the fleet is the smallest in which
two nodes may stop at once.

Callers of long answers saw them break off in the middle: a back end had answered, the answer waited
in the line of its gateway's link, and at the end of its drain the node that stopped, the caller's
or the gateway's, cut it. The history shows the execution's end, the SIGTERM, then `REQUEST_CUT` at
the caller's node with nothing between, and `told` with the bytes that had come.
"""

import os
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path

from pewtertack.cli.exit_codes import ExitCode

SOURCE_DIRECTORY = Path(__file__).resolve().parents[3] / "src"
SEED = 22
NODES = 6
SECONDS = 400.0
PARENT_FIELD = 1
"""Position in ``/proc/PID/stat`` after the command's name, see proc(5)."""


def start(*arguments: str) -> subprocess.Popen[str]:
    return subprocess.Popen(
        [sys.executable, "-m", "pewtertack", "lab", "soak", f"--seed={SEED}", *arguments],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        env=os.environ | {"PYTHONPATH": str(SOURCE_DIRECTORY)},
    )


def children_of(parent: int) -> list[int]:
    found = []
    for path in Path("/proc").glob("[0-9]*/stat"):
        try:
            fields = path.read_text().rpartition(") ")[2].split()
        except OSError:
            continue
        if int(fields[PARENT_FIELD]) == parent:
            found.append(int(path.parent.name))
    return found


class SoakTest(unittest.TestCase):
    def test_a_short_soak_holds(self) -> None:
        with tempfile.TemporaryDirectory() as directory:
            report = Path(directory) / "report.md"
            process = start("--minutes=0.4", f"--report={report}")
            output, progress = process.communicate(timeout=SECONDS)
            self.assertEqual(process.returncode, ExitCode.OK, output + progress)
            self.assertIn("nothing violated so far", progress)
            self.assertIn("# Soak: held", report.read_text())
            self.assertRegex(output, r"\breturn [2-9]")
            self.assertRegex(output, r"leaving-gets-no-new-work +held +judged")

    def test_an_interrupted_soak_reports_and_leaves_nothing_running(self) -> None:
        process = start("--minutes=30")
        assert process.stderr is not None
        self.assertIn("faults", process.stderr.readline())
        children = children_of(process.pid)
        process.send_signal(signal.SIGINT)
        output, _ = process.communicate(timeout=SECONDS)
        self.assertEqual(process.returncode, ExitCode.UNUSABLE_INPUT, output)
        self.assertTrue(output.endswith("interrupted\n"))
        self.assertGreater(len(children), NODES)
        self.assertEqual([pid for pid in children if Path(f"/proc/{pid}").exists()], [])

    def test_senseless_options_start_nothing(self) -> None:
        for option in ("--minutes=0", "--nodes=3", "--without=luck"):
            began = time.monotonic()
            process = start(option)
            _, errors = process.communicate(timeout=SECONDS)
            self.assertEqual(process.returncode, ExitCode.UNUSABLE_INPUT)
            self.assertIn("pewtertack: ", errors)
            self.assertLess(time.monotonic() - began, SECONDS)
