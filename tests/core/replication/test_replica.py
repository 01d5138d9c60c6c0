"""Configuration replica: which revisions it holds, rejects and brings into force."""

import unittest
from typing import Any

from pewtertack.core.delta import Delta, DeltaMismatchError, SetValue, compare
from pewtertack.core.effects import Log
from pewtertack.core.profile import Mechanisms
from pewtertack.core.replication.replica import ConfigurationReplica, Lag
from pewtertack.core.revision import RevisionId, revision_id_of
from pewtertack.events import Event


def tree(timeout: str) -> dict[str, Any]:
    return {
        "route_defaults": {"timeout": timeout},
        "services": {"archive": {}},
        "routes": {"browse": {"service": "archive", "path_prefix": "/"}},
    }


def event_of(effects: list[Any]) -> Event:
    return next(effect.event for effect in effects if isinstance(effect, Log))


class ConfigurationReplicaTest(unittest.TestCase):
    def setUp(self) -> None:
        self.replica = ConfigurationReplica("zone", Mechanisms())
        self.replica.offer_document(5, tree("1s"))

    def commit(self, revision: RevisionId) -> None:
        self.replica.mark_committed(revision)

    def test_a_held_revision_comes_into_force_only_once_committed(self) -> None:
        self.assertIsNone(self.replica.next_in_force())
        self.commit(self.replica.held)
        configuration = self.replica.next_in_force()
        assert configuration is not None
        self.assertEqual(configuration.routes[0].timeout, 1.0)
        self.assertIsNone(self.replica.next_in_force())

    def test_lag_tells_whether_a_newer_revision_is_coming_or_refused(self) -> None:
        self.commit(self.replica.held)
        self.assertIs(self.replica.lag, Lag.COMING)
        self.replica.next_in_force()
        self.assertIs(self.replica.lag, Lag.NONE)
        self.replica.offer_document(6, {"routes": {"browse": {"service": "nowhere"}}})
        self.assertIs(self.replica.lag, Lag.REFUSED)
        self.commit(revision_id_of(8, tree("2s")))
        self.assertIs(self.replica.lag, Lag.COMING)
        self.replica.offer_document(8, tree("2s"))
        self.replica.next_in_force()
        self.assertIs(self.replica.lag, Lag.NONE)

    def test_an_older_answer_of_the_source_is_ignored(self) -> None:
        effects = self.replica.offer_document(4, tree("9s"))
        self.assertEqual(event_of(effects), Event.REVISION_STALE)
        self.assertEqual(self.replica.held.number, 5)

    def test_another_digest_under_the_held_number_is_a_conflict(self) -> None:
        effects = self.replica.offer_document(5, tree("9s"))
        self.assertEqual(event_of(effects), Event.REVISION_CONFLICT)

    def test_the_committed_digest_replaces_a_conflicting_held_one(self) -> None:
        other = tree("9s")
        revision = revision_id_of(5, other)
        self.commit(revision)
        self.assertTrue(self.replica.wants(revision))
        self.replica.offer(revision, other)
        configuration = self.replica.next_in_force()
        assert configuration is not None
        self.assertEqual(configuration.revision, revision)

    def test_an_invalid_revision_is_rejected_and_not_pulled_again(self) -> None:
        invalid = tree("1s")
        invalid["routes"]["browse"]["service"] = "missing"
        effects = self.replica.offer_document(6, invalid)
        self.assertEqual(event_of(effects), Event.REVISION_REJECTED)
        self.assertEqual(self.replica.held.number, 5)
        self.assertFalse(self.replica.wants(revision_id_of(6, invalid)))

    def test_a_committed_revision_that_was_skipped_is_fetched_and_comes_into_force(self) -> None:
        skipped = tree("6s")
        revision = revision_id_of(6, skipped)
        self.replica.offer_document(7, tree("7s"))
        self.commit(revision)
        self.assertEqual(self.replica.missing_committed, revision)
        self.replica.offer(revision, skipped)
        configuration = self.replica.next_in_force()
        assert configuration is not None
        self.assertEqual(configuration.revision.number, 6)
        self.assertEqual(self.replica.held.number, 7)

    def test_a_chain_that_does_not_fit_changes_nothing(self) -> None:
        target = revision_id_of(6, tree("2s"))
        wrong = Delta(self.replica.held, target, (SetValue(("route_defaults", "timeout"), "3s"),))
        with self.assertRaises(DeltaMismatchError):
            self.replica.offer_deltas((wrong,))
        self.assertEqual(self.replica.held.number, 5)

    def test_a_repeated_delta_changes_nothing(self) -> None:
        new = tree("2s")
        delta = Delta(self.replica.held, revision_id_of(6, new), compare(tree("1s"), new))
        self.replica.offer_deltas((delta,))
        self.assertEqual(self.replica.offer_deltas((delta,)), [])
        self.assertEqual(self.replica.held.number, 6)
