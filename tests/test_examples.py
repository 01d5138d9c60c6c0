"""The documented examples run successfully."""

import runpy
import unittest
from pathlib import Path

EXAMPLE = Path(__file__).parent.parent / "examples" / "embedding" / "three_replicas.py"
MAX_LINES = 60


class EmbeddingExampleTest(unittest.TestCase):
    def test_three_embedded_replicas_bring_the_revision_into_force(self) -> None:
        program = runpy.run_path(str(EXAMPLE))["Program"]()
        program.run(seconds=5.0)
        self.assertEqual(program.in_force, {"one": 1, "two": 1, "three": 1})

    def test_the_example_stays_short(self) -> None:
        self.assertLess(len(EXAMPLE.read_text().splitlines()), MAX_LINES)
