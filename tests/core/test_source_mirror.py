"""Concurrent watches of one prefix, answered in any order."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from pewtertack.core.source_mirror import Mirror, RefreshResult

KEYS = ("x/a", "x/b", "x/c")


class Write:
    """One write of a source that numbers its writes from 1."""

    def __init__(self, key: str, revision: int, is_deletion: bool) -> None:
        self.key = key
        self.revision = revision
        self.made = revision
        self.is_deletion = is_deletion

    def content(self) -> bytes | None:
        return None if self.is_deletion else str(self.revision).encode()


WRITES = st.lists(st.tuples(st.sampled_from(KEYS), st.booleans()), min_size=1, max_size=12)


class OverlappingWatchesTest(unittest.TestCase):
    @given(WRITES, st.data())
    def test_concurrent_watches_give_the_same_items_as_sequential_ones(
        self, written: list[tuple[str, bool]], data: st.DataObject
    ) -> None:
        writes = [
            Write(key, number, is_deletion) for number, (key, is_deletion) in enumerate(written, 2)
        ]
        last = len(writes) + 1
        expected, mirror = Mirror("x/"), Mirror("x/")
        expected.watch_revision = mirror.watch_revision = 1
        expected.apply_changes(1, last, writes)
        while mirror.watch_revision < last:
            after = mirror.watch_revision
            revisions = st.lists(st.integers(after, last), min_size=1, max_size=4)
            for at in data.draw(revisions):
                before = mirror.watch_revision
                changes = [write for write in writes if after < write.revision <= at]
                refreshed = mirror.apply_changes(after, at, changes)
                self.assertEqual(refreshed is RefreshResult.CHANGED, at > before)
                self.assertEqual(mirror.watch_revision, max(before, at))
            if mirror.watch_revision == after:
                mirror.apply_changes(
                    after, last, [item for item in writes if item.revision > after]
                )
        self.assertEqual(
            (mirror.items, mirror.change_revision), (expected.items, expected.change_revision)
        )

    def test_a_list_older_than_the_mirror_is_ignored(self) -> None:
        mirror, listed = Mirror("x/"), Mirror("x/")
        mirror.watch_revision = listed.watch_revision = 1
        mirror.apply_changes(1, 3, [Write("x/a", 3, False)])
        mirror.replace_with(listed)
        self.assertEqual((mirror.watch_revision, set(mirror.items)), (3, {"x/a"}))


if __name__ == "__main__":
    unittest.main()
