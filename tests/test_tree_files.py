"""Tree files: both formats, and a typed error with file and line for each kind of fault."""

import tempfile
import unittest
from pathlib import Path

from pewtertack.tree_files import (
    TreeFormatError,
    TreeSyntaxError,
    TreeUnreadableError,
    load_tree,
    parse_json,
    parse_toml,
)

SYNTAX_ERRORS = [
    (parse_toml, "[routes]\nx = \n", 2),
    (parse_toml, "[routes]\n[routes]\n", 2),
    (parse_toml, "[secrets]\na = 'b", 2),
    (parse_toml, "a = " + "[" * 100_000, 0),
    (parse_json, '{\n"a": }', 2),
    (parse_json, "[]", 1),
    (parse_json, '{"a": 1, "a": 2}', 0),
    (parse_json, '{"a": ' * 100_000, 0),
    (parse_json, '{"a": 1' + "0" * 5000 + "}", 0),
]


class TreeFilesTest(unittest.TestCase):
    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)

    def write(self, name: str, content: bytes) -> Path:
        path = self.directory / name
        path.write_bytes(content)
        return path

    def test_both_formats_yield_the_same_document(self) -> None:
        toml = self.write("tree.toml", b"[services.logbook]\nslow_start = '1s'\n")
        text = b'{"services": {"logbook": {"slow_start": "1s"}}}'
        self.assertEqual(load_tree(toml), load_tree(self.write("tree.json", text)))

    def test_syntax_errors_name_file_and_line(self) -> None:
        for parse, text, line in SYNTAX_ERRORS:
            with self.subTest(text=text[:20]):
                with self.assertRaises(TreeSyntaxError) as raised:
                    parse(text, "some-tree")
                self.assertEqual(
                    ("some-tree", line), (raised.exception.file, raised.exception.line)
                )
                self.assertTrue(str(raised.exception).startswith("some-tree"))

    def test_unreadable_files_are_rejected(self) -> None:
        with self.assertRaises(TreeUnreadableError):
            load_tree(self.directory / "none.toml")
        with self.assertRaises(TreeUnreadableError):
            load_tree(self.write("latin.toml", b"a = '\xff'"))
        with self.assertRaises(TreeUnreadableError):
            load_tree(self.write("large.json", b" " * (16 * 1024 * 1024 + 1)))
        with self.assertRaises(TreeFormatError):
            load_tree(self.write("tree.yaml", b""))


if __name__ == "__main__":
    unittest.main()
