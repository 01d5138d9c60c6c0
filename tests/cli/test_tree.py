"""The commands check, explain and diff: output and exit codes."""

import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path
from typing import Any
from unittest import mock

from pewtertack.__main__ import main
from tests.core.configuration.trees import VALID_TREE, with_value


class TreeCommandsTest(unittest.TestCase):
    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)
        self.valid = self.write("valid.json", VALID_TREE)
        changed = with_value(VALID_TREE, "routes.lookup.timeout", "3s")
        self.changed = self.write("changed.json", changed)
        self.invalid = self.write(
            "invalid.json", with_value(VALID_TREE, "routes.lookup.timeout", 3)
        )

    def write(self, name: str, document: Any) -> str:
        path = self.directory / name
        path.write_text(json.dumps(document))
        return str(path)

    def run_command(self, *arguments: str) -> tuple[str | int, str, str]:
        """Return exit code, standard output and standard error of ``pewtertack``."""
        out, err = io.StringIO(), io.StringIO()
        with (
            mock.patch("sys.argv", ["pewtertack", *arguments]),
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(err),
            self.assertRaises(SystemExit) as raised,
        ):
            main()
        return raised.exception.code or 0, out.getvalue(), err.getvalue()

    def run_json(self, *arguments: str) -> tuple[str | int, Any]:
        code, out, _ = self.run_command(*arguments, "--json")
        return code, json.loads(out)

    def test_check_distinguishes_valid_and_rejected_trees(self) -> None:
        code, out, _ = self.run_command("check", self.valid)
        self.assertEqual((0, f"{self.valid}: valid\n"), (code, out))
        self.assertEqual((0, {"valid": True, "findings": []}), self.run_json("check", self.valid))
        code, out, _ = self.run_command("check", self.invalid)
        self.assertEqual(1, code)
        self.assertTrue(out.startswith("routes.lookup.timeout: wrong-unit: "), out)
        code, report = self.run_json("check", self.invalid)
        self.assertEqual(
            (1, False, "wrong-unit"), (code, report["valid"], report["findings"][0]["code"])
        )

    def test_explain_prints_values_with_level_and_path(self) -> None:
        arguments = ("explain", self.changed, "--zone", "lekki", "--route", "lookup")
        code, out, _ = self.run_command(*arguments)
        self.assertEqual(0, code)
        lines = [line.split() for line in out.splitlines()]
        self.assertIn(["timeout", '"3s"', "route", "routes.lookup.timeout"], lines)
        self.assertIn(['"4s"', "zone", "defaults", "zones.lekki.route_defaults.timeout"], lines)
        self.assertIn(
            ["connect_timeout", '"50ms"', "root", "defaults", "service_defaults.connect_timeout"],
            lines,
        )
        code, report = self.run_json(*arguments)
        timeout = next(value for value in report["route_values"] if value["setting"] == "timeout")
        self.assertEqual(("3s", "route"), (timeout["winner"]["value"], timeout["winner"]["level"]))
        self.assertEqual("zone defaults", timeout["losers"][0]["level"])

    def test_diff_prints_changes_of_the_resolved_tree(self) -> None:
        code, out, _ = self.run_command("diff", self.valid, self.changed, "--zone", "yaba")
        self.assertEqual(1, code)
        self.assertIn("changed routes.lookup.timeout: 10.0 -> 3.0\n", out)
        code, report = self.run_json("diff", self.valid, self.changed, "--zone", "yaba")
        self.assertEqual((1, "timeout"), (code, report["changes"][0]["setting"]))
        code, _, err = self.run_command("diff", self.valid, self.valid, "--zone", "unnamed")
        self.assertEqual(0, code)
        self.assertIn("zone unnamed is not in the tree", err)

    def test_unusable_input_exits_with_code_2_and_prints_the_error_code(self) -> None:
        broken = self.directory / "broken.toml"
        broken.write_text("[routes]\nx = \n")
        zone, route = ("--zone", "yaba"), ("--route", "none")
        for error, arguments in [
            ("tree-unreadable", ("check", str(self.directory / "none.toml"))),
            ("tree-format", ("check", str(self.directory))),
            ("tree-syntax", ("check", str(broken))),
            ("tree-rejected", ("diff", self.valid, self.invalid, *zone)),
            ("tree-rejected", ("explain", self.invalid, *zone, *route)),
            ("unknown-route", ("explain", self.valid, *zone, *route)),
        ]:
            with self.subTest(error=error):
                code, out, err = self.run_command(*arguments)
                self.assertEqual((2, ""), (code, out))
                self.assertTrue(err.startswith(f"pewtertack: {error}: "), err)
        code, _, err = self.run_command("explain", self.valid)
        self.assertEqual(2, code)
        self.assertNotIn("Traceback", err)


if __name__ == "__main__":
    unittest.main()
