"""A node's start does not import libraries that it never uses."""

import subprocess
import sys
import unittest

from tests.node.processes import SOURCE_DIRECTORY

IMPORT_PROGRAM = """
import sys
from pewtertack.node import import_stubs
import_stubs.install_stubs()
import pewtertack.node.start, pewtertack.node.assembly, pewtertack.node.daemon
import pewtertack.node.event_loop, anyio._backends._asyncio
import pewtertack.node.proxy.application, pewtertack.node.gateway.application
import pewtertack.platform.store
import_stubs.remove_stubs()
"""
NEVER_LOADED = frozenset(
    {
        "trio",
        "ssl",
        "_ssl",
        "_hashlib",
        "subprocess",
        "argparse",
        "pathlib",
        "typing_extensions",
        "msgspec.inspect",
    }
)
MAX_PRIVATE_KIB = 17_700
"""Limit for a process that has imported all of a node and nothing else. Such a process took 17,224
to 17,232 KiB, and 19,056 to 19,060 with ssl, subprocess, argparse and digests. A later version took
17,404 to 17,408 KiB, and 17,736 to 17,760 with typing_extensions."""


def run(program: str) -> str:
    """Run a program in a process of its own and return its output."""
    completed = subprocess.run(
        [sys.executable, "-c", program],
        env={"PYTHONPATH": str(SOURCE_DIRECTORY)},
        capture_output=True,
        text=True,
        check=True,
    )
    return completed.stdout.strip()


class ImportStubsTest(unittest.TestCase):
    def test_a_node_does_not_import_unused_libraries(self) -> None:
        loaded = run(
            IMPORT_PROGRAM + "print(*[name for name, module in sys.modules.items() if module])"
        )
        self.assertIn("pewtertack.node.daemon", loaded.split())
        self.assertEqual(NEVER_LOADED.intersection(loaded.split()), frozenset())

    def test_after_the_start_real_modules_are_imported(self) -> None:
        program = IMPORT_PROGRAM + "import ssl, subprocess; print(ssl.SSLContext, subprocess.PIPE)"
        self.assertEqual(run(program), "<class 'ssl.SSLContext'> -1")

    def test_after_the_start_a_blocked_library_is_imported(self) -> None:
        program = IMPORT_PROGRAM + "import typing_extensions; print(typing_extensions.TypeIs)"
        self.assertIn("TypeIs", run(program))

    def test_after_the_start_types_can_be_inspected(self) -> None:
        program = IMPORT_PROGRAM + (
            "import msgspec\n"
            "print(msgspec.json.schema(int), msgspec.inspect.type_info(int))\n"
            "import msgspec.inspect\n"
            "print(msgspec.inspect.IntType)\n"
        )
        expected = ["{'type': 'integer'}", "IntType("]
        output = run(program)
        self.assertTrue(all(text in output for text in expected), output)

    def test_a_name_missing_from_a_stub_loads_the_module(self) -> None:
        program = (
            "import sys\n"
            "from pewtertack.node import import_stubs\n"
            "import_stubs.install_stubs()\n"
            "import subprocess\n"
            "print('locale' in sys.modules, subprocess.Popen, sys.modules['subprocess'].PIPE)\n"
        )
        self.assertEqual(run(program), "False <class 'subprocess.Popen'> -1")

    def test_metrics_are_rendered_after_a_start_without_tls(self) -> None:
        program = IMPORT_PROGRAM + (
            "from pewtertack.node.counting import MetricsRegistry\n"
            "from pewtertack.node.exposition import Exposition\n"
            "registry = MetricsRegistry()\n"
            "registry.counter('probes', 'Probes.', ()).inc(())\n"
            "print(b'probes_total 1.0' in Exposition(registry).render())\n"
        )
        self.assertEqual(run(program), "True")

    def test_the_private_memory_of_imported_modules_is_limited(self) -> None:
        program = IMPORT_PROGRAM + (
            "lines = open('/proc/self/smaps_rollup').read().splitlines()\n"
            "print(next(line.split()[1] for line in lines if line.startswith('Anonymous:')))\n"
        )
        self.assertLessEqual(int(run(program)), MAX_PRIVATE_KIB)
