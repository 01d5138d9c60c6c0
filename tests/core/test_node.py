"""Phases of a node: joining, serving, resuming after a pause, superseded, leaving."""

import unittest
from random import Random

from pewtertack.core.effects import BringIntoForce, Effect, Send, SetServing
from pewtertack.core.identity import NodeIdentity
from pewtertack.core.inputs import DocumentRead, DrainRequested, Input, MessageReceived, Ticked
from pewtertack.core.node import NodeCore, NodePhase
from pewtertack.core.profile import FAST
from pewtertack.core.revision import NO_REVISION, revision_id_of
from pewtertack.wire.messages import (
    DocumentKind,
    JoinAnswer,
    JoinRequest,
    MemberStatus,
    MemberUpdate,
    Ping,
    VersionState,
)

TREE = {
    "services": {"archive": {}},
    "routes": {"browse": {"service": "archive", "path_prefix": "/"}},
}
INCARNATION = 1000
LONG_PAUSE_SECONDS = 300.0
PEER = MemberUpdate("peer", "127.0.0.1:2", "a", "", 500, MemberStatus.ALIVE)


def own_update(incarnation: int, status: MemberStatus = MemberStatus.ALIVE) -> MemberUpdate:
    return MemberUpdate("self", "127.0.0.9:1", "a", "", incarnation, status)


def join_answer(*members: MemberUpdate) -> MessageReceived:
    state = VersionState.of(NO_REVISION, NO_REVISION, 0, serving=True)
    return MessageReceived(PEER.name, PEER.address, 500, JoinAnswer(state, PEER, members))


class NodeCoreTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 0.0
        self.core = NodeCore(
            NodeIdentity("self", "127.0.0.1:1", "a", "", INCARNATION), FAST, Random(1), self.now
        )

    def handle(self, event: Input) -> list[Effect]:
        return self.core.handle(self.now, event)

    def tick_for(self, seconds: float) -> list[Effect]:
        effects: list[Effect] = []
        for _ in range(round(seconds / FAST.tick)):
            self.now += FAST.tick
            effects += self.handle(Ticked())
        return effects

    def serve(self) -> None:
        """Bring a fleet of one node to the serving phase."""
        self.tick_for(FAST.bootstrap_delay + FAST.reader_settle + FAST.join_patience)
        self.handle(DocumentRead(DocumentKind.CONFIGURATION, 1, TREE))
        self.assertEqual(self.core.phase, NodePhase.SERVING)

    def test_no_configuration_is_in_force_before_the_node_serves(self) -> None:
        effects = self.handle(DocumentRead(DocumentKind.CONFIGURATION, 1, TREE))
        self.assertFalse(any(isinstance(effect, BringIntoForce) for effect in effects))

    def test_a_process_replaced_during_a_pause_never_serves_again(self) -> None:
        self.serve()
        self.now += LONG_PAUSE_SECONDS
        effects = self.handle(Ticked())
        self.assertIn(SetServing(False), effects)
        self.handle(join_answer(own_update(INCARNATION + 60_000)))
        self.tick_for(10.0)
        self.assertEqual(self.core.phase, NodePhase.SUPERSEDED)

    def test_a_paused_process_reported_dead_refutes_and_joins_again(self) -> None:
        self.serve()
        self.now += LONG_PAUSE_SECONDS
        self.handle(join_answer(own_update(INCARNATION, MemberStatus.DEAD)))
        self.assertEqual(self.core.membership.own_update.incarnation, INCARNATION + 1)
        self.assertEqual(self.core.phase, NodePhase.JOINING)

    def test_a_replacement_with_a_slow_clock_exceeds_its_predecessors_incarnation(self) -> None:
        self.handle(join_answer(own_update(INCARNATION + 60_000, MemberStatus.DEAD)))
        self.assertEqual(self.core.membership.own_update.incarnation, INCARNATION + 60_001)
        self.assertEqual(self.core.phase, NodePhase.JOINING)

    def test_a_message_handled_before_the_first_tick_detects_the_pause(self) -> None:
        self.serve()
        self.now += LONG_PAUSE_SECONDS
        effects = self.handle(join_answer())
        self.assertIn(SetServing(False), effects)

    def test_a_serving_node_answers_a_join_request_with_its_versions(self) -> None:
        self.serve()
        request = MessageReceived(PEER.name, PEER.address, 500, JoinRequest(PEER))
        answers = [
            effect.message
            for effect in self.handle(request)
            if isinstance(effect, Send) and isinstance(effect.message, JoinAnswer)
        ]
        self.assertEqual(answers[0].state.committed, revision_id_of(1, TREE))
        self.assertTrue(answers[0].state.serving)

    def test_a_draining_node_notifies_its_peers(self) -> None:
        self.serve()
        self.handle(MessageReceived(PEER.name, PEER.address, 500, JoinRequest(PEER)))
        effects = self.handle(DrainRequested())
        pings = [
            effect.message
            for effect in effects
            if isinstance(effect, Send) and isinstance(effect.message, Ping)
        ]
        self.assertEqual(pings[0].updates[0].status, MemberStatus.LEAVING)
        self.assertEqual(self.core.phase, NodePhase.LEAVING)


if __name__ == "__main__":
    unittest.main()
