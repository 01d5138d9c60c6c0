"""A durable source: revisions need no quorum; peers are the fallback while it is down."""

import unittest
from random import Random
from typing import Any

from pewtertack.core.effects import BringIntoForce, Effect, Log, ReadDocument, Send, SetServing
from pewtertack.core.identity import NodeIdentity
from pewtertack.core.inputs import (
    DocumentRead,
    DocumentReadFailed,
    DocumentUnchanged,
    FrameArriving,
    Input,
    MessageReceived,
    Ticked,
)
from pewtertack.core.node import NodeCore, NodePhase
from pewtertack.core.profile import DIRECT, SourceProperties
from pewtertack.core.revision import NO_REVISION, RevisionId, revision_id_of
from pewtertack.wire.messages import (
    Announce,
    DocumentKind,
    HeldReport,
    JoinAnswer,
    MemberStatus,
    MemberUpdate,
    Pull,
    SnapshotAnswer,
    VersionState,
)
from tests.core.test_node import TREE

PEER = MemberUpdate("peer", "127.0.0.1:2", "a", "", 500, MemberStatus.ALIVE)
MACHINES = {
    name: {"role": "node", "zone": "a", "address": address}
    for name, address in (("self", "127.0.0.1:1"), ("peer", PEER.address), ("x", "127.0.0.1:3"))
}
DURABLE = SourceProperties(durable=True)


def tree(service: str) -> dict[str, Any]:
    return {**TREE, "services": {"archive": {}, service: {}}}


def _pulls(effects: list[Effect]) -> list[str]:
    """Return the names of the peers that the configuration is pulled from."""
    return [
        effect.name
        for effect in effects
        if isinstance(effect, Send)
        and isinstance(effect.message, Pull)
        and effect.message.kind is DocumentKind.CONFIGURATION
    ]


class DurableSourceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 0.0
        identity = NodeIdentity("self", "127.0.0.1:1", "a", "", 1000)
        self.core = NodeCore(identity, DIRECT, Random(1), self.now, source=DURABLE)

    def handle(self, event: Input) -> list[Effect]:
        return self.core.handle(self.now, event)

    def tick_for(self, seconds: float) -> list[Effect]:
        effects: list[Effect] = []
        for _ in range(round(seconds / DIRECT.tick)):
            self.now += DIRECT.tick
            effects += self.handle(Ticked())
        return effects

    def from_peer(self, message: Any) -> list[Effect]:
        return self.handle(MessageReceived(PEER.name, PEER.address, PEER.incarnation, message))

    def read(self, number: int, document: dict[str, Any]) -> list[Effect]:
        return self.handle(DocumentRead(DocumentKind.CONFIGURATION, number, document))

    def read_machines(self, number: int = 1) -> list[Effect]:
        return self.handle(DocumentRead(DocumentKind.MACHINE_LIST, number, MACHINES))

    def in_force(self) -> int:
        return self.core.replication.replica.in_force_number

    def test_no_second_pull_while_an_answer_is_arriving(self) -> None:
        self.handle(Ticked())
        self.read(7, TREE)
        self.read_machines()
        newer = revision_id_of(8, tree("new"))
        state = VersionState.of(newer, newer, 1, True)
        for name, host in (("other", "127.0.0.2"), (PEER.name, "127.0.0.1")):
            self.handle(MessageReceived(name, f"{host}:2", 500, Announce(state)))
        for _ in range(20):
            self.handle(FrameArriving("127.0.0.2"))
            self.assertEqual(_pulls(self.tick_for(0.2)), [])
        self.assertEqual(_pulls(self.tick_for(1.0)), [PEER.name])

    def test_a_starting_node_reads_both_documents_at_its_first_tick(self) -> None:
        kinds = {item.kind for item in self.handle(Ticked()) if isinstance(item, ReadDocument)}
        self.assertEqual(kinds, set(DocumentKind))

    def test_a_starting_node_serves_as_soon_as_it_has_read_both_documents(self) -> None:
        self.handle(Ticked())
        self.read(7, TREE)
        self.assertEqual(self.core.phase, NodePhase.JOINING)
        effects = self.read_machines()
        self.assertIn(SetServing(True), effects)
        self.assertEqual(self.in_force(), 7)

    def test_a_revision_is_in_force_at_once_without_any_other_node(self) -> None:
        self.read(7, TREE)
        self.read_machines()
        effects = self.read(9, tree("new"))
        activated = [item for item in effects if isinstance(item, BringIntoForce)]
        self.assertEqual([item.configuration.revision.number for item in activated], [9])

    def test_no_holder_reports_are_sent(self) -> None:
        self.read_machines()
        effects = self.read(7, TREE)
        reports = [
            item
            for item in effects
            if isinstance(item, Send) and isinstance(item.message, HeldReport)
        ]
        self.assertEqual(reports, [])

    def test_an_older_answer_of_the_source_is_ignored(self) -> None:
        self.read(9, TREE)
        self.read_machines()
        self.read(7, tree("old"))
        self.assertEqual(self.in_force(), 9)

    def fail_reads(self) -> None:
        for kind in DocumentKind:
            self.handle(DocumentReadFailed(kind, "down"))

    def answer_join(self, held: RevisionId, machine_list: int, serving: bool = True) -> None:
        state = VersionState.of(held, held, machine_list, serving)
        self.from_peer(JoinAnswer(state, PEER, ()))

    def test_a_starting_node_serves_with_a_peers_revision_while_the_source_is_down(self) -> None:
        self.handle(Ticked())
        self.fail_reads()
        newest = revision_id_of(7, TREE)
        self.answer_join(newest, 1)
        self.assertEqual(self.core.phase, NodePhase.JOINING)
        self.from_peer(SnapshotAnswer(DocumentKind.CONFIGURATION, newest, TREE))
        listed = revision_id_of(1, MACHINES)
        self.from_peer(SnapshotAnswer(DocumentKind.MACHINE_LIST, listed, MACHINES))
        self.assertEqual((self.core.phase, self.in_force()), (NodePhase.SERVING, 7))

    def test_loss_and_recovery_of_the_source_are_logged_once_each(self) -> None:
        self.handle(Ticked())
        effects: list[Effect] = []
        for _ in range(3):
            effects += self.handle(DocumentReadFailed(DocumentKind.CONFIGURATION, "down"))
        for _ in range(2):
            effects += self.handle(DocumentUnchanged(DocumentKind.CONFIGURATION))
        events = [item.event.name for item in effects if isinstance(item, Log)]
        self.assertEqual((events.count("SOURCE_LOST"), events.count("SOURCE_REGAINED")), (1, 1))

    def test_a_node_without_documents_never_serves(self) -> None:
        self.tick_for(0.5)
        self.fail_reads()
        self.answer_join(NO_REVISION, 0, serving=False)
        self.tick_for(1.5)
        self.assertEqual(self.core.phase, NodePhase.JOINING)

    def test_a_resumed_node_serves_with_what_it_holds_if_nothing_answers(self) -> None:
        self.handle(Ticked())
        self.read(7, TREE)
        self.read_machines()
        self.now += DIRECT.pause_threshold + 1
        self.handle(Ticked())
        self.assertEqual(self.core.phase, NodePhase.JOINING)
        self.fail_reads()
        self.tick_for(DIRECT.join_patience + 0.2)
        self.assertEqual((self.core.phase, self.in_force()), (NodePhase.SERVING, 7))
