"""Numbers, lag, staleness and races of the numbered document."""

import unittest

from pewtertack.lab.errors import NumberConflictError
from pewtertack.lab.platform.store import DocumentStore, Faults


class DocumentStoreTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = DocumentStore({"first": True})

    def test_of_two_operators_in_a_race_one_gets_a_conflict(self) -> None:
        self.assertEqual(self.store.put({}, 1.0, expected=1), 2)
        with self.assertRaises(NumberConflictError):
            self.store.put({"late": True}, 1.0, expected=1)
        self.assertEqual(self.store.newest.document, {})

    def test_an_edit_shows_after_the_lag(self) -> None:
        self.store.set_faults(Faults(lag=5.0))
        self.store.put({}, 10.0)
        self.assertEqual(self.store.visible(14.9).number, 1)
        self.assertAlmostEqual(self.store.next_visibility(14.0), 1.0)
        self.assertEqual(self.store.visible(15.0).number, 2)

    def test_a_stale_source_shows_nothing_newer(self) -> None:
        for _ in range(3):
            self.store.put({}, 1.0)
        self.store.set_faults(Faults(stale_number=2))
        self.assertEqual(self.store.visible(2.0).number, 2)

    def test_older_answers_come_now_and_then(self) -> None:
        self.store.put({}, 0.0)
        self.store.set_faults(Faults(older_share=0.5))
        numbers = {self.store.answer(1.0).number for _ in range(50)}
        self.assertEqual(numbers, {1, 2})
