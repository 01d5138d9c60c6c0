"""Deltas between documents."""

import time
import unittest
from collections.abc import Callable
from functools import partial

from hypothesis import given
from hypothesis import strategies as st

from pewtertack.core.delta import (
    DeleteValue,
    Delta,
    DeltaMismatchError,
    SetValue,
    apply_delta,
    apply_edits,
    compare,
)
from pewtertack.core.revision import (
    Document,
    RevisionConflictError,
    RevisionId,
    digest_of,
    have_same_content,
    revision_id_of,
)

LEAVES = st.one_of(st.booleans(), st.integers(0, 3), st.floats(0, 3), st.text("ab", max_size=2))
DOCUMENTS = st.dictionaries(
    st.sampled_from("abcd"),
    st.recursive(
        st.one_of(LEAVES, st.lists(LEAVES, max_size=2)),
        lambda values: st.dictionaries(st.sampled_from("abcd"), values, max_size=3),
    ),
    max_size=4,
)


class DeltaTest(unittest.TestCase):
    @given(DOCUMENTS, DOCUMENTS)
    def test_applying_the_comparison_gives_the_new_document(self, old: dict, new: dict) -> None:
        delta = Delta(revision_id_of(1, old), revision_id_of(2, new), compare(old, new))
        self.assertEqual(revision_id_of(2, apply_delta(delta, old)), revision_id_of(2, new))

    def test_one_edited_default_is_one_edit(self) -> None:
        old = {"defaults": {"timeout": "2s"}, "routes": {"a": {}, "b": {}}}
        new = {"defaults": {"timeout": "3s"}, "routes": {"a": {}, "b": {}}}
        self.assertEqual(compare(old, new), (SetValue(("defaults", "timeout"), "3s"),))

    def test_a_delta_to_another_digest_is_refused_and_leaves_the_base(self) -> None:
        base = {"a": 1}
        delta = Delta(revision_id_of(1, base), revision_id_of(2, {"a": 2}), (SetValue(("a",), 3),))
        with self.assertRaises(DeltaMismatchError):
            apply_delta(delta, base)
        self.assertEqual(base, {"a": 1})


class ManyEditsTest(unittest.TestCase):
    """A large change costs what it changes, however many routes there are."""

    def test_edits_in_any_order_give_what_one_by_one_gives(self) -> None:
        edits = (
            SetValue(("a", "b"), {"c": 1}),
            SetValue(("a", "b", "d"), 2),
            DeleteValue(("a", "x")),
            SetValue(("a",), {"e": {"f": 3}}),
            SetValue(("a", "e", "f"), 4),
            SetValue(("new", "g"), 5),
            DeleteValue(("new", "g")),
        )
        base = {"a": {"x": 0, "b": 7}, "y": {"z": 1}}
        step: Document = base
        for edit in edits:
            step = apply_edits(step, (edit,))
        found = apply_edits(base, edits)
        self.assertEqual(found, step)
        self.assertEqual(found, {"a": {"e": {"f": 4}}, "y": {"z": 1}, "new": {}})
        self.assertIs(found["y"], base["y"])
        self.assertEqual(base, {"a": {"x": 0, "b": 7}, "y": {"z": 1}})
        self.assertEqual(edits[0].value, {"c": 1})
        self.assertEqual(edits[3].value, {"e": {"f": 3}})

    def test_an_edit_that_does_not_fit_is_refused(self) -> None:
        base = {"a": 1}
        for edit in (DeleteValue(("b",)), SetValue(("a", "b"), 1), SetValue((), 1)):
            with self.subTest(edit), self.assertRaises(DeltaMismatchError):
                apply_edits(base, (edit,))

    def test_the_time_grows_no_faster_than_the_number_of_edits(self) -> None:
        few, many = (least_time(partial(add_routes, count)) for count in (500, 4000))
        self.assertLess(many, 3 * 8 * few)


def add_routes(count: int) -> None:
    """Add so many routes to as many by edits."""
    base = {"routes": {f"old{n}": {} for n in range(count)}}
    apply_edits(base, [SetValue(("routes", f"new{n}"), {}) for n in range(count)])


def least_time(call: Callable[[], object]) -> float:
    """Return the least processor time of five calls, in seconds."""
    times = []
    for _ in range(5):
        began = time.process_time()
        call()
        times.append(time.process_time() - began)
    return min(times)


class ContentTest(unittest.TestCase):
    @given(DOCUMENTS, DOCUMENTS)
    def test_the_same_content_is_the_same_digest(self, left: dict, right: dict) -> None:
        alike = digest_of(left) == digest_of(right)
        self.assertEqual(have_same_content(left, right), alike)

    def test_values_beyond_messagepack_and_other_orders(self) -> None:
        self.assertTrue(have_same_content({"a": 2**70, "b": 1}, {"b": 1, "a": 2**70}))
        self.assertFalse(have_same_content({"a": 2**70}, {"a": 2**71}))
        self.assertFalse(have_same_content({"a": 1}, {"a": True}))


class RevisionIdTest(unittest.TestCase):
    def test_one_number_with_two_digests_is_a_conflict(self) -> None:
        with self.assertRaises(RevisionConflictError):
            RevisionId(1, b"a").is_newer_than(RevisionId(1, b"b"))
