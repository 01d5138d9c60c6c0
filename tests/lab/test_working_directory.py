"""The directory of a run is kept if the run fails, so that the failure can be traced."""

import shutil
import unittest

from pewtertack.lab.working_directory import WorkingDirectory


class WorkingDirectoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.announced: list[str] = []

    def test_a_run_that_succeeds_leaves_nothing(self) -> None:
        with WorkingDirectory("pewtertack-test-", self.announced.append) as directory:
            (directory.path / "history.jsonl").write_text("{}")
        self.assertFalse(directory.path.exists())
        self.assertEqual(self.announced, [])

    def test_a_run_that_finds_a_violation_keeps_its_files(self) -> None:
        with WorkingDirectory("pewtertack-test-", self.announced.append) as directory:
            (directory.path / "history.jsonl").write_text("{}")
            directory.failed = True
        self.addCleanup(shutil.rmtree, directory.path)
        self.assertEqual((directory.path / "history.jsonl").read_text(), "{}")
        self.assertEqual(len(self.announced), 1)
        self.assertIn(str(directory.path), self.announced[0])

    def test_an_error_keeps_its_files(self) -> None:
        directory = WorkingDirectory("pewtertack-test-", self.announced.append)
        self.addCleanup(shutil.rmtree, directory.path)
        with self.assertRaises(ValueError), directory:
            raise ValueError
        self.assertTrue(directory.path.exists())
        self.assertEqual(len(self.announced), 1)
