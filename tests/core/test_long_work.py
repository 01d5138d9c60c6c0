"""A large change of the configuration is taken in by slices, and comes into force in one step."""

import gc
import time
import unittest
from random import Random
from typing import Any
from unittest import mock

from pewtertack.core.configuration.resolution import resolve_document
from pewtertack.core.effects import BringIntoForce, ContinueWork, Effect, Log, Send
from pewtertack.core.identity import NodeIdentity
from pewtertack.core.inputs import (
    DocumentRead,
    DocumentUnchanged,
    DrainRequested,
    Input,
    MessageReceived,
    Ticked,
    WorkContinued,
)
from pewtertack.core.node import NodeCore, NodePhase
from pewtertack.core.profile import LEASED, SourceProperties
from pewtertack.core.replication import replica
from pewtertack.core.replication.store import DocumentStore
from pewtertack.core.revision import revision_id_of
from pewtertack.events import Event
from pewtertack.wire.messages import (
    Announce,
    DeltaAnswer,
    DocumentKind,
    Pull,
    ReaderHeartbeat,
    SnapshotAnswer,
    VersionState,
)

BASE_ROUTES = 1500
ADDED_ROUTES = 1000
MACHINES = {
    name: {"role": "node", "zone": "a", "address": f"127.0.0.{number}:1"}
    for number, name in enumerate(("self", "peer"), 1)
}
TURNS_MAX = 1000
LONGEST_SHARE_MAX = 0.25
"""Of all the time of a change, what its longest turn takes."""


def tree(routes: int, service: str = "archive") -> dict[str, Any]:
    entries = {
        f"r{n}": {
            "service": service,
            "hosts": [f"h{n % 9}.example"],
            "path_prefix": f"/p{n}",
            "timeout": "1500ms",
            "split": {},
        }
        for n in range(routes)
    }
    return {"services": {"archive": {}}, "routes": entries}


class LongWorkTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 0.0
        identity = NodeIdentity("self", "127.0.0.1:1", "a", "", 1000)
        source = SourceProperties(durable=True)
        self.core = NodeCore(identity, LEASED, Random(1), self.now, source=source)
        self.feed(Ticked())
        self.begun = self.read(1, tree(BASE_ROUTES))
        self.feed(DocumentRead(DocumentKind.MACHINE_LIST, 1, MACHINES))
        self.assertEqual(self.core.phase, NodePhase.SERVING)

    def feed(self, event: Input) -> list[Effect]:
        return self.core.handle(self.now, event)

    def read(self, number: int, document: dict[str, Any]) -> list[Effect]:
        return self.feed(DocumentRead(DocumentKind.CONFIGURATION, number, document))

    def from_peer(self, message: Any) -> list[Effect]:
        return self.feed(MessageReceived("peer", "127.0.0.2:1", 500, message))

    def in_force(self) -> int:
        return self.core.replication.replica.in_force_number

    def go_on(self, effects: list[Effect]) -> list[Effect]:
        """Answer each ``ContinueWork``; return all effects that follow."""
        found: list[Effect] = []
        for _ in range(TURNS_MAX):
            if not any(isinstance(effect, ContinueWork) for effect in effects):
                return found
            effects = self.feed(WorkContinued())
            found += effects
        raise AssertionError("the work has no end")

    def versions(self, effects: list[Effect]) -> list[int]:
        return [
            effect.configuration.revision.number
            for effect in effects
            if isinstance(effect, BringIntoForce)
        ]

    def test_a_joining_node_takes_all_at_once(self) -> None:
        self.assertFalse(any(isinstance(effect, ContinueWork) for effect in self.begun))

    def test_a_small_change_comes_into_force_at_once(self) -> None:
        effects = self.read(2, tree(BASE_ROUTES + 1))
        self.go_on(effects)
        effects = self.read(3, {**tree(5), "services": {"archive": {}, "new": {}}})
        self.go_on(effects)
        self.assertEqual(self.versions(self.read(4, tree(6))), [4])

    def test_a_large_change_is_the_same_by_slices(self) -> None:
        document = tree(BASE_ROUTES + ADDED_ROUTES)
        effects = self.read(2, document)
        self.assertEqual(self.versions(effects), [])
        self.assertEqual(self.in_force(), 1)
        found = self.go_on(effects)
        (swap,) = (effect for effect in found if isinstance(effect, BringIntoForce))
        whole = resolve_document(document, revision_id_of(2, document), "a")
        self.assertEqual(swap.configuration, whole)

    def test_no_turn_takes_long(self) -> None:
        self.assert_no_turn_takes_long(tree(BASE_ROUTES + ADDED_ROUTES))

    def test_no_turn_takes_long_where_more_than_routes_changes(self) -> None:
        document = tree(BASE_ROUTES + ADDED_ROUTES)
        document["services"]["new"] = {}
        self.assert_no_turn_takes_long(document)

    def assert_no_turn_takes_long(self, document: dict[str, Any]) -> None:
        """Of several runs, since the machine's other work lengthens single turns."""
        shares = []
        gc.disable()
        try:
            for _ in range(3):
                self.setUp()
                seconds = self.turns_of(document)
                shares.append(max(seconds) / sum(seconds))
        finally:
            gc.enable()
        self.assertLess(min(shares), LONGEST_SHARE_MAX)

    def turns_of(self, document: dict[str, Any]) -> list[float]:
        """Return the processor time of each turn until the document is in force."""
        seconds = []
        event: Input = DocumentRead(DocumentKind.CONFIGURATION, 2, document)
        while self.in_force() != 2:
            began = time.process_time()
            effects = self.feed(event)
            seconds.append(time.process_time() - began)
            self.assertTrue(
                self.in_force() == 2 or any(isinstance(e, ContinueWork) for e in effects)
            )
            event = WorkContinued()
        return seconds

    def test_other_inputs_are_not_lengthened(self) -> None:
        self.read(2, tree(BASE_ROUTES + ADDED_ROUTES))
        for _ in range(200):
            self.assertFalse(
                any(isinstance(effect, ContinueWork) for effect in self.feed(Ticked()))
            )
        self.assertEqual(self.in_force(), 1)

    def test_a_chain_and_a_whole_from_a_peer_are_taken_by_slices(self) -> None:
        other = LongWorkTest("setUp")
        other.setUp()
        first = other.core.replication.replica.held
        document = tree(BASE_ROUTES + ADDED_ROUTES)
        other.go_on(other.read(2, document))
        deltas = other.core.replication.replica.store.deltas_since(first)
        assert deltas is not None
        effects = self.from_peer(DeltaAnswer(DocumentKind.CONFIGURATION, deltas))
        self.assertEqual(self.in_force(), 1)
        self.assertEqual(self.versions(self.go_on(effects)), [2])
        larger = tree(BASE_ROUTES + 2 * ADDED_ROUTES)
        whole = SnapshotAnswer(DocumentKind.CONFIGURATION, revision_id_of(3, larger), larger)
        effects = self.from_peer(whole)
        self.assertEqual(self.in_force(), 2)
        self.assertEqual(self.versions(self.go_on(effects)), [3])

    def test_a_whole_with_another_digest_is_refused(self) -> None:
        larger = tree(BASE_ROUTES + ADDED_ROUTES)
        wrong = SnapshotAnswer(DocumentKind.CONFIGURATION, revision_id_of(3, tree(1)), larger)
        found = self.go_on(self.from_peer(wrong))
        events = [effect.event for effect in found if isinstance(effect, Log)]
        self.assertIn(Event.FRAME_REFUSED, events)
        self.assertEqual(self.in_force(), 1)

    def test_the_newest_that_comes_meanwhile_follows(self) -> None:
        effects = self.read(2, tree(BASE_ROUTES + ADDED_ROUTES))
        for number in (3, 5, 4):
            added = ADDED_ROUTES + number
            self.assertEqual(self.versions(self.read(number, tree(BASE_ROUTES + added))), [])
        self.assertEqual(self.versions(self.go_on(effects)), [2, 5])

    def test_versions_that_follow_without_a_pause_all_come_nearer(self) -> None:
        effects = self.read(2, tree(BASE_ROUTES + ADDED_ROUTES))
        seen: list[int] = []
        for number in range(3, 400):
            size = BASE_ROUTES + ADDED_ROUTES + number
            if any(isinstance(effect, ContinueWork) for effect in effects):
                effects = self.feed(WorkContinued())
                seen += self.versions(effects)
            if number % 10 == 0:
                effects += self.read(number, tree(size))
        self.assertGreater(len(seen), 2)
        self.assertEqual(seen, sorted(seen))

    def test_versions_come_into_force_while_another_always_waits(self) -> None:
        self.read(2, tree(BASE_ROUTES + ADDED_ROUTES))
        seen: list[int] = []
        for number in range(3, 300):
            size = BASE_ROUTES + ADDED_ROUTES + number % 50
            seen += self.versions(self.read(number, tree(size)))
            seen += self.versions(self.feed(WorkContinued()))
        self.assertGreater(len(seen), 2)
        self.assertEqual(seen, sorted(seen))

    def test_an_invalid_one_leaves_the_held_one(self) -> None:
        effects = self.read(2, tree(BASE_ROUTES + ADDED_ROUTES, service="unknown"))
        found = self.go_on(effects)
        events = [effect.event for effect in (*effects, *found) if isinstance(effect, Log)]
        self.assertIn(Event.REVISION_REJECTED, events)
        self.assertEqual(self.core.replication.replica.held.number, 1)
        self.assertEqual(self.versions(self.go_on(self.read(3, tree(BASE_ROUTES + 1)))), [3])

    def test_what_is_under_work_is_not_asked_for(self) -> None:
        document = tree(BASE_ROUTES + ADDED_ROUTES)
        newer = revision_id_of(2, document)
        state = VersionState.of(newer, newer, 1, True)
        begun = self.read(2, document)
        sent = self.from_peer(Announce(state)) + self.feed(Ticked())
        pulls = [e for e in sent if isinstance(e, Send) and isinstance(e.message, Pull)]
        self.assertEqual(pulls, [])
        self.go_on(begun)
        self.assertEqual(self.in_force(), 2)

    def test_a_change_that_another_took_the_place_of_is_asked_for(self) -> None:
        other = LongWorkTest("setUp")
        other.setUp()
        store = other.core.replication.replica.store
        begun: list[Effect] = []
        for number in (2, 3, 4):
            before = store.revision
            other.go_on(other.read(number, tree(BASE_ROUTES + ADDED_ROUTES + number)))
            deltas = store.deltas_since(before)
            assert deltas is not None
            begun += self.from_peer(DeltaAnswer(DocumentKind.CONFIGURATION, deltas))
            state = VersionState.of(store.revision, store.revision, 1, True)
            begun += self.from_peer(Announce(state))
        self.go_on(begun)
        self.assertEqual(self.core.replication.replica.held.number, 2)
        sent = self.feed(Ticked())
        (pull,) = (e.message for e in sent if isinstance(e, Send) and isinstance(e.message, Pull))
        self.assertEqual(pull.have, self.core.replication.replica.held)
        rest = store.deltas_since(pull.have)
        assert rest is not None
        self.go_on(self.from_peer(DeltaAnswer(DocumentKind.CONFIGURATION, rest)))
        self.assertEqual(self.in_force(), 4)

    def test_what_is_held_is_not_told_as_confirmed_by_what_is_under_work(self) -> None:
        self.now = 0.4
        self.feed(Ticked())
        freshness = self.core.replication.freshness
        before = freshness.age(self.now, DocumentKind.CONFIGURATION)
        effects = self.read(2, tree(BASE_ROUTES + ADDED_ROUTES))
        self.assertEqual(freshness.age(self.now, DocumentKind.CONFIGURATION), before)
        self.go_on(effects)
        self.assertEqual(freshness.age(self.now, DocumentKind.CONFIGURATION), 0.0)
        told = [
            effect.message.state.held.number
            for effect in effects
            if isinstance(effect, Send) and isinstance(effect.message, ReaderHeartbeat)
        ]
        self.assertNotIn(2, told)

    def test_what_is_held_is_not_told_as_confirmed_by_what_waits(self) -> None:
        freshness = self.core.replication.freshness
        for self.now, number in ((0.1, 2), (0.3, 3)):
            self.read(number, tree(BASE_ROUTES + number * ADDED_ROUTES))
        while self.core.replication.replica.held.number < 2:
            self.feed(WorkContinued())
        self.assertEqual(self.core.replication.replica.held.number, 2)
        self.assertAlmostEqual(freshness.age(self.now, DocumentKind.CONFIGURATION), 0.2)
        while self.core.replication.replica.held.number < 3:
            self.feed(WorkContinued())
        self.assertEqual(freshness.age(self.now, DocumentKind.CONFIGURATION), 0.0)

    def test_a_fault_in_the_work_leaves_the_node_able_to_take_the_next(self) -> None:
        self.now = 0.1
        effects = self.read(2, tree(BASE_ROUTES + ADDED_ROUTES))
        fault = mock.patch.object(DocumentStore, "put", side_effect=KeyError("a fault"))
        with fault, self.assertRaises(KeyError):
            self.go_on(effects)
        freshness = self.core.replication.freshness
        self.assertEqual(freshness.age(0.1, DocumentKind.CONFIGURATION), 0.0)
        effects = self.read(3, tree(BASE_ROUTES + 1))
        found = effects + self.go_on(effects)
        self.assertEqual(self.versions(found), [3])

    def test_work_that_fails_does_not_end_confirmations(self) -> None:
        with mock.patch.object(replica, "checking_document", side_effect=KeyError("secret")):
            self.read(2, tree(BASE_ROUTES + ADDED_ROUTES))
            with self.assertRaises(KeyError):
                for _ in range(TURNS_MAX):
                    self.feed(WorkContinued())
        self.now = 1.0
        self.feed(DocumentUnchanged(DocumentKind.CONFIGURATION))
        freshness = self.core.replication.freshness
        self.assertEqual(freshness.age(self.now, DocumentKind.CONFIGURATION), 0.0)
        self.go_on(self.read(3, tree(BASE_ROUTES + 1)))
        self.assertEqual(self.in_force(), 3)

    def test_a_node_that_leaves_meanwhile_ends_its_work(self) -> None:
        effects = self.read(2, tree(BASE_ROUTES + ADDED_ROUTES))
        self.feed(DrainRequested())
        self.go_on(effects)
        self.assertEqual(self.core.phase, NodePhase.LEAVING)


if __name__ == "__main__":
    unittest.main()
