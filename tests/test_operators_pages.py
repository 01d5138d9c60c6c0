"""The pages and examples for operators match the code."""

import re
import unittest
from pathlib import Path

import msgspec

from pewtertack.cli.node import FLAGS
from pewtertack.settings import load_settings
from pewtertack.settings.schema import Settings

ROOT = Path(__file__).resolve().parent.parent
TABLE_ROW = re.compile(r"^\| `?([\w.-]+)`? \|(.*)$", re.MULTILINE)


class OperationsPageTest(unittest.TestCase):
    def test_every_setting_has_a_row_with_its_flag(self) -> None:
        page = (ROOT / "docs" / "OPERATIONS.md").read_text()
        rows = {name: rest for name, rest in TABLE_ROW.findall(page) if "." in name}
        expected = {
            f"{section.name}.{key.name}"
            for section in msgspec.structs.fields(Settings)
            for key in msgspec.structs.fields(section.type)
        }
        self.assertEqual(set(rows), expected)
        for flag, (setting, _) in FLAGS.items():
            self.assertIn(f"`{flag}`", rows[str(setting)])


class DependenciesPageTest(unittest.TestCase):
    def test_rows_are_exactly_the_pinned_packages(self) -> None:
        pins = {
            line.split("==")[0]
            for name in ("requirements.txt", "requirements-dev.txt")
            for line in (ROOT / name).read_text().splitlines()
            if "==" in line
        }
        page = (ROOT / "docs" / "DEPENDENCIES.md").read_text()
        self.assertEqual({name for name, _ in TABLE_ROW.findall(page)} - {"package"}, pins)


class ExampleSettingsTest(unittest.TestCase):
    def test_node_settings_of_both_deployments_are_valid(self) -> None:
        for deployment, profile in (("lagos", "frugal"), ("kolkata", "fast")):
            settings = load_settings(ROOT / "examples" / deployment / "node.toml")
            self.assertEqual(settings.profile.name.value, profile)
            self.assertEqual(settings.node.region.text, deployment)
