"""Deltas between documents."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from pewtertack.core.delta import Delta, DeltaMismatchError, SetValue, apply, compare
from pewtertack.core.revision import RevisionConflictError, RevisionId, identify

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
        delta = Delta(identify(1, old), identify(2, new), compare(old, new))
        self.assertEqual(identify(2, apply(delta, old)), identify(2, new))

    def test_one_edited_default_is_one_edit(self) -> None:
        old = {"defaults": {"timeout": "2s"}, "routes": {"a": {}, "b": {}}}
        new = {"defaults": {"timeout": "3s"}, "routes": {"a": {}, "b": {}}}
        self.assertEqual(compare(old, new), (SetValue(("defaults", "timeout"), "3s"),))

    def test_a_delta_to_another_digest_is_refused_and_leaves_the_base(self) -> None:
        base = {"a": 1}
        delta = Delta(identify(1, base), identify(2, {"a": 2}), (SetValue(("a",), 3),))
        with self.assertRaises(DeltaMismatchError):
            apply(delta, base)
        self.assertEqual(base, {"a": 1})


class RevisionIdTest(unittest.TestCase):
    def test_one_number_with_two_digests_is_a_conflict(self) -> None:
        with self.assertRaises(RevisionConflictError):
            RevisionId(1, b"a").is_newer_than(RevisionId(1, b"b"))
