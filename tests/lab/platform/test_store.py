"""Numbers, lag, staleness and races of the numbered document."""

import unittest

from pewtertack.lab.errors import NumberConflictError
from pewtertack.lab.platform.store import DocumentStore, PlatformFaults


class DocumentStoreTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = DocumentStore({"first": True})

    def test_of_two_operators_in_a_race_one_gets_a_conflict(self) -> None:
        self.assertEqual(self.store.put({}, 1.0, expected=1), 2)
        with self.assertRaises(NumberConflictError):
            self.store.put({"late": True}, 1.0, expected=1)
        self.assertEqual(self.store.newest.document, {})

    def test_an_edit_shows_after_the_lag(self) -> None:
        self.store.set_faults(PlatformFaults(lag=5.0))
        self.store.put({}, 10.0)
        self.assertEqual(self.store.visible(14.9).number, 1)
        self.assertAlmostEqual(self.store.next_visibility(14.0), 1.0)
        self.assertEqual(self.store.visible(15.0).number, 2)

    def test_a_stale_source_shows_nothing_newer(self) -> None:
        for _ in range(3):
            self.store.put({}, 1.0)
        self.store.set_faults(PlatformFaults(stale_number=2))
        self.assertEqual(self.store.visible(2.0).number, 2)

    def test_older_answers_come_now_and_then(self) -> None:
        self.store.put({}, 0.0)
        self.store.set_faults(PlatformFaults(older_share=0.5))
        numbers = {self.store.answer(1.0).number for _ in range(50)}
        self.assertEqual(numbers, {1, 2})

    def test_what_is_lost_with_a_copy_has_numbers_that_are_given_out_again(self) -> None:
        for moment in (1.0, 2.0, 3.0):
            self.store.put({"at": moment}, moment)
        self.store.make_unreachable()
        self.assertTrue(self.store.unreachable)
        lost = self.store.restore(1.5)
        self.assertEqual([version.number for version in lost], [3, 4])
        self.assertEqual((self.store.era, self.store.unreachable), (1, False))
        self.assertEqual(self.store.visible(9.0).document, {"at": 1.0})
        self.assertEqual(self.store.put({"new": True}, 9.0), 3)
        self.assertEqual([version.number for version in self.store.restore(-1.0)], [2, 3])
        self.assertEqual((self.store.newest.number, self.store.era), (1, 2))
