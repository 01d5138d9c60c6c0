"""Numbers, lag, staleness, conflicts and restores of the numbered document."""

import unittest

from pewtertack.lab.errors import NumberConflictError
from pewtertack.lab.platform.store import DocumentStore, PlatformFaults


class DocumentStoreTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = DocumentStore({"first": True})

    def test_concurrent_edits_conflict(self) -> None:
        self.assertEqual(self.store.put({}, 1.0, expected=1), 2)
        with self.assertRaises(NumberConflictError):
            self.store.put({"late": True}, 1.0, expected=1)
        self.assertEqual(self.store.newest.document, {})

    def test_edit_is_visible_after_lag(self) -> None:
        self.store.set_faults(PlatformFaults(lag=5.0))
        self.store.put({}, 10.0)
        self.assertEqual(self.store.visible_version(14.9).number, 1)
        self.assertAlmostEqual(self.store.seconds_until_next_visible(14.0), 1.0)
        self.assertEqual(self.store.visible_version(15.0).number, 2)

    def test_stale_source_hides_newer_versions(self) -> None:
        for _ in range(3):
            self.store.put({}, 1.0)
        self.store.set_faults(PlatformFaults(stale_number=2))
        self.assertEqual(self.store.visible_version(2.0).number, 2)

    def test_some_reads_return_the_previous_version(self) -> None:
        self.store.put({}, 0.0)
        self.store.set_faults(PlatformFaults(older_share=0.5))
        numbers = {self.store.version_for_read(1.0).number for _ in range(50)}
        self.assertEqual(numbers, {1, 2})

    def test_restore_loses_versions_whose_numbers_are_assigned_again(self) -> None:
        for edited_at in (1.0, 2.0, 3.0):
            self.store.put({"at": edited_at}, edited_at)
        self.store.make_unreachable()
        self.assertTrue(self.store.unreachable)
        lost = self.store.restore(1.5)
        self.assertEqual([version.number for version in lost], [3, 4])
        self.assertEqual((self.store.era, self.store.unreachable), (1, False))
        self.assertEqual(self.store.visible_version(9.0).document, {"at": 1.0})
        self.assertEqual(self.store.put({"new": True}, 9.0), 3)
        self.assertEqual([version.number for version in self.store.restore(-1.0)], [2, 3])
        self.assertEqual((self.store.newest.number, self.store.era), (1, 2))
