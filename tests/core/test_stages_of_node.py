"""What a node tells of the stages of a revision."""

import unittest
from random import Random
from typing import Any

from pewtertack.core.delta import Delta, compare
from pewtertack.core.effects import Effect, Log, StageReached
from pewtertack.core.identity import NodeIdentity
from pewtertack.core.inputs import (
    DocumentRead,
    Input,
    MessageReceived,
    Ticked,
)
from pewtertack.core.node import NodeCore
from pewtertack.core.profile import DIRECT, SourceProperties
from pewtertack.core.replication.stages import DeliveryChannel, Stage
from pewtertack.core.revision import RevisionId, revision_id_of
from pewtertack.events import Event
from pewtertack.wire.messages import (
    Announce,
    DeltaAnswer,
    DocumentKind,
    HeldReport,
    ReaderHeartbeat,
    SnapshotAnswer,
    SourceAges,
    VersionState,
)
from tests.core.test_durable_source import DURABLE, MACHINES, PEER, tree
from tests.core.test_node import TREE

OLD, NEW = revision_id_of(7, TREE), revision_id_of(9, tree("new"))


class StagesOfNodeTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 0.0
        self.core = self.node(DURABLE)
        self.feed(DocumentRead(DocumentKind.CONFIGURATION, OLD.number, TREE))
        self.feed(DocumentRead(DocumentKind.MACHINE_LIST, 1, MACHINES))
        self.log = self.core.replication.stages.log

    def node(self, source: SourceProperties) -> NodeCore:
        identity = NodeIdentity("self", "127.0.0.1:1", "a", "", 1000)
        return NodeCore(identity, DIRECT, Random(1), self.now, source=source)

    def feed(self, event: Input) -> list[Effect]:
        return self.core.handle(self.now, event)

    def advance_to(self, moment: float) -> None:
        """Tick as the runtime does: a gap would be taken for a pause."""
        while self.now + DIRECT.tick < moment:
            self.now += DIRECT.tick
            self.feed(Ticked())
        self.now = moment

    def from_peer(self, message: Any) -> list[Effect]:
        return self.feed(MessageReceived(PEER.name, PEER.address, PEER.incarnation, message))

    def hear(self, newest: RevisionId) -> list[Effect]:
        return self.from_peer(Announce(VersionState.of(newest, newest, 1, True)))

    def fields(self, effects: list[Effect], event: Event) -> list[dict[str, Any]]:
        return [item.fields for item in effects if isinstance(item, Log) and item.event is event]

    def told(self, effects: list[Effect], event: Event) -> dict[str, Any]:
        (fields,) = self.fields(effects, event)
        return fields

    def delta(self) -> DeltaAnswer:
        edits = compare(TREE, tree("new"))
        return DeltaAnswer(DocumentKind.CONFIGURATION, (Delta(OLD, NEW, edits),))

    def test_a_revision_that_was_read_is_heard_held_and_in_force_at_once(self) -> None:
        self.advance_to(5.0)
        read = DocumentRead(DocumentKind.CONFIGURATION, 9, tree("new"))
        effects = self.feed(read)
        self.assertEqual(self.fields(effects, Event.REVISION_HEARD), [])
        for event in (Event.REVISION_HELD, Event.REVISION_COMMITTED, Event.REVISION_IN_FORCE):
            told = self.told(effects, event)
            self.assertEqual((told["way"], told["since_heard"]), ("source", 0.0))
        reached = [item for item in effects if isinstance(item, StageReached)]
        stages = (Stage.HELD, Stage.COMMITTED, Stage.IN_FORCE)
        self.assertEqual(
            reached, [StageReached(stage, DeliveryChannel.SOURCE, 0.0) for stage in stages]
        )
        self.assertIsNone(self.log.behind_since)

    def test_a_peers_word_is_told_once_and_makes_the_node_behind(self) -> None:
        self.advance_to(5.0)
        told = self.told(self.hear(NEW), Event.REVISION_HEARD)
        self.assertEqual((told["revision"], told["peer"]), (9, PEER.name))
        self.advance_to(5.5)
        self.assertEqual(self.fields(self.hear(NEW), Event.REVISION_HEARD), [])
        self.assertEqual((self.log.behind_since, self.log.newest_reported), (5.0, 9))

    def check_arrival(self, message: Any, way: DeliveryChannel) -> None:
        self.advance_to(5.0)
        self.hear(NEW)
        self.advance_to(7.25)
        effects = self.from_peer(message)
        for event in (Event.REVISION_HELD, Event.REVISION_IN_FORCE):
            told = self.told(effects, event)
            self.assertEqual((told["revision"], told["way"]), (9, way.value))
            self.assertEqual(told["since_heard"], 2.25)
        self.assertIn(StageReached(Stage.IN_FORCE, way, 2.25), effects)
        self.assertIsNone(self.log.behind_since)

    def test_the_way_of_a_delta(self) -> None:
        self.check_arrival(self.delta(), DeliveryChannel.DELTA)

    def test_the_way_of_a_snapshot(self) -> None:
        snapshot = SnapshotAnswer(DocumentKind.CONFIGURATION, NEW, tree("new"))
        self.check_arrival(snapshot, DeliveryChannel.SNAPSHOT)

    def test_the_way_of_a_heartbeat(self) -> None:
        state = VersionState.of(NEW, NEW, 1, True)
        digest = self.core.replication.machine_list.revision.digest
        beat = ReaderHeartbeat(state, digest, SourceAges(0, 0), (self.delta(),))
        self.check_arrival(beat, DeliveryChannel.HEARTBEAT)

    def test_a_rejected_revision_leaves_the_node_behind(self) -> None:
        self.advance_to(5.0)
        wrong = {**TREE, "services": {}}
        effects = self.feed(DocumentRead(DocumentKind.CONFIGURATION, 9, wrong))
        self.assertEqual(len(self.fields(effects, Event.REVISION_REJECTED)), 1)
        self.assertEqual((self.log.behind_since, self.log.newest_reported), (5.0, 9))

    def test_a_holders_report_tells_of_its_revision(self) -> None:
        self.core = self.node(SourceProperties())
        told = self.told(self.from_peer(HeldReport(NEW)), Event.REVISION_HEARD)
        self.assertEqual(told["revision"], 9)


if __name__ == "__main__":
    unittest.main()
