"""Log events and effects for the stages of a revision at a node."""

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
        self.handle(DocumentRead(DocumentKind.CONFIGURATION, OLD.number, TREE))
        self.handle(DocumentRead(DocumentKind.MACHINE_LIST, 1, MACHINES))
        self.log = self.core.replication.stages.log

    def node(self, source: SourceProperties) -> NodeCore:
        identity = NodeIdentity("self", "127.0.0.1:1", "a", "", 1000)
        return NodeCore(identity, DIRECT, Random(1), self.now, source=source)

    def handle(self, event: Input) -> list[Effect]:
        return self.core.handle(self.now, event)

    def advance_to(self, time: float) -> None:
        """Advance the time with regular ticks, because a gap would count as a pause."""
        while self.now + DIRECT.tick < time:
            self.now += DIRECT.tick
            self.handle(Ticked())
        self.now = time

    def from_peer(self, message: Any) -> list[Effect]:
        return self.handle(MessageReceived(PEER.name, PEER.address, PEER.incarnation, message))

    def announce(self, newest: RevisionId) -> list[Effect]:
        return self.from_peer(Announce(VersionState.of(newest, newest, 1, True)))

    def all_fields(self, effects: list[Effect], event: Event) -> list[dict[str, Any]]:
        return [item.fields for item in effects if isinstance(item, Log) and item.event is event]

    def single_fields(self, effects: list[Effect], event: Event) -> dict[str, Any]:
        (fields,) = self.all_fields(effects, event)
        return fields

    def delta(self) -> DeltaAnswer:
        edits = compare(TREE, tree("new"))
        return DeltaAnswer(DocumentKind.CONFIGURATION, (Delta(OLD, NEW, edits),))

    def test_a_revision_read_from_the_source_passes_all_stages_at_once(self) -> None:
        self.advance_to(5.0)
        read = DocumentRead(DocumentKind.CONFIGURATION, 9, tree("new"))
        effects = self.handle(read)
        self.assertEqual(self.all_fields(effects, Event.REVISION_HEARD), [])
        for event in (Event.REVISION_HELD, Event.REVISION_COMMITTED, Event.REVISION_IN_FORCE):
            fields = self.single_fields(effects, event)
            self.assertEqual((fields["way"], fields["since_heard"]), ("source", 0.0))
        reached = [item for item in effects if isinstance(item, StageReached)]
        stages = (Stage.HELD, Stage.COMMITTED, Stage.IN_FORCE)
        self.assertEqual(
            reached, [StageReached(stage, DeliveryChannel.SOURCE, 0.0) for stage in stages]
        )
        self.assertIsNone(self.log.behind_since)

    def test_an_announced_revision_is_logged_once_and_makes_the_node_behind(self) -> None:
        self.advance_to(5.0)
        fields = self.single_fields(self.announce(NEW), Event.REVISION_HEARD)
        self.assertEqual((fields["revision"], fields["peer"]), (9, PEER.name))
        self.advance_to(5.5)
        self.assertEqual(self.all_fields(self.announce(NEW), Event.REVISION_HEARD), [])
        self.assertEqual((self.log.behind_since, self.log.newest_reported), (5.0, 9))

    def check_arrival(self, message: Any, channel: DeliveryChannel) -> None:
        self.advance_to(5.0)
        self.announce(NEW)
        self.advance_to(7.25)
        effects = self.from_peer(message)
        for event in (Event.REVISION_HELD, Event.REVISION_IN_FORCE):
            fields = self.single_fields(effects, event)
            self.assertEqual((fields["revision"], fields["way"]), (9, channel.value))
            self.assertEqual(fields["since_heard"], 2.25)
        self.assertIn(StageReached(Stage.IN_FORCE, channel, 2.25), effects)
        self.assertIsNone(self.log.behind_since)

    def test_stages_after_a_delta(self) -> None:
        self.check_arrival(self.delta(), DeliveryChannel.DELTA)

    def test_stages_after_a_snapshot(self) -> None:
        snapshot = SnapshotAnswer(DocumentKind.CONFIGURATION, NEW, tree("new"))
        self.check_arrival(snapshot, DeliveryChannel.SNAPSHOT)

    def test_stages_after_a_heartbeat(self) -> None:
        state = VersionState.of(NEW, NEW, 1, True)
        digest = self.core.replication.machine_list.revision.digest
        heartbeat = ReaderHeartbeat(state, digest, SourceAges(0, 0), (self.delta(),))
        self.check_arrival(heartbeat, DeliveryChannel.HEARTBEAT)

    def test_a_rejected_revision_leaves_the_node_behind(self) -> None:
        self.advance_to(5.0)
        wrong = {**TREE, "services": {}}
        effects = self.handle(DocumentRead(DocumentKind.CONFIGURATION, 9, wrong))
        self.assertEqual(len(self.all_fields(effects, Event.REVISION_REJECTED)), 1)
        self.assertEqual((self.log.behind_since, self.log.newest_reported), (5.0, 9))

    def test_a_holders_report_announces_its_revision(self) -> None:
        self.core = self.node(SourceProperties())
        fields = self.single_fields(self.from_peer(HeldReport(NEW)), Event.REVISION_HEARD)
        self.assertEqual(fields["revision"], 9)


if __name__ == "__main__":
    unittest.main()
