"""Requests for overrides by a node that started shortly before a new era of the source."""

import unittest
from random import Random

from pewtertack.core.eras import list_number
from pewtertack.core.identity import NodeIdentity
from pewtertack.core.membership.table import MemberTable
from pewtertack.core.new_entries import COPY_AGE_MAX_SECONDS, NEW_ENTRY_WAIT_SECONDS
from pewtertack.core.profile import LEASED
from pewtertack.core.replication.restore_inquiry import REQUIRED_ANSWERS, RestoreInquiry
from pewtertack.core.revision import NO_REVISION
from pewtertack.wire.messages import MemberStatus, MemberUpdate, VersionState

HOLD_SECONDS = 6.0
PEERS = tuple(f"p{number}" for number in range(6))


def state(era: int, serving: bool = True) -> VersionState:
    return VersionState.of(NO_REVISION, NO_REVISION, list_number(era, 5), serving)


class RestoreInquiryTest(unittest.TestCase):
    def setUp(self) -> None:
        identity = NodeIdentity("self", "127.0.0.1:1", "a", "", 1)
        table = MemberTable(identity, LEASED.dead_retention, LEASED.forget_after)
        for number, name in enumerate(PEERS, 2):
            address = f"127.0.0.1:{number}"
            table.merge(MemberUpdate(name, address, "a", "", 1, MemberStatus.ALIVE), 0.0)
        self.inquiry = RestoreInquiry(LEASED, table, Random(1), HOLD_SECONDS, 0.0)

    def asked_peers(self, since: float, seconds: float) -> list[str]:
        times = [since + step * LEASED.tick for step in range(round(seconds / LEASED.tick))]
        return [name for now in times for name in self.inquiry.peers_to_ask(now)]

    def test_no_peer_is_asked_in_era_0(self) -> None:
        self.assertEqual(self.asked_peers(0.0, 10.0), [])
        self.assertFalse(self.inquiry.is_pending(0.1))

    def test_peers_are_asked_until_enough_that_know_the_era_have_answered(self) -> None:
        self.inquiry.begin_era(0.1, 2)
        self.assertTrue(self.inquiry.is_pending(0.2))
        self.assertGreaterEqual(len(set(self.asked_peers(0.1, 0.5))), REQUIRED_ANSWERS)
        self.assertTrue(self.inquiry.on_join_answer(PEERS[0], state(1)))
        self.assertFalse(self.inquiry.on_join_answer(PEERS[1], state(2, serving=False)))
        self.assertTrue(self.inquiry.is_pending(0.6))
        with self.subTest("a peer that did not know the era is asked again"):
            self.assertIn(PEERS[0], self.asked_peers(0.6, 0.3))
        for name in PEERS[:REQUIRED_ANSWERS]:
            self.assertFalse(self.inquiry.on_join_answer(name, state(2)))
            self.assertFalse(self.inquiry.is_pending(0.6))
        self.assertEqual(self.asked_peers(1.0, 4.0), [])
        with self.subTest("a later era"):
            self.inquiry.begin_era(5.0, 3)
            self.assertNotEqual(self.asked_peers(5.0, 1.0), [])
            self.assertFalse(self.inquiry.is_pending(5.1))

    def test_asking_ends_when_overrides_expire(self) -> None:
        self.inquiry.begin_era(0.1, 2)
        self.assertFalse(self.inquiry.is_pending(LEASED.join_patience))
        self.assertNotEqual(self.asked_peers(0.1, HOLD_SECONDS), [])
        self.assertEqual(self.asked_peers(0.2 + HOLD_SECONDS, 5.0), [])

    def test_a_node_started_long_before_the_era_asks_only_after_a_pause(self) -> None:
        now = COPY_AGE_MAX_SECONDS + 1.0
        self.inquiry.begin_era(now, 2)
        self.assertEqual(self.asked_peers(now, 5.0), [])
        self.assertFalse(self.inquiry.doubts_copy(now))
        self.inquiry.restart(now + 5.0)
        self.assertNotEqual(self.asked_peers(now + 5.0, 1.0), [])

    def test_a_copy_is_doubted_until_enough_peers_answered_or_time_is_up(self) -> None:
        self.assertTrue(self.inquiry.doubts_copy(0.1))
        self.inquiry.begin_era(0.1, 2)
        self.assertTrue(self.inquiry.doubts_copy(0.2))
        self.assertFalse(self.inquiry.doubts_copy(0.1 + NEW_ENTRY_WAIT_SECONDS))
        for name in PEERS[:REQUIRED_ANSWERS]:
            self.inquiry.on_join_answer(name, state(2))
        self.assertFalse(self.inquiry.doubts_copy(0.2))
