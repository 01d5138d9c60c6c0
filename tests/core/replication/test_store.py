"""Delta log: which changes can be sent to peers as deltas."""

import unittest
from typing import Any

from pewtertack.core.replication.store import MAX_EDITS, DocumentStore
from pewtertack.core.revision import RevisionId, revision_id_of


def tree(routes: int, timeout: str = "1s") -> dict[str, Any]:
    entries = {f"r{n}": {"path_prefix": f"/{n}", "timeout": timeout} for n in range(routes)}
    return {"services": {"book": {}}, "routes": entries}


class DeltaLogTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = DocumentStore()

    def put(self, number: int, document: dict[str, Any]) -> RevisionId:
        shared = self.store.share_with_newest(document)
        self.store.put(revision_id_of(number, document), shared)
        return self.store.revision

    def test_successive_additions_are_available_as_deltas(self) -> None:
        first = self.put(1, tree(3600))
        self.put(2, tree(5000))
        self.put(3, tree(6400))
        deltas = self.store.deltas_since(first)
        assert deltas is not None
        self.assertEqual(sum(len(delta.edits) for delta in deltas), 2800)

    def test_a_single_addition_of_any_size_is_available_as_a_delta(self) -> None:
        first = self.put(1, tree(10))
        self.put(2, tree(MAX_EDITS + 500))
        self.assertIsNotNone(self.store.deltas_since(first))

    def test_the_log_is_shortened_beyond_as_many_edits_as_entries(self) -> None:
        first = self.put(1, tree(MAX_EDITS))
        second = self.put(2, tree(MAX_EDITS, "2s"))
        self.put(3, tree(MAX_EDITS, "3s"))
        self.assertIsNone(self.store.deltas_since(first))
        self.assertIsNotNone(self.store.deltas_since(second))


if __name__ == "__main__":
    unittest.main()
