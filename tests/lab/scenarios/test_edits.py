"""Random edits of the trees of both deployments, and the catalogue of scenarios."""

import unittest
from pathlib import Path

from pewtertack.core.configuration.validation import check_document
from pewtertack.lab.deployments import DEPLOYMENTS, read_tree, shape_of
from pewtertack.lab.errors import LabUsageError, UnknownScenarioError
from pewtertack.lab.scenarios.catalogue import SCENARIOS, find_scenario
from pewtertack.lab.scenarios.edits import TreeEditor

EXAMPLES = Path(__file__).resolve().parents[3] / "examples"


class TreeEditorTest(unittest.TestCase):
    def test_valid_edits_pass_validation_and_invalid_ones_do_not(self) -> None:
        for name in DEPLOYMENTS:
            tree = read_tree(EXAMPLES / name / "tree.toml")
            editor = TreeEditor(tree, seed=3)
            for _ in range(30):
                self.assertEqual(check_document(editor.make_valid_edit()), ())
                self.assertEqual(check_document(editor.move_route()), ())
                self.assertNotEqual(check_document(editor.make_invalid_edit()), ())
            self.assertEqual(tree, read_tree(EXAMPLES / name / "tree.toml"))

    def test_consecutive_edits_differ_and_depend_only_on_the_seed(self) -> None:
        tree = shape_of("lagos", EXAMPLES).tree
        first, second = TreeEditor(tree, 5), TreeEditor(tree, 5)
        edits = [first.make_valid_edit() for _ in range(20)]
        self.assertEqual(edits, [second.make_valid_edit() for _ in range(20)])
        self.assertTrue(all(a != b for a, b in zip(edits, edits[1:], strict=False)))


class CatalogueTest(unittest.TestCase):
    def test_every_scenario_has_a_description(self) -> None:
        for name, scenario in SCENARIOS.items():
            self.assertTrue(scenario.description.endswith("."), name)

    def test_unknown_names_raise_specific_errors(self) -> None:
        with self.assertRaises(UnknownScenarioError):
            find_scenario("none")
        with self.assertRaises(LabUsageError):
            shape_of("atlantis", EXAMPLES)
