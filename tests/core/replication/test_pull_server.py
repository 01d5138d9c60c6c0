"""How many whole documents a node sends to its peers."""

import unittest
from random import Random

from pewtertack.core.profile import LEASED
from pewtertack.core.replication.pull_server import PullServer
from pewtertack.core.replication.store import DocumentStore
from pewtertack.core.revision import NO_REVISION, revision_id_of
from pewtertack.wire.messages import Busy, DocumentKind, Pull


class PullServerTest(unittest.TestCase):
    def served_at_once(self, kinds: tuple[DocumentKind, ...], wide_link: bool = False) -> int:
        """Return how many of 100 joiners have all these kinds at once."""
        stores = {kind: DocumentStore() for kind in DocumentKind}
        document = {"services": {"a": {}}}
        for store in stores.values():
            store.put(revision_id_of(1, document), document)
        server = PullServer(stores, LEASED, Random(1), 0.0, wide_link)
        answers = (
            [server.answer(0.0, Pull(kind, NO_REVISION)) for kind in kinds] for _ in range(100)
        )
        return sum(not any(isinstance(item, Busy) for item in answer) for answer in answers)

    def test_snapshots_are_bounded(self) -> None:
        served = self.served_at_once((DocumentKind.CONFIGURATION,))
        self.assertEqual(served, LEASED.snapshots_per_second)

    def test_a_joiner_has_both_documents_at_once(self) -> None:
        served = self.served_at_once(tuple(DocumentKind))
        self.assertEqual(served, LEASED.snapshots_per_second)

    def test_a_wide_link_bears_more(self) -> None:
        served = self.served_at_once(tuple(DocumentKind), wide_link=True)
        self.assertEqual(served, LEASED.wide_snapshots_per_second)
