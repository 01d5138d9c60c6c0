"""Run the unittest suite and print a last line ``N passed, N failed``.

Tests named in KNOWN-RED.txt (``test id: cause: issue``) run like all others; their failures are
printed but do not make the run fail.
"""

from __future__ import annotations

import sys
import unittest
from pathlib import Path

import hypothesis
from hypothesis import strategies

REPOSITORY = Path(__file__).resolve().parent.parent
KNOWN_RED_FILE = REPOSITORY / "KNOWN-RED.txt"


def read_known_red() -> list[str]:
    """Return the test ids that KNOWN-RED.txt lists, in the file's order."""
    if not KNOWN_RED_FILE.exists():
        return []
    lines = KNOWN_RED_FILE.read_text().splitlines()
    entries = [line for line in lines if line.strip() and not line.startswith("#")]
    return [line.split(":")[0].strip() for line in entries]


def failed_test_ids(result: unittest.TestResult) -> set[str]:
    """Return the ids of all tests that failed, raised an error or passed unexpectedly."""
    outcomes = result.failures + result.errors
    ids = {_test_method_id(test) for test, _ in outcomes}
    return ids | {test.id() for test in result.unexpectedSuccesses}


def _test_method_id(test: unittest.TestCase) -> str:
    """Return the id of the test method, including for a failure in a subtest."""
    return getattr(test, "test_case", test).id()


def read_source_constants() -> None:
    """Have Hypothesis read the constants of all loaded modules, which its first draw does.

    That takes seconds once all tests are loaded, and would count as the time of a property test.
    """
    hypothesis.find(strategies.integers(), lambda _: True)


def main() -> int:
    """Run every test below ``tests`` and return the process exit code."""
    known_red = read_known_red()
    suite = unittest.defaultTestLoader.discover(
        str(REPOSITORY / "tests"), top_level_dir=str(REPOSITORY)
    )
    read_source_constants()
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    failed = failed_test_ids(result)
    known_failures = failed & set(known_red)
    for test_id in sorted(known_failures):
        print(f"known red: {test_id}")
    skipped = len(result.skipped)
    passed = result.testsRun - skipped - len(failed)
    new_failure_count = len(failed - known_failures)
    print(
        f"{max(passed, 0)} passed, {new_failure_count} failed"
        + (f", {skipped} skipped" if skipped else "")
    )
    return 1 if new_failure_count or passed < 1 else 0


if __name__ == "__main__":
    sys.exit(main())
