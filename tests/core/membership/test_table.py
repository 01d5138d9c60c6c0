"""Precedence of membership updates, and which members count for a quorum."""

import unittest

from pewtertack.core.identity import NodeIdentity
from pewtertack.core.machines import Machine, MachineRole
from pewtertack.core.membership.table import MemberTable
from pewtertack.wire.messages import MemberStatus, MemberUpdate

DEAD_RETENTION_SECONDS = 20.0


def update(name: str, incarnation: int, status: MemberStatus, zone: str = "a") -> MemberUpdate:
    return MemberUpdate(name, f"127.0.0.1:{len(name)}", zone, "r", incarnation, status)


def listed(name: str) -> Machine:
    return Machine(name, MachineRole.NODE, "a", "127.0.0.1:1")


class MemberTableTest(unittest.TestCase):
    def setUp(self) -> None:
        identity = NodeIdentity("self", "127.0.0.1:9", "a", "r", 1)
        self.table = MemberTable(identity, DEAD_RETENTION_SECONDS, forget_after=600.0)

    def test_a_late_alive_update_does_not_revive_a_dead_member(self) -> None:
        self.table.merge(update("one", 5, MemberStatus.DEAD), 0.0)
        self.assertFalse(self.table.merge(update("one", 5, MemberStatus.ALIVE), 1.0))
        self.assertTrue(self.table.merge(update("one", 6, MemberStatus.ALIVE), 2.0))
        self.assertEqual(self.table.reachable.first(1), ["one"])

    def test_an_unreachable_but_listed_member_counts_for_the_quorum(self) -> None:
        self.table.merge(update("one", 5, MemberStatus.ALIVE), 0.0)
        self.table.use_machine_list([listed("one")], 0.0)
        self.table.merge(update("one", 5, MemberStatus.DEAD), 0.0)
        self.table.forget_dead(1000.0)
        self.assertIn("one", self.table.quorum_members(1000.0).zone_of)
        self.table.use_machine_list([], 1000.0)
        self.table.forget_dead(1000.0)
        self.assertNotIn("one", self.table.quorum_members(1000.0).zone_of)

    def test_a_leaving_member_does_not_count(self) -> None:
        self.table.merge(update("one", 5, MemberStatus.LEAVING), 0.0)
        self.assertEqual(self.table.quorum_members(0.0).majority, 1)

    def test_a_dead_member_that_left_gracefully_does_not_count(self) -> None:
        self.table.use_machine_list([listed("one")], 0.0)
        self.table.merge(update("one", 5, MemberStatus.LEAVING), 0.0)
        self.table.merge(update("one", 5, MemberStatus.DEAD), 1.0)
        self.assertNotIn("one", self.table.quorum_members(1.0).zone_of)
        self.table.merge(update("one", 6, MemberStatus.ALIVE), 2.0)
        self.table.merge(update("one", 6, MemberStatus.DEAD), 3.0)
        self.assertIn("one", self.table.quorum_members(3.0).zone_of)

    def test_a_message_from_a_newer_process_marks_the_member_alive(self) -> None:
        self.table.use_machine_list([listed("one")], 0.0)
        self.table.merge(update("one", 0, MemberStatus.DEAD), 0.0)
        self.table.record_contact("one", "127.0.0.1:7", 42, 1.0)
        self.assertEqual(self.table.reachable_incarnations(), {"one": 42})

    def test_the_machine_list_does_not_override_membership_updates(self) -> None:
        self.table.merge(update("one", 5, MemberStatus.SUSPECT), 0.0)
        self.table.use_machine_list([listed("one")], 1.0)
        member = self.table.get("one")
        assert member is not None
        self.assertEqual(member.status, MemberStatus.SUSPECT)
