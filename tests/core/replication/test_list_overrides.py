"""What a starting node takes from peers that hold something against lists of a new era."""

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

HOLD = 6.0


def machine(name: str, started_at: int = 0, **fields: Any) -> Machine:
    fields = {"address": f"10.0.0.{ord(name[-1])}:80", "service": "desk", **fields}
    return Machine(name, MachineRole.BACKEND, "a", started_at=started_at, **fields)


def listed(era: int, revision: int, *machines: Machine) -> MachineList:
    return MachineList(list_number(era, revision), machines)


LEAVING = MachineState.LEAVING


class Replica:
    """One node's lists and what it believes."""

    def __init__(self) -> None:
        self.returned = MachineListOverrides(HOLD)
        self.listed = MachineList(0, ())

    def take(self, now: float, machines: MachineList) -> dict[str, Machine]:
        self.listed = machines
        self.returned.update(now, machines)
        return self.believed(now)

    def hear(self, now: float, told: Sequence[ListOverrides]) -> dict[str, Machine]:
        for message in told:
            self.returned.apply_report(now, message, self.listed)
        return self.believed(now)

    def believed(self, now: float) -> dict[str, Machine]:
        machines = self.returned.overridden(now, self.listed)
        return {item.name: item for item in machines.machines}

    def told(self, now: float) -> tuple[ListOverrides, ...]:
        if not self.returned.is_active(now):
            return ()
        overrides = overrides_against(self.listed, self.returned.overridden(now, self.listed))
        return messages_of(
            self.listed.number, overrides, lambda name: self.returned.remaining_seconds(now, name)
        )


class ListOverridesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.peer, self.other, self.joiner = Replica(), Replica(), Replica()

    def begin(self, peer: Replica, *before: MachineList, copy: MachineList) -> None:
        for machines in before:
            peer.take(0.0, machines)
        peer.take(1.0, copy)

    def test_who_leaves_who_has_gone_and_who_is_kept(self) -> None:
        first = listed(0, 8, machine("a"), machine("b"), machine("d", 3))
        newest = listed(0, 9, machine("a", state=LEAVING), machine("c"), machine("d", 7))
        copy = listed(1, 5, machine("a"), machine("b"), machine("d", 3), machine("e"))
        self.begin(self.peer, first, newest, copy=copy)
        believed = self.peer.believed(1.0)
        self.assertEqual(list(believed), ["a", "c", "d", "e"])
        self.assertEqual(list(self.joiner.take(2.0, copy)), ["a", "b", "d", "e"])
        self.assertEqual(self.joiner.hear(2.0, self.peer.told(2.0)), believed)
        with self.subTest("no longer than at the peer"):
            self.assertFalse(self.joiner.returned.has_expired(1.0 + HOLD - 0.01))
            self.assertTrue(self.joiner.returned.has_expired(1.0 + HOLD + 0.01))
            self.assertEqual(list(self.joiner.believed(1.0 + HOLD)), ["a", "b", "d", "e"])

    def test_the_word_may_come_before_the_list(self) -> None:
        copy = listed(1, 5, machine("a"), machine("b"))
        self.begin(self.peer, listed(0, 9, machine("a", state=LEAVING)), copy=copy)
        for known in ((), (listed(0, 3, machine("a"), machine("b")),)):
            joiner = Replica()
            for machines in known:
                joiner.take(0.0, machines)
            joiner.hear(2.0, self.peer.told(2.0))
            self.assertEqual(joiner.take(2.1, copy)["a"].state, LEAVING)
            self.assertEqual(joiner.returned.kept_count, 0)

    def test_a_word_that_comes_when_its_time_is_over_changes_nothing(self) -> None:
        copy = listed(1, 5, machine("a"))
        self.begin(self.peer, listed(0, 9, machine("a", state=LEAVING)), copy=copy)
        told = self.peer.told(1.0)
        self.assertEqual(self.peer.told(1.0 + HOLD), ())
        self.joiner.hear(1.0, told)
        self.assertEqual(self.joiner.take(1.0 + HOLD, copy)["a"].state, MachineState.LIVE)
        with self.subTest("nor one of an earlier era"):
            late = listed(2, 4, machine("a"))
            self.joiner.take(8.0, late)
            self.assertEqual(self.joiner.hear(8.0, told)["a"].state, MachineState.LIVE)

    def test_a_node_with_no_time_to_hold_holds_nothing(self) -> None:
        copy = listed(1, 5, machine("a"))
        self.begin(self.peer, listed(0, 9, machine("a", state=LEAVING)), copy=copy)
        self.joiner.returned = MachineListOverrides(0.0)
        self.joiner.take(2.0, copy)
        self.assertEqual(self.joiner.hear(2.0, self.peer.told(2.0))["a"].state, MachineState.LIVE)

    def test_peers_that_know_differently_are_believed_together(self) -> None:
        """One has missed the last list before the return; another began after it."""
        first = listed(0, 8, machine("a"), machine("b"), machine("c"), machine("d", 3))
        newest = listed(0, 9, machine("a", state=LEAVING), machine("c"), machine("d", 7))
        copy = listed(1, 5, machine("a"), machine("b"), machine("c"), machine("d", 3))
        self.begin(self.peer, first, newest, copy=copy)
        self.begin(self.other, first, copy=copy)
        unknowing = Replica()
        unknowing.take(1.0, copy)
        words = [peer.told(2.0) for peer in (self.peer, self.other, unknowing)]
        self.assertEqual(words[1:], [(), ()])
        for order in (words, words[::-1]):
            joiner = Replica()
            joiner.take(2.0, copy)
            for told in order:
                believed = joiner.hear(2.0, told)
            self.assertEqual(believed, self.peer.believed(2.0))
        with self.subTest("of two owners of an address the later"):
            lacking = listed(1, 5, machine("e"))
            earlier, later = machine("b", 4, address="1:1"), machine("c", 8, address="1:1")
            peers = Replica(), Replica()
            for peer, owner in zip(peers, (earlier, later), strict=True):
                self.begin(peer, listed(0, 9, machine("e"), owner), copy=lacking)
            for order in (peers, peers[::-1]):
                joiner = Replica()
                joiner.take(2.0, lacking)
                for peer in order:
                    believed = joiner.hear(2.0, peer.told(2.0))
                self.assertEqual(list(believed), ["c", "e"])

    def test_what_the_own_list_has_dropped_since_is_not_taken_up(self) -> None:
        copy = listed(1, 5, machine("a"), machine("b"))
        before = listed(0, 9, machine("a", state=LEAVING), machine("c"))
        self.begin(self.peer, before, copy=copy)
        self.joiner.take(2.0, listed(1, 6, machine("b"), machine("c")))
        self.joiner.take(2.0, listed(1, 7, machine("b")))
        self.assertEqual(self.joiner.hear(2.0, self.peer.told(2.0)), {"b": machine("b")})

    def test_one_that_was_told_tells_others(self) -> None:
        copy = listed(1, 5, machine("a"), machine("b"))
        self.begin(self.peer, listed(0, 9, machine("a", state=LEAVING)), copy=copy)
        self.joiner.take(2.0, copy)
        self.joiner.hear(2.0, self.peer.told(2.0))
        third = Replica()
        third.take(3.0, copy)
        self.assertEqual(third.hear(3.0, self.joiner.told(3.0)), self.peer.believed(3.0))
        self.assertEqual(self.joiner.told(1.0 + HOLD + 0.01), ())
        with self.subTest("and remembers it in the next era"):
            again = listed(2, 5, machine("a"), machine("b"))
            self.assertEqual(third.take(4.0, again), self.peer.take(4.0, again))

    def test_messages_fit_datagrams_and_are_few(self) -> None:
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
        for case, believed in cases.items():
            of_copy = MachineList(2**40, tuple(entries if case != "kept" else ()))
            overrides = overrides_against(of_copy, MachineList(2**40, tuple(believed)))
            told = messages_of(of_copy.number, overrides, lambda name: 5.9)
            with self.subTest(case):
                self.assertLessEqual(len(told), MAX_MESSAGES)
                for message in told:
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
    def test_a_starting_node_comes_to_believe_what_its_peer_believes(
        self, before: list[list[Machine]], copy: list[Machine], word_first: bool
    ) -> None:
        peer, joiner = Replica(), Replica()
        for revision, machines in enumerate(before, 1):
            peer.take(0.0, listed(0, revision, *machines))
        first = listed(1, 1, *copy)
        believed = peer.take(1.0, first)
        if word_first:
            joiner.hear(2.0, peer.told(2.0))
            found = joiner.take(2.0, first)
        else:
            joiner.take(2.0, first)
            found = joiner.hear(2.0, peer.told(2.0))
        self.assertEqual(found, believed)
        end = 2.0 + HOLD
        self.assertEqual(joiner.believed(end), {item.name: item for item in first.machines})

    @settings(deadline=None)
    @given(st.lists(st.lists(LISTS, max_size=3), min_size=2, max_size=3), LISTS)
    def test_the_order_of_words_does_not_matter(
        self, histories: list[list[list[Machine]]], copy: list[Machine]
    ) -> None:
        first = listed(1, 1, *copy)
        words = []
        for before in histories:
            peer = Replica()
            for revision, machines in enumerate([[], *before]):
                peer.take(0.0, listed(0, revision, *machines))
            peer.take(1.0, first)
            words.append(peer.told(2.0))
        found = []
        for order in (words, words[::-1]):
            joiner = Replica()
            joiner.take(2.0, first)
            for told in order:
                joiner.hear(2.0, told)
            found.append(joiner.believed(2.0))
        self.assertEqual(*found)
