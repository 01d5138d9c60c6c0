"""Failure detector: probes, suspicion and probes relayed for other members."""

import unittest
from random import Random

from pewtertack.core.identity import NodeIdentity
from pewtertack.core.membership.detector import (
    FailureDetector,
    ProbeDirect,
    ProbeIndirect,
    StatusChanged,
)
from pewtertack.core.membership.table import MemberTable
from pewtertack.core.profile import TimingProfile
from pewtertack.wire.messages import MemberStatus, MemberUpdate

PROFILE = TimingProfile()


class FailureDetectorTest(unittest.TestCase):
    def setUp(self) -> None:
        identity = NodeIdentity("self", "127.0.0.1:9", "a", "r", 1)
        self.table = MemberTable(identity, 20.0, 600.0)
        for index in range(5):
            member = MemberUpdate(
                f"m{index}", f"127.0.0.1:{index}", "a", "r", 1, MemberStatus.ALIVE
            )
            self.table.merge(member, 0.0)
        self.detector = FailureDetector(self.table, PROFILE, Random(1), 0.0)

    def run_without_answers(self, until: float, start: float = 0.0) -> list[object]:
        actions: list[object] = []
        for step in range(int(start * 10), int(until * 10)):
            actions += self.detector.tick(step / 10)
        return actions

    def test_a_silent_member_is_probed_indirectly_suspected_and_declared_dead(self) -> None:
        actions = self.run_without_answers(until=20.0)
        first_probe = next(action for action in actions if isinstance(action, ProbeDirect))
        indirect = next(action for action in actions if isinstance(action, ProbeIndirect))
        self.assertEqual(indirect.target, first_probe.target)
        self.assertNotIn(indirect.target, indirect.helpers)
        changes = [
            action.update.status
            for action in actions
            if isinstance(action, StatusChanged) and action.update.name == first_probe.target
        ]
        self.assertEqual(changes[:2], [MemberStatus.SUSPECT, MemberStatus.DEAD])

    def test_an_answer_in_time_prevents_suspicion(self) -> None:
        for step in range(100):
            for action in self.detector.tick(step / 10):
                self.assertNotIsInstance(action, StatusChanged)
                if isinstance(action, ProbeDirect):
                    self.detector.on_acknowledge(action.sequence)

    def test_only_few_nodes_of_a_large_fleet_probe_an_unreachable_member(self) -> None:
        for index in range(1000):
            status = MemberStatus.DEAD if index == 0 else MemberStatus.ALIVE
            member = MemberUpdate(f"n{index}", "127.0.0.1:99", "a", "r", 1, status)
            self.table.merge(member, 0.0)
        probes = [
            action
            for action in self.run_without_answers(until=500 * PROFILE.reconnect_interval)
            if isinstance(action, ProbeDirect) and action.target == "n0"
        ]
        self.assertGreater(len(probes), 0)
        self.assertLess(len(probes), 50, "every node probed it in every interval")

    def test_no_member_is_declared_dead_because_this_node_was_paused(self) -> None:
        self.run_without_answers(until=3.0)
        self.detector.after_pause(500.0)
        actions = self.detector.tick(500.0)
        statuses = [action.update.status for action in actions if isinstance(action, StatusChanged)]
        self.assertNotIn(MemberStatus.DEAD, statuses)

    def test_the_answer_to_a_relayed_probe_names_the_requester(self) -> None:
        probe = self.detector.start_relay("m1", 77, "m2")
        assert probe is not None
        relayed = self.detector.on_acknowledge(probe.sequence)
        assert relayed is not None
        self.assertEqual((relayed.requester, relayed.sequence, relayed.target), ("m1", 77, "m2"))

    def test_a_dead_member_is_probed_again_to_notice_a_healed_partition(self) -> None:
        dead = MemberUpdate("m0", "127.0.0.1:0", "a", "r", 1, MemberStatus.DEAD)
        self.table.merge(dead, 0.0)
        actions = self.run_without_answers(until=PROFILE.reconnect_interval + 1)
        probed = [action.target for action in actions if isinstance(action, ProbeDirect)]
        self.assertIn("m0", probed)
