"""Answers of the source to a node that has stopped reading it in the meantime."""

import unittest
from random import Random
from typing import Any

from pewtertack.core.effects import Effect, ReadDocument, Send
from pewtertack.core.identity import NodeIdentity
from pewtertack.core.inputs import DocumentRead, Input, MessageReceived, Ticked
from pewtertack.core.membership.ring import hash_score
from pewtertack.core.node import NodeCore, NodePhase
from pewtertack.core.profile import LEASED
from pewtertack.core.revision import revision_id_of
from pewtertack.wire.messages import (
    Announce,
    DocumentKind,
    ReaderHeartbeat,
    SourceAges,
    VersionState,
)
from tests.core.test_durable_source import DURABLE, tree
from tests.core.test_node import TREE

NAMES = sorted((f"node-{number}" for number in range(20)), key=hash_score)
READER, SELF = NAMES[0], NAMES[-1]
ADDRESSES = {name: f"127.0.0.1:{number}" for number, name in enumerate(NAMES, 1)}
MACHINES = {
    name: {"role": "node", "zone": "a", "address": address} for name, address in ADDRESSES.items()
}
HELD, NEWER = 7, 9
INCARNATION = 1000


class AnswersAfterReadingTest(unittest.TestCase):
    """A node has read the source until it heard a reader; its last reads are still open."""

    def setUp(self) -> None:
        self.now = 0.0
        identity = NodeIdentity(SELF, ADDRESSES[SELF], "a", "", INCARNATION)
        self.core = NodeCore(identity, LEASED, Random(1), self.now, source=DURABLE)
        self.tick()
        self.handle(DocumentRead(DocumentKind.CONFIGURATION, HELD, TREE))
        self.handle(DocumentRead(DocumentKind.MACHINE_LIST, 1, MACHINES))
        self.read_ids: dict[DocumentKind, int] = {}
        while len(self.read_ids) < len(DocumentKind):
            self.note_reads(self.tick())
        self.handle_from(READER, self.heartbeat())
        self.tick()
        self.assertEqual(self.core.phase, NodePhase.SERVING)
        self.assertFalse(self.core.replication.reader.reading)

    def handle(self, event: Input) -> list[Effect]:
        return self.core.handle(self.now, event)

    def handle_from(self, name: str, message: Any) -> list[Effect]:
        return self.handle(MessageReceived(name, ADDRESSES[name], INCARNATION, message))

    def tick(self) -> list[Effect]:
        self.now += LEASED.tick
        return self.handle(Ticked())

    def note_reads(self, effects: list[Effect]) -> None:
        reads = (item for item in effects if isinstance(item, ReadDocument))
        self.read_ids.update({read.kind: read.read_id for read in reads})

    def state(self, number: int, document: dict[str, Any]) -> VersionState:
        revision = revision_id_of(number, document)
        return VersionState.of(revision, revision, 1, True)

    def heartbeat(self) -> ReaderHeartbeat:
        digest = revision_id_of(1, MACHINES).digest
        return ReaderHeartbeat(self.state(HELD, TREE), digest, SourceAges(0, 0), (), False)

    def answer(self, kind: DocumentKind, number: int, document: dict[str, Any]) -> list[Announce]:
        """Answer an open read; return what the node announces to its whole zone."""
        read_id = self.read_ids[kind]
        effects = self.handle(DocumentRead(kind, number, document, read_id=read_id))
        announced = {
            effect.name: effect.message
            for effect in effects
            if isinstance(effect, Send) and isinstance(effect.message, Announce)
        }
        reachable = self.core.membership.table.reachable_in_zone("a")
        self.assertIn(set(announced), (set(), set(reachable.first(len(reachable)))))
        return list(announced.values())

    def test_a_revision_that_nobody_else_has_is_announced(self) -> None:
        """Guards against a revision that is in force at one node only, and lost with it."""
        announced = self.answer(DocumentKind.CONFIGURATION, NEWER, tree("new"))
        self.assertEqual({item.state.held.number for item in announced}, {NEWER})

    def test_a_machine_list_that_nobody_else_has_is_announced(self) -> None:
        machines = {**MACHINES, "x": {"role": "node", "zone": "a", "address": "127.0.0.1:99"}}
        announced = self.answer(DocumentKind.MACHINE_LIST, 2, machines)
        self.assertEqual({item.state.machine_list for item in announced}, {2})

    def test_a_revision_is_announced_once(self) -> None:
        self.answer(DocumentKind.CONFIGURATION, NEWER, tree("new"))
        sent = [item for item in self.tick() if isinstance(item, Send)]
        self.assertFalse([item for item in sent if isinstance(item.message, Announce)])

    def test_a_revision_that_a_peer_has_reported_is_not_announced(self) -> None:
        self.handle_from(READER, Announce(self.state(NEWER, tree("new"))))
        self.assertEqual(self.answer(DocumentKind.CONFIGURATION, NEWER, tree("new")), [])

    def test_an_unchanged_document_is_not_announced(self) -> None:
        self.assertEqual(self.answer(DocumentKind.CONFIGURATION, HELD, TREE), [])


if __name__ == "__main__":
    unittest.main()
