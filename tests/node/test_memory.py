"""Modules that a node imports."""

import os
import subprocess
import sys
import unittest

from tests.node.processes import SOURCE_DIRECTORY

PROXY_PACKAGES = ("pewtertack.node.proxy", "pewtertack.routing")
NEVER_IMPORTED = ("pewtertack.lab", "typer", "pydantic", "uvloop", "matplotlib")


class LoadedModulesTest(unittest.TestCase):
    def test_a_node_without_proxy_imports_none_of_its_modules(self) -> None:
        modules = "pewtertack.cli.node, pewtertack.node.assembly, pewtertack.node.daemon"
        command = [sys.executable, "-c", f"import sys, {modules}; print(*sys.modules)"]
        environment = os.environ | {"PYTHONPATH": str(SOURCE_DIRECTORY)}
        output = subprocess.run(command, env=environment, capture_output=True, check=True).stdout
        imported = output.decode().split()
        self.assertIn("pewtertack.node.assembly", imported)
        for name in (*PROXY_PACKAGES, *NEVER_IMPORTED):
            with self.subTest(name):
                self.assertEqual([module for module in imported if module.startswith(name)], [])
