"""Machine list overrides that a starting node receives from peers after a new era began."""

import unittest
from collections.abc import Sequence
from typing import Any

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from pewtertack.core.eras import list_number
from pewtertack.core.machines import Machine, MachineList, MachineRole, MachineState
from pewtertack.core.replication.list_overrides import (
    MAX_MESSAGES,
    messages_of,
    overrides_against,
)
from pewtertack.core.returned_lists import MachineListOverrides
from pewtertack.wire.frames import DATAGRAM_BYTES_MAX, Envelope, encode_frame
from pewtertack.wire.messages import ListOverrides

HOLD_SECONDS = 6.0


def machine(name: str, started_at: int = 0, **fields: Any) -> Machine:
    fields = {"address": f"10.0.0.{ord(name[-1])}:80", "service": "desk", **fields}
    return Machine(name, MachineRole.BACKEND, "a", started_at=started_at, **fields)


def listed(era: int, revision: int, *machines: Machine) -> MachineList:
    return MachineList(list_number(era, revision), machines)


LEAVING = MachineState.LEAVING


class ReplicaModel:
    """The machine lists of one node, as read and with overrides applied."""

    def __init__(self) -> None:
        self.overrides = MachineListOverrides(HOLD_SECONDS)
        self.listed = MachineList(0, ())

    def receive_list(self, now: float, machines: MachineList) -> dict[str, Machine]:
        self.listed = machines
        self.overrides.update(now, machines)
        return self.overridden(now)

    def receive_overrides(
        self, now: float, messages: Sequence[ListOverrides]
    ) -> dict[str, Machine]:
        for message in messages:
            self.overrides.apply_report(now, message, self.listed)
        return self.overridden(now)

    def overridden(self, now: float) -> dict[str, Machine]:
        machines = self.overrides.apply(now, self.listed)
        return {item.name: item for item in machines.machines}

    def messages(self, now: float) -> tuple[ListOverrides, ...]:
        if not self.overrides.is_active(now):
            return ()
        overrides = overrides_against(self.listed, self.overrides.apply(now, self.listed))
        return messages_of(
            self.listed.number, overrides, lambda name: self.overrides.remaining_seconds(now, name)
        )


class ListOverridesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.peer, self.other, self.joiner = ReplicaModel(), ReplicaModel(), ReplicaModel()

    def begin(self, peer: ReplicaModel, *before: MachineList, copy: MachineList) -> None:
        for machines in before:
            peer.receive_list(0.0, machines)
        peer.receive_list(1.0, copy)

    def test_leaving_departed_and_kept_back_ends_are_transferred(self) -> None:
        first = listed(0, 8, machine("a"), machine("b"), machine("d", 3))
        newest = listed(0, 9, machine("a", state=LEAVING), machine("c"), machine("d", 7))
        copy = listed(1, 5, machine("a"), machine("b"), machine("d", 3), machine("e"))
        self.begin(self.peer, first, newest, copy=copy)
        overridden = self.peer.overridden(1.0)
        self.assertEqual(list(overridden), ["a", "c", "d", "e"])
        self.assertEqual(list(self.joiner.receive_list(2.0, copy)), ["a", "b", "d", "e"])
        self.assertEqual(self.joiner.receive_overrides(2.0, self.peer.messages(2.0)), overridden)
        with self.subTest("overrides expire at the same time as at the peer"):
            self.assertFalse(self.joiner.overrides.has_expired(1.0 + HOLD_SECONDS - 0.01))
            self.assertTrue(self.joiner.overrides.has_expired(1.0 + HOLD_SECONDS + 0.01))
            self.assertEqual(list(self.joiner.overridden(1.0 + HOLD_SECONDS)), ["a", "b", "d", "e"])

    def test_overrides_may_arrive_before_the_list(self) -> None:
        copy = listed(1, 5, machine("a"), machine("b"))
        self.begin(self.peer, listed(0, 9, machine("a", state=LEAVING)), copy=copy)
        for known in ((), (listed(0, 3, machine("a"), machine("b")),)):
            joiner = ReplicaModel()
            for machines in known:
                joiner.receive_list(0.0, machines)
            joiner.receive_overrides(2.0, self.peer.messages(2.0))
            self.assertEqual(joiner.receive_list(2.1, copy)["a"].state, LEAVING)
            self.assertEqual(joiner.overrides.kept_count, 0)

    def test_expired_overrides_change_nothing(self) -> None:
        copy = listed(1, 5, machine("a"))
        self.begin(self.peer, listed(0, 9, machine("a", state=LEAVING)), copy=copy)
        messages = self.peer.messages(1.0)
        self.assertEqual(self.peer.messages(1.0 + HOLD_SECONDS), ())
        self.joiner.receive_overrides(1.0, messages)
        self.assertEqual(
            self.joiner.receive_list(1.0 + HOLD_SECONDS, copy)["a"].state, MachineState.LIVE
        )
        with self.subTest("overrides of an earlier era change nothing either"):
            next_era_list = listed(2, 4, machine("a"))
            self.joiner.receive_list(8.0, next_era_list)
            self.assertEqual(
                self.joiner.receive_overrides(8.0, messages)["a"].state, MachineState.LIVE
            )

    def test_a_hold_time_of_zero_disables_overrides(self) -> None:
        copy = listed(1, 5, machine("a"))
        self.begin(self.peer, listed(0, 9, machine("a", state=LEAVING)), copy=copy)
        self.joiner.overrides = MachineListOverrides(0.0)
        self.joiner.receive_list(2.0, copy)
        self.assertEqual(
            self.joiner.receive_overrides(2.0, self.peer.messages(2.0))["a"].state,
            MachineState.LIVE,
        )

    def test_overrides_of_peers_with_different_knowledge_are_merged(self) -> None:
        """One peer missed the last list before the restore; another started after it."""
        first = listed(0, 8, machine("a"), machine("b"), machine("c"), machine("d", 3))
        newest = listed(0, 9, machine("a", state=LEAVING), machine("c"), machine("d", 7))
        copy = listed(1, 5, machine("a"), machine("b"), machine("c"), machine("d", 3))
        self.begin(self.peer, first, newest, copy=copy)
        self.begin(self.other, first, copy=copy)
        uninformed = ReplicaModel()
        uninformed.receive_list(1.0, copy)
        reports = [peer.messages(2.0) for peer in (self.peer, self.other, uninformed)]
        self.assertEqual(reports[1:], [(), ()])
        for order in (reports, reports[::-1]):
            joiner = ReplicaModel()
            joiner.receive_list(2.0, copy)
            for messages in order:
                overridden = joiner.receive_overrides(2.0, messages)
            self.assertEqual(overridden, self.peer.overridden(2.0))
        with self.subTest("of two owners of an address, the later one is kept"):
            copy_without_owners = listed(1, 5, machine("e"))
            earlier, later = machine("b", 4, address="1:1"), machine("c", 8, address="1:1")
            owners = ReplicaModel(), ReplicaModel()
            for peer, owner in zip(owners, (earlier, later), strict=True):
                self.begin(peer, listed(0, 9, machine("e"), owner), copy=copy_without_owners)
            for holders in (owners, owners[::-1]):
                joiner = ReplicaModel()
                joiner.receive_list(2.0, copy_without_owners)
                for peer in holders:
                    overridden = joiner.receive_overrides(2.0, peer.messages(2.0))
                self.assertEqual(list(overridden), ["c", "e"])

    def test_back_ends_dropped_from_the_own_list_are_not_kept(self) -> None:
        copy = listed(1, 5, machine("a"), machine("b"))
        before = listed(0, 9, machine("a", state=LEAVING), machine("c"))
        self.begin(self.peer, before, copy=copy)
        self.joiner.receive_list(2.0, listed(1, 6, machine("b"), machine("c")))
        self.joiner.receive_list(2.0, listed(1, 7, machine("b")))
        self.assertEqual(
            self.joiner.receive_overrides(2.0, self.peer.messages(2.0)), {"b": machine("b")}
        )

    def test_received_overrides_are_forwarded(self) -> None:
        copy = listed(1, 5, machine("a"), machine("b"))
        self.begin(self.peer, listed(0, 9, machine("a", state=LEAVING)), copy=copy)
        self.joiner.receive_list(2.0, copy)
        self.joiner.receive_overrides(2.0, self.peer.messages(2.0))
        third = ReplicaModel()
        third.receive_list(3.0, copy)
        self.assertEqual(
            third.receive_overrides(3.0, self.joiner.messages(3.0)), self.peer.overridden(3.0)
        )
        self.assertEqual(self.joiner.messages(1.0 + HOLD_SECONDS + 0.01), ())
        with self.subTest("received overrides also apply in the next era"):
            next_era_list = listed(2, 5, machine("a"), machine("b"))
            self.assertEqual(
                third.receive_list(4.0, next_era_list), self.peer.receive_list(4.0, next_era_list)
            )

    def test_messages_fit_datagrams_and_are_bounded(self) -> None:
        names = [f"machine-with-a-long-name-{number}" for number in range(300)]
        addresses = [f"192.168.{number // 200}.{number % 200}:48{number}" for number in range(300)]
        start = 1_790_000_000_000
        entries = [
            machine(name, start, address=address, region="lagos", gateway=address, listed_at=2**40)
            for name, address in zip(names, addresses, strict=True)
        ]
        cases = {
            "leaving": [msgspec.structs.replace(entry, state=LEAVING) for entry in entries],
            "gone": [],
            "kept": [*entries, *(machine("z" + entry.name, address="") for entry in entries)],
        }
        for case, overridden in cases.items():
            of_copy = MachineList(2**40, tuple(entries if case != "kept" else ()))
            overrides = overrides_against(of_copy, MachineList(2**40, tuple(overridden)))
            messages = messages_of(of_copy.number, overrides, lambda name: 5.9)
            with self.subTest(case):
                self.assertLessEqual(len(messages), MAX_MESSAGES)
                for message in messages:
                    envelope = Envelope("n" * 40, "192.168.100.100:65535", start, 2**40, message)
                    frame = encode_frame(envelope, bytes(32))
                    self.assertLessEqual(len(frame), DATAGRAM_BYTES_MAX)


