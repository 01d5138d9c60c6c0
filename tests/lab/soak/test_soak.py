"""Short soaks of real processes: one that holds, one that is interrupted, and invalid options.

With the seed, the soak includes overlapping graceful shutdowns, kills, reloads, a frozen back end,
a surge of callers, faults of the source, and its restores from older copies. The fleet is the
smallest in which two nodes may stop at once.

This guards against long responses that break off midway: a back end had responded, and the response
waited in the link queue of its gateway until the drain of a stopping node ended, the caller's or
the gateway's, which cut it. The history then shows the end of the execution, the SIGTERM, directly
after it `REQUEST_CUT` at the caller's node, and a ``told`` line with the number of bytes received.
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
TIMEOUT_SECONDS = 400.0
PARENT_FIELD = 1
"""Index of the parent process id in ``/proc/PID/stat`` after the command name, see proc(5)."""


def start_soak(*arguments: str) -> subprocess.Popen[str]:
    return subprocess.Popen(
        [sys.executable, "-m", "pewtertack", "lab", "soak", f"--seed={SEED}", *arguments],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        env=os.environ | {"PYTHONPATH": str(SOURCE_DIRECTORY)},
    )


def children_of(parent: int) -> list[int]:
    children = []
    for path in Path("/proc").glob("[0-9]*/stat"):
        try:
            fields = path.read_text().rpartition(") ")[2].split()
        except OSError:
            continue
        if int(fields[PARENT_FIELD]) == parent:
            children.append(int(path.parent.name))
    return children


class SoakTest(unittest.TestCase):
    def test_short_soak_holds(self) -> None:
        with tempfile.TemporaryDirectory() as directory:
            report = Path(directory) / "report.md"
            process = start_soak("--minutes=0.4", f"--report={report}")
            output, progress = process.communicate(timeout=TIMEOUT_SECONDS)
            self.assertEqual(process.returncode, ExitCode.OK, output + progress)
            self.assertIn("nothing violated so far", progress)
            self.assertIn("# Soak: held", report.read_text())
            self.assertRegex(output, r"\breturn [2-9]")
            self.assertRegex(output, r"leaving-gets-no-new-work +held +judged")

    def test_interrupted_soak_reports_and_leaves_no_process_running(self) -> None:
        process = start_soak("--minutes=30")
        assert process.stderr is not None
        self.assertIn("faults", process.stderr.readline())
        children = children_of(process.pid)
        process.send_signal(signal.SIGINT)
        output, _ = process.communicate(timeout=TIMEOUT_SECONDS)
        self.assertEqual(process.returncode, ExitCode.UNUSABLE_INPUT, output)
        self.assertTrue(output.endswith("interrupted\n"))
        self.assertGreater(len(children), NODES)
        self.assertEqual([pid for pid in children if Path(f"/proc/{pid}").exists()], [])

    def test_invalid_options_start_no_process(self) -> None:
        for option in ("--minutes=0", "--nodes=3", "--without=luck"):
            started_at = time.monotonic()
            process = start_soak(option)
            _, errors = process.communicate(timeout=TIMEOUT_SECONDS)
            self.assertEqual(process.returncode, ExitCode.UNUSABLE_INPUT)
            self.assertIn("pewtertack: ", errors)
            self.assertLess(time.monotonic() - started_at, TIMEOUT_SECONDS)
