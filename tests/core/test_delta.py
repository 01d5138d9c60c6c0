"""Deltas between documents: comparison, application, digests."""

import time
import unittest
from collections.abc import Callable
from functools import partial
from typing import Any

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
    def test_applying_the_compared_edits_gives_the_new_document(
        self, old: Document, new: Document
    ) -> None:
        delta = Delta(revision_id_of(1, old), revision_id_of(2, new), compare(old, new))
        self.assertEqual(revision_id_of(2, apply_delta(delta, old)), revision_id_of(2, new))

    def test_changing_one_default_is_one_edit(self) -> None:
        old = {"defaults": {"timeout": "2s"}, "routes": {"a": {}, "b": {}}}
        new = {"defaults": {"timeout": "3s"}, "routes": {"a": {}, "b": {}}}
        self.assertEqual(compare(old, new), (SetValue(("defaults", "timeout"), "3s"),))

    def test_delta_with_wrong_digest_is_refused_and_base_is_unchanged(self) -> None:
        base = {"a": 1}
        delta = Delta(revision_id_of(1, base), revision_id_of(2, {"a": 2}), (SetValue(("a",), 3),))
        with self.assertRaises(DeltaMismatchError):
            apply_delta(delta, base)
        self.assertEqual(base, {"a": 1})


class ManyEditsTest(unittest.TestCase):
    """The cost of applying edits depends on their number, not on the number of routes."""

    def test_applying_edits_together_equals_applying_them_one_by_one(self) -> None:
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
        one_by_one: Document = base
        for edit in edits:
            one_by_one = apply_edits(one_by_one, (edit,))
        together = apply_edits(base, edits)
        self.assertEqual(together, one_by_one)
        self.assertEqual(together, {"a": {"e": {"f": 4}}, "y": {"z": 1}, "new": {}})
        self.assertIs(together["y"], base["y"])
        self.assertEqual(base, {"a": {"x": 0, "b": 7}, "y": {"z": 1}})
        self.assertEqual(edits[0].value, {"c": 1})
        self.assertEqual(edits[3].value, {"e": {"f": 3}})

    def test_edit_with_invalid_path_is_refused(self) -> None:
        base = {"a": 1}
        for edit in (DeleteValue(("b",)), SetValue(("a", "b"), 1), SetValue((), 1)):
            with self.subTest(edit), self.assertRaises(DeltaMismatchError):
                apply_edits(base, (edit,))

    def test_time_grows_linearly_with_the_number_of_edits(self) -> None:
        few, many = (shortest_seconds(partial(add_routes, count)) for count in (500, 4000))
        self.assertLess(many, 3 * 8 * few)


def add_routes(count: int) -> None:
    """Add ``count`` routes by edits to a document with ``count`` routes."""
    base: dict[str, Any] = {"routes": {f"old{n}": {} for n in range(count)}}
    apply_edits(base, [SetValue(("routes", f"new{n}"), {}) for n in range(count)])


def shortest_seconds(call: Callable[[], object]) -> float:
    """Return the shortest processor time of five calls, in seconds."""
    seconds = []
    for _ in range(5):
        began = time.process_time()
        call()
        seconds.append(time.process_time() - began)
    return min(seconds)


class ContentTest(unittest.TestCase):
    @given(DOCUMENTS, DOCUMENTS)
    def test_content_is_equal_exactly_if_digests_are_equal(
        self, left: Document, right: Document
    ) -> None:
        same_digest = digest_of(left) == digest_of(right)
        self.assertEqual(have_same_content(left, right), same_digest)

    def test_integers_beyond_64_bits_and_other_key_orders(self) -> None:
        self.assertTrue(have_same_content({"a": 2**70, "b": 1}, {"b": 1, "a": 2**70}))
        self.assertFalse(have_same_content({"a": 2**70}, {"a": 2**71}))
        self.assertFalse(have_same_content({"a": 1}, {"a": True}))


class RevisionIdTest(unittest.TestCase):
    def test_same_number_with_different_digests_is_a_conflict(self) -> None:
        with self.assertRaises(RevisionConflictError):
            RevisionId(1, b"a").is_newer_than(RevisionId(1, b"b"))
