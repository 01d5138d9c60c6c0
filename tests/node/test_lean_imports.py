"""A node's start does without libraries that it never uses."""

import subprocess
import sys
import unittest

from tests.node.processes import SOURCE_DIRECTORY

PROGRAM = """
import sys
from pewtertack.node.lean_imports import decline_unused
decline_unused()
import pewtertack.node.assembly, pewtertack.node.proxy.application, pewtertack.platform.store
print([name for name, module in sys.modules.items() if module and name.split(".")[0] == "trio"])
"""


class LeanImportsTest(unittest.TestCase):
    def test_a_node_does_not_load_trio_even_where_it_is_installed(self) -> None:
        ended = subprocess.run(
            [sys.executable, "-c", PROGRAM],
            env={"PYTHONPATH": str(SOURCE_DIRECTORY)},
            capture_output=True,
            text=True,
            check=True,
        )
        self.assertEqual(ended.stdout.strip(), "[]")
