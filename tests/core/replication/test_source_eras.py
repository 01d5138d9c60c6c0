"""Effect of peers' reports from an earlier or later era of the source on a node."""

import unittest
from random import Random
from typing import Any

from pewtertack.core.effects import Effect, Log, ReadDocument
from pewtertack.core.eras import list_number
from pewtertack.core.identity import NodeIdentity
from pewtertack.core.inputs import DocumentRead, DocumentUnchanged, MessageReceived, Ticked
from pewtertack.core.node import NodeCore
from pewtertack.core.profile import DIRECT, SourceProperties
from pewtertack.core.revision import revision_id_of
from pewtertack.events import Event
from pewtertack.wire.messages import (
    DocumentKind,
    Ping,
    ReaderHeartbeat,
    SnapshotAnswer,
    SourceAges,
    VersionState,
)
from tests.core.test_durable_source import MACHINES, PEER
from tests.core.test_node import TREE

TREE_ID = revision_id_of(7, TREE)


class EraOfPeersTest(unittest.TestCase):
    """One node that reads the source and receives messages from a peer."""

    def setUp(self) -> None:
        self.now = 0.0
        identity = NodeIdentity("self", "127.0.0.1:1", "a", "", 1000)
        self.core = NodeCore(identity, DIRECT, Random(1), 0.0, source=SourceProperties(True))
        self.reads: dict[DocumentKind, ReadDocument] = {}
        self.tick(0.1)
        self.core.handle(self.now, DocumentRead(DocumentKind.CONFIGURATION, 7, TREE))
        self.core.handle(self.now, self.listed(1, 9))
        self.tick(1.0)

    def tick(self, seconds: float) -> list[Effect]:
        effects: list[Effect] = []
        for _ in range(round(seconds / DIRECT.tick)):
            self.now += DIRECT.tick
            effects += self.core.handle(self.now, Ticked())
        self.reads |= {item.kind: item for item in effects if isinstance(item, ReadDocument)}
        return effects

    def listed(self, era: int, revision: int) -> DocumentRead:
        return DocumentRead(DocumentKind.MACHINE_LIST, list_number(era, revision), MACHINES)

    def from_peer(self, message: Any) -> list[Effect]:
        event = MessageReceived(PEER.name, PEER.address, PEER.incarnation, message)
        return self.core.handle(self.now, event)

    def state(self, era: int, revision: int) -> VersionState:
        return VersionState.of(TREE_ID, TREE_ID, list_number(era, revision), True)

    def age(self) -> float:
        return self.core.replication.freshness.max_age(self.now)

    def test_an_open_read_confirms_until_a_later_era_is_reported(self) -> None:
        self.tick(1.0)
        self.assertLess(self.age(), 0.2)
        self.from_peer(Ping(1, self.state(2, 4)))
        self.tick(1.0)
        self.assertGreaterEqual(self.age(), 0.9)

    def test_the_next_reads_contain_the_later_era(self) -> None:
        self.from_peer(Ping(1, self.state(2, 4)))
        self.reads.clear()
        self.core.handle(self.now, DocumentUnchanged(DocumentKind.CONFIGURATION))
        self.tick(1.0)
        self.assertEqual(self.reads[DocumentKind.CONFIGURATION].era, 2)

    def test_messages_from_an_earlier_era_confirm_and_change_nothing(self) -> None:
        self.core.handle(self.now, self.listed(2, 4))
        number = self.core.replication.machine_list.revision.number
        self.core.replication.freshness.reset(self.now, 0.0)
        digest = revision_id_of(1, MACHINES).digest
        self.from_peer(ReaderHeartbeat(self.state(1, 30), digest, SourceAges(0, 0)))
        late_revision = revision_id_of(list_number(1, 40), {})
        self.from_peer(SnapshotAnswer(DocumentKind.MACHINE_LIST, late_revision, {}))
        self.assertEqual(self.age(), float("inf"))
        self.assertEqual(self.core.replication.machine_list.revision.number, number)
        self.from_peer(ReaderHeartbeat(self.state(2, 4), digest, SourceAges(0, 0)))
        self.assertLess(self.age(), 0.1)

    def test_a_list_with_the_same_digest_in_a_later_era_starts_a_new_era(self) -> None:
        digest = revision_id_of(1, MACHINES).digest
        effects = self.from_peer(ReaderHeartbeat(self.state(2, 4), digest, SourceAges(0, 0)))
        logged_fields = [
            item.fields
            for item in effects
            if isinstance(item, Log) and item.event is Event.SOURCE_RETURNED
        ]
        self.assertEqual([(fields["old"], fields["new"]) for fields in logged_fields], [(1, 2)])
        self.assertEqual(self.core.replication.machine_list.era, 2)
