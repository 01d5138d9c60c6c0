"""Notices about leaving back ends."""

import unittest

from pewtertack.core.machines import Machine, MachineList, MachineRole, MachineState
from pewtertack.core.replication.leaving import MAX_UNLISTED_NOTICES, LeavingBackends
from pewtertack.wire.messages import LeavingBackend


def list_of(*addresses: str) -> MachineList:
    machines = (
        Machine(f"b-{address}", MachineRole.BACKEND, "a", address, "archive")
        for address in addresses
    )
    return MachineList(1, tuple(machines))


class LeavingBackendsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.leaving = LeavingBackends()
        self.notice = LeavingBackend("b-1", "1")

    def test_a_notice_is_new_once_and_overrides_the_lagging_list(self) -> None:
        machines = list_of("1", "2")
        self.assertEqual(self.leaving.observe([self.notice], machines), (self.notice,))
        self.assertEqual(self.leaving.observe([self.notice], machines), ())
        states = [machine.state for machine in self.leaving.apply(machines).machines]
        self.assertEqual(states, [MachineState.LEAVING, MachineState.LIVE])

    def test_a_replacement_with_the_same_name_is_used(self) -> None:
        self.leaving.observe([self.notice], list_of("1"))
        replacement = Machine("b-1", MachineRole.BACKEND, "a", "9", "archive")
        machines = MachineList(2, (replacement,))
        self.assertEqual(self.leaving.apply(machines), machines)

    def test_a_notice_does_not_apply_to_the_next_incarnation(self) -> None:
        def list_started_at(started_at: int) -> MachineList:
            role = MachineRole.BACKEND
            machine = Machine("b-1", role, "a", "1", "archive", started_at=started_at)
            return MachineList(1, (machine,))

        notice = LeavingBackend("b-1", "1", 7)
        self.assertEqual(self.leaving.observe([notice], list_started_at(7)), (notice,))
        self.assertEqual(self.leaving.apply(list_started_at(8)), list_started_at(8))
        self.assertEqual(self.leaving.observe([notice], list_started_at(8)), ())

    def test_a_notice_about_an_unlisted_back_end_counts_once_it_is_listed(self) -> None:
        self.assertEqual(self.leaving.observe([self.notice], list_of("2")), ())
        states = [machine.state for machine in self.leaving.apply(list_of("1", "2")).machines]
        self.assertEqual(states, [MachineState.LEAVING, MachineState.LIVE])

    def test_a_lapsed_entry_that_returns_is_still_leaving(self) -> None:
        self.leaving.observe([self.notice], list_of("1", "2"))
        self.assertEqual(self.leaving.apply(list_of("2")), list_of("2"))
        states = [machine.state for machine in self.leaving.apply(list_of("1", "2")).machines]
        self.assertEqual(states, [MachineState.LEAVING, MachineState.LIVE])

    def test_only_the_latest_notices_about_unlisted_back_ends_are_kept(self) -> None:
        first, *rest = (
            LeavingBackend(f"x{number}", "y") for number in range(MAX_UNLISTED_NOTICES + 1)
        )
        self.assertEqual(self.leaving.observe([first, *rest], list_of("1")), ())
        entries = [
            Machine(notice.name, MachineRole.BACKEND, "a", "y", "archive")
            for notice in (first, *rest)
        ]
        states = [
            machine.state for machine in self.leaving.apply(MachineList(2, tuple(entries))).machines
        ]
        expected = [MachineState.LIVE] + [MachineState.LEAVING] * MAX_UNLISTED_NOTICES
        self.assertEqual(states, expected)

    def test_a_starting_peer_needs_the_notices_that_the_list_does_not_show(self) -> None:
        machines = list_of("1", "2")
        self.leaving.observe([self.notice], machines)
        self.assertEqual(self.leaving.unknown_to(machines), (self.notice,))
        self.assertEqual(self.leaving.unknown_to(self.leaving.apply(machines)), ())
