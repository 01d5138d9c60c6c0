"""Rate limits of the snapshots that a node sends to its peers."""

import unittest
from random import Random

from pewtertack.core.profile import LEASED
from pewtertack.core.replication.pull_server import PullServer
from pewtertack.core.replication.store import DocumentStore
from pewtertack.core.revision import NO_REVISION, Document, revision_id_of
from pewtertack.wire.messages import Busy, DocumentKind, Pull


class PullServerTest(unittest.TestCase):
    def joiners_served(self, kinds: tuple[DocumentKind, ...], wide_link: bool = False) -> int:
        """Return how many of 100 joiners that pull at the same time receive all these kinds."""
        stores = {kind: DocumentStore() for kind in DocumentKind}
        document: Document = {"services": {"a": {}}}
        for store in stores.values():
            store.put(revision_id_of(1, document), document)
        server = PullServer(stores, LEASED, Random(1), 0.0, wide_link)
        answers = (
            [server.answer(0.0, Pull(kind, NO_REVISION)) for kind in kinds] for _ in range(100)
        )
        return sum(not any(isinstance(item, Busy) for item in answer) for answer in answers)

    def test_snapshots_are_rate_limited(self) -> None:
        served = self.joiners_served((DocumentKind.CONFIGURATION,))
        self.assertEqual(served, LEASED.snapshots_per_second)

    def test_both_documents_have_separate_limits(self) -> None:
        served = self.joiners_served(tuple(DocumentKind))
        self.assertEqual(served, LEASED.snapshots_per_second)

    def test_a_wide_link_raises_the_limit(self) -> None:
        served = self.joiners_served(tuple(DocumentKind), wide_link=True)
        self.assertEqual(served, LEASED.wide_snapshots_per_second)
