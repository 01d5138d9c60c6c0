"""The packages core, routing and wire do no I/O: they import no module that does."""

import ast
import unittest
from collections.abc import Iterator
from pathlib import Path

SOURCE = Path(__file__).resolve().parent.parent / "src" / "pewtertack"
PURE_PACKAGES = ("core", "routing", "wire")
FORBIDDEN = frozenset(
    {
        *("anyio", "asyncio", "concurrent", "ctypes", "fcntl", "h11", "http", "httpcore"),
        *("httptools", "io", "logbook", "logging", "mmap", "multiprocessing", "os", "pathlib"),
        *("prometheus_client", "queue", "select", "selectors", "shutil", "signal", "socket"),
        *("socketserver", "ssl", "subprocess", "sys", "tempfile", "threading", "time", "typer"),
        *("urllib", "uvicorn", "uvloop"),
    }
)
FORBIDDEN_IN_NODE = frozenset({"multiprocessing", "subprocess", "uvloop"})
"""A node starts no processes, uses no shared memory and opens no io_uring."""


def imported_modules(path: Path) -> Iterator[str]:
    for node in ast.walk(ast.parse(path.read_text(), str(path))):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0, f"{path}: relative import"
            yield node.module or ""
            yield from (f"{node.module}.{alias.name}" for alias in node.names)


def is_within(module: str, package: str) -> bool:
    return module == package or module.startswith(f"{package}.")


class ImportBoundaryTest(unittest.TestCase):
    def forbidden_imports(self, package: str, forbidden: frozenset[str]) -> list[str]:
        files = sorted((SOURCE / package).rglob("*.py"))
        self.assertTrue(files)
        return [
            f"{path.relative_to(SOURCE)}: {module}"
            for path in files
            for module in imported_modules(path)
            if module.split(".")[0] in forbidden
        ]

    def test_pure_packages_import_no_io_library(self) -> None:
        for package in PURE_PACKAGES:
            with self.subTest(package):
                self.assertEqual(self.forbidden_imports(package, FORBIDDEN), [])

    def test_pure_packages_import_no_io_package(self) -> None:
        allowed = {"core", "routing", "wire", "errors", "events"}
        for package in PURE_PACKAGES:
            for path in sorted((SOURCE / package).rglob("*.py")):
                for module in imported_modules(path):
                    if is_within(module, "pewtertack") and module != "pewtertack":
                        with self.subTest(path=path.name, module=module):
                            self.assertIn(module.split(".")[1], allowed)

    def test_node_imports_no_process_or_shared_memory_library(self) -> None:
        for package in (*PURE_PACKAGES, "node", "settings"):
            with self.subTest(package):
                self.assertEqual(self.forbidden_imports(package, FORBIDDEN_IN_NODE), [])

    def test_pure_packages_import_only_the_class_random(self) -> None:
        for package in PURE_PACKAGES:
            for path in sorted((SOURCE / package).rglob("*.py")):
                for node in ast.walk(ast.parse(path.read_text())):
                    if isinstance(node, ast.Import):
                        names = [alias.name for alias in node.names]
                        self.assertNotIn("random", names, f"{path}: import only the class Random")
                    if isinstance(node, ast.ImportFrom) and node.module == "random":
                        self.assertEqual([alias.name for alias in node.names], ["Random"])
