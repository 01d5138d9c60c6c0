"""Phases of a node: joining, serving, waking, being replaced, leaving."""

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
START = 1000
LONG_PAUSE = 300.0
PEER = MemberUpdate("peer", "127.0.0.1:2", "a", "", 500, MemberStatus.ALIVE)


def own_name(incarnation: int, status: MemberStatus = MemberStatus.ALIVE) -> MemberUpdate:
    return MemberUpdate("self", "127.0.0.9:1", "a", "", incarnation, status)


def answer_about(*members: MemberUpdate) -> MessageReceived:
    state = VersionState.of(NO_REVISION, NO_REVISION, 0, serving=True)
    return MessageReceived(PEER.name, PEER.address, 500, JoinAnswer(state, PEER, members))


class NodeCoreTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 0.0
        self.core = NodeCore(
            NodeIdentity("self", "127.0.0.1:1", "a", "", START), FAST, Random(1), self.now
        )

    def feed(self, event: Input) -> list[Effect]:
        return self.core.handle(self.now, event)

    def tick_for(self, seconds: float) -> list[Effect]:
        effects: list[Effect] = []
        for _ in range(round(seconds / FAST.tick)):
            self.now += FAST.tick
            effects += self.feed(Ticked())
        return effects

    def serve(self) -> None:
        """Bootstrap a fleet of one."""
        self.tick_for(FAST.bootstrap_delay + FAST.reader_settle + FAST.join_patience)
        self.feed(DocumentRead(DocumentKind.CONFIGURATION, 1, TREE))
        self.assertEqual(self.core.phase, NodePhase.SERVING)

    def test_nothing_is_in_force_before_the_node_serves(self) -> None:
        effects = self.feed(DocumentRead(DocumentKind.CONFIGURATION, 1, TREE))
        self.assertFalse(any(isinstance(effect, BringIntoForce) for effect in effects))

    def test_a_paused_process_that_was_replaced_never_serves_again(self) -> None:
        self.serve()
        self.now += LONG_PAUSE
        effects = self.feed(Ticked())
        self.assertIn(SetServing(False), effects)
        self.feed(answer_about(own_name(START + 60_000)))
        self.tick_for(10.0)
        self.assertEqual(self.core.phase, NodePhase.SUPERSEDED)

    def test_a_process_that_was_only_suspected_refutes_and_serves_again(self) -> None:
        self.serve()
        self.now += LONG_PAUSE
        self.feed(answer_about(own_name(START, MemberStatus.DEAD)))
        self.assertEqual(self.core.membership.own_update.incarnation, START + 1)
        self.assertEqual(self.core.phase, NodePhase.JOINING)

    def test_a_replacement_whose_clock_is_behind_outranks_its_predecessor(self) -> None:
        self.feed(answer_about(own_name(START + 60_000, MemberStatus.DEAD)))
        self.assertEqual(self.core.membership.own_update.incarnation, START + 60_001)
        self.assertEqual(self.core.phase, NodePhase.JOINING)

    def test_a_message_handled_before_the_ticker_already_notices_the_pause(self) -> None:
        self.serve()
        self.now += LONG_PAUSE
        effects = self.feed(answer_about())
        self.assertIn(SetServing(False), effects)

    def test_a_serving_node_answers_a_joiner_with_its_versions(self) -> None:
        self.serve()
        request = MessageReceived(PEER.name, PEER.address, 500, JoinRequest(PEER))
        answers = [
            effect.message
            for effect in self.feed(request)
            if isinstance(effect, Send) and isinstance(effect.message, JoinAnswer)
        ]
        self.assertEqual(answers[0].state.committed, revision_id_of(1, TREE))
        self.assertTrue(answers[0].state.serving)

    def test_a_draining_node_tells_its_peers(self) -> None:
        self.serve()
        self.feed(MessageReceived(PEER.name, PEER.address, 500, JoinRequest(PEER)))
        effects = self.feed(DrainRequested())
        pings = [
            effect.message
            for effect in effects
            if isinstance(effect, Send) and isinstance(effect.message, Ping)
        ]
        self.assertEqual(pings[0].updates[0].status, MemberStatus.LEAVING)
        self.assertEqual(self.core.phase, NodePhase.LEAVING)


if __name__ == "__main__":
    unittest.main()