NAMES = "abcd"
ENTRIES = st.builds(
    lambda name, start, leaves: machine(
        name, start, state=LEAVING if leaves else MachineState.LIVE, listed_at=start
    ),
    st.sampled_from(NAMES),
    st.integers(1, 4),
    st.booleans(),
)
LISTS = st.lists(ENTRIES, max_size=4, unique_by=lambda entry: entry.name)


class ListOverridesPropertiesTest(unittest.TestCase):
    @settings(deadline=None)
    @given(st.lists(LISTS, min_size=1, max_size=4), LISTS, st.booleans())
    def test_a_starting_node_adopts_the_list_of_its_peer(
        self, before: list[list[Machine]], copy: list[Machine], overrides_first: bool
    ) -> None:
        peer, joiner = ReplicaModel(), ReplicaModel()
        for revision, machines in enumerate(before, 1):
            peer.receive_list(0.0, listed(0, revision, *machines))
        first = listed(1, 1, *copy)
        overridden = peer.receive_list(1.0, first)
        if overrides_first:
            joiner.receive_overrides(2.0, peer.messages(2.0))
            found = joiner.receive_list(2.0, first)
        else:
            joiner.receive_list(2.0, first)
            found = joiner.receive_overrides(2.0, peer.messages(2.0))
        self.assertEqual(found, overridden)
        end = 2.0 + HOLD_SECONDS
        self.assertEqual(joiner.overridden(end), {item.name: item for item in first.machines})

    @settings(deadline=None)
    @given(st.lists(st.lists(LISTS, max_size=3), min_size=2, max_size=3), LISTS)
    def test_the_order_of_overrides_does_not_matter(
        self, histories: list[list[list[Machine]]], copy: list[Machine]
    ) -> None:
        first = listed(1, 1, *copy)
        reports = []
        for before in histories:
            peer = ReplicaModel()
            for revision, machines in enumerate([[], *before]):
                peer.receive_list(0.0, listed(0, revision, *machines))
            peer.receive_list(1.0, first)
            reports.append(peer.messages(2.0))
        found = []
        for order in (reports, reports[::-1]):
            joiner = ReplicaModel()
            joiner.receive_list(2.0, first)
            for messages in order:
                joiner.receive_overrides(2.0, messages)
            found.append(joiner.overridden(2.0))
        self.assertEqual(*found)
