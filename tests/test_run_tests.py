"""The program that runs all tests."""

import importlib.util
import unittest
from pathlib import Path
from types import ModuleType
from unittest import mock

PROGRAM = Path(__file__).resolve().parent.parent / "tools" / "run_tests.py"


def load_program() -> ModuleType:
    spec = importlib.util.spec_from_file_location("run_tests", PROGRAM)
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


class RunTestsTest(unittest.TestCase):
    def test_constants_are_read_between_loading_and_running(self) -> None:
        """Guards against a property test that is charged for reading all modules' sources."""
        program = load_program()
        steps = mock.Mock()
        steps.run.return_value = unittest.TestResult()
        with (
            mock.patch.object(unittest.defaultTestLoader, "discover", steps.load),
            mock.patch.object(program.hypothesis, "find", steps.draw),
            mock.patch.object(unittest.TextTestRunner, "run", steps.run),
            mock.patch("builtins.print"),
        ):
            program.main()
        names = [call[0] for call in steps.mock_calls]
        self.assertEqual(names, ["load", "draw", "run"])
