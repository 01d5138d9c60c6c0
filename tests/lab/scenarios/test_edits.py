"""Seeded edits are what they claim to be, for both deployments' trees."""

import unittest
from pathlib import Path

from pewtertack.core.configuration.validation import check_document
from pewtertack.lab.deployments import DEPLOYMENTS, read_tree, shape_of
from pewtertack.lab.errors import LabUsageError, UnknownScenarioError
from pewtertack.lab.scenarios.catalogue import SCENARIOS, find_scenario
from pewtertack.lab.scenarios.edits import TreeEditor

EXAMPLES = Path(__file__).resolve().parents[3] / "examples"


class TreeEditorTest(unittest.TestCase):
    def test_good_edits_are_valid_and_bad_ones_are_not(self) -> None:
        for name in DEPLOYMENTS:
            tree = read_tree(EXAMPLES / name / "tree.toml")
            editor = TreeEditor(tree, seed=3)
            for _ in range(30):
                self.assertEqual(check_document(editor.make_valid_edit()), ())
                self.assertEqual(check_document(editor.move_route()), ())
                self.assertNotEqual(check_document(editor.make_invalid_edit()), ())
            self.assertEqual(tree, read_tree(EXAMPLES / name / "tree.toml"))

    def test_every_edit_differs_and_the_seed_decides(self) -> None:
        tree = shape_of("lagos", EXAMPLES).tree
        first, second = TreeEditor(tree, 5), TreeEditor(tree, 5)
        edits = [first.make_valid_edit() for _ in range(20)]
        self.assertEqual(edits, [second.make_valid_edit() for _ in range(20)])
        self.assertTrue(all(a != b for a, b in zip(edits, edits[1:], strict=False)))


class CatalogueTest(unittest.TestCase):
    def test_every_scenario_says_what_happens(self) -> None:
        for name, scenario in SCENARIOS.items():
            self.assertTrue(scenario.description.endswith("."), name)

    def test_unknown_names_are_typed_errors(self) -> None:
        with self.assertRaises(UnknownScenarioError):
            find_scenario("none")
        with self.assertRaises(LabUsageError):
            shape_of("atlantis", EXAMPLES)
