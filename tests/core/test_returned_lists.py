"""Overrides of the machine lists of a new era by what was known before it."""

import unittest
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from pewtertack.core.eras import EraChange, list_number
from pewtertack.core.machines import Machine, MachineList, MachineRole, MachineState
from pewtertack.core.returned_lists import MachineListOverrides

HOLD_SECONDS = 6.0


def machine(name: str, **fields: Any) -> Machine:
    fields = {"address": f"10.0.0.{ord(name[-1])}:80", "service": "desk", **fields}
    return Machine(name, MachineRole.BACKEND, "a", **fields)


def listed(era: int, revision: int, *machines: Machine) -> MachineList:
    return MachineList(list_number(era, revision), machines)


class MachineListOverridesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.overrides = MachineListOverrides(HOLD_SECONDS)
        self.change: EraChange | None = None

    def update(self, now: float, machines: MachineList) -> dict[str, Machine]:
        self.change = self.overrides.update(now, machines)
        return self.in_use(now, machines)

    def in_use(self, now: float, machines: MachineList) -> dict[str, Machine]:
        return {item.name: item for item in self.overrides.apply(now, machines).machines}

    def test_lists_of_one_era_are_used_unchanged(self) -> None:
        for era in (0, 3):
            overrides = MachineListOverrides(HOLD_SECONDS)
            for revision, names in enumerate(("ab", "b", "abc"), 1):
                machines = listed(era, revision, *map(machine, names))
                self.assertIsNone(overrides.update(0.0, machines))
                self.assertIs(overrides.apply(0.0, machines), machines)

    def test_back_ends_missing_in_the_copy_are_kept_for_the_hold_period(self) -> None:
        self.update(0.0, listed(0, 9, machine("a"), machine("b")))
        copy = listed(1, 5, machine("a"))
        self.assertEqual(list(self.update(1.0, copy)), ["a", "b"])
        self.assertEqual(self.change, EraChange(0, 1, 1, 1, 0))
        self.assertFalse(self.overrides.has_expired(1.0 + HOLD_SECONDS - 0.1))
        self.assertTrue(self.overrides.has_expired(1.0 + HOLD_SECONDS))
        self.assertEqual(list(self.in_use(1.0 + HOLD_SECONDS, copy)), ["a"])
        self.assertFalse(self.overrides.has_expired(99.0))

    def test_further_restores_do_not_extend_the_hold_period(self) -> None:
        self.update(0.0, listed(0, 9, machine("a"), machine("b")))
        self.update(1.0, listed(1, 5, machine("a")))
        again = listed(2, 5, machine("a"))
        self.assertEqual(list(self.update(5.0, again)), ["a", "b"])
        self.assertEqual(list(self.in_use(1.0 + HOLD_SECONDS, again)), ["a"])

    def test_a_back_end_listed_in_the_new_era_is_removed_with_its_entry(self) -> None:
        self.update(0.0, listed(0, 9, machine("a"), machine("b")))
        self.update(1.0, listed(1, 5, machine("a"), machine("b")))
        self.assertEqual(list(self.update(2.0, listed(1, 6, machine("a")))), ["a"])

    def test_a_departed_back_end_is_used_again_only_with_a_new_entry(self) -> None:
        old = machine("b", listed_at=2)
        self.update(0.0, listed(0, 8, machine("a"), old))
        self.update(0.0, listed(0, 9, machine("a")))
        self.assertEqual(list(self.update(1.0, listed(1, 5, machine("a"), old))), ["a"])
        self.assertEqual(self.change, EraChange(0, 1, 0, 0, 1))
        for fields in ({"listed_at": 6}, {"listed_at": 2, "started_at": 7}):
            new = machine("b", **fields)
            self.assertEqual(list(self.update(2.0, listed(1, 6, machine("a"), new))), ["a", "b"])
        self.assertEqual(list(self.update(2.0, listed(1, 7, machine("a"), old))), ["a"])
        late = listed(1, 8, machine("a"), old)
        self.assertEqual(list(self.update(1.0 + HOLD_SECONDS, late)), ["a", "b"])

    def test_leaving_state_and_later_incarnations_override_the_copy(self) -> None:
        leaving = machine("a", state=MachineState.LEAVING)
        later = machine("b", started_at=9)
        self.update(0.0, listed(0, 9, leaving, later))
        copy = listed(1, 5, machine("a"), machine("b", started_at=4))
        self.assertEqual(self.update(1.0, copy), {"a": leaving, "b": later})
        new = machine("a", started_at=11)
        self.assertEqual(self.update(2.0, listed(1, 6, new, later)), {"a": new, "b": later})

    def test_the_newer_owner_of_an_address_is_used(self) -> None:
        previous = machine("z", address="10.0.0.1:80", started_at=3)
        owner = machine("b", address="10.0.0.1:80", started_at=8)
        self.update(0.0, listed(0, 8, previous))
        self.update(0.0, listed(0, 9, owner))
        with self.subTest("the copy lists the previous owner"):
            self.assertEqual(list(self.update(1.0, listed(1, 5, previous))), ["b"])
        with self.subTest("another back end has the address now"):
            newest = machine("c", address="10.0.0.1:80", started_at=12)
            self.assertEqual(list(self.update(2.0, listed(1, 6, newest))), ["c"])

    def test_an_older_back_end_at_a_known_address_is_ignored(self) -> None:
        """The node started after the older back end had left, so it never saw its entry removed."""
        previous = machine("z", address="10.0.0.1:80", started_at=3)
        for state in (MachineState.LIVE, MachineState.LEAVING):
            self.overrides = MachineListOverrides(HOLD_SECONDS)
            owner = machine("b", address="10.0.0.1:80", service="other", started_at=8, state=state)
            self.update(0.0, listed(0, 9, owner))
            copy = listed(1, 5, previous)
            with self.subTest("the copy lacks the owner", state=state):
                self.assertEqual(self.update(1.0, copy), {"b": owner})
            with self.subTest("the copy lists both", state=state):
                self.assertEqual(self.update(2.0, listed(1, 6, previous, owner)), {"b": owner})
            with self.subTest("the owner leaves", state=state):
                self.assertEqual(self.update(3.0, listed(1, 7, previous)), {})
            newest = machine("c", address="10.0.0.1:80", started_at=12)
            with self.subTest("another back end follows and leaves", state=state):
                self.assertEqual(self.update(4.0, listed(1, 8, previous, newest)), {"c": newest})
                self.assertEqual(self.update(4.5, listed(1, 9, previous)), {})
            self.assertTrue(self.overrides.has_expired(1.0 + HOLD_SECONDS))
            with self.subTest("the hold period is over", state=state):
                late = listed(1, 9, previous)
                self.assertEqual(self.in_use(1.0 + HOLD_SECONDS, late), {"z": previous})
                self.assertFalse(self.overrides.has_expired(99.0))

    def test_a_node_without_earlier_knowledge_uses_the_first_list(self) -> None:
        self.assertEqual(list(self.update(0.0, listed(4, 5, machine("a")))), ["a"])
        self.assertIsNone(self.change)

    @given(st.lists(st.tuples(st.sampled_from([0, 0, 1]), st.frozensets(st.sampled_from("abcd")))))
    def test_two_nodes_with_the_same_lists_use_the_same_machines(
        self, steps: list[tuple[int, frozenset[str]]]
    ) -> None:
        """One node gets the lists slightly later; after the hold period both use the last list."""
        first, second = MachineListOverrides(HOLD_SECONDS), MachineListOverrides(HOLD_SECONDS)
        era, machines = 0, listed(0, 0)
        for now, (rise, names) in enumerate(steps):
            era += rise
            machines = listed(era, now, *map(machine, sorted(names)))
            found = []
            for overrides, delay in ((first, 0.0), (second, 0.4)):
                overrides.update(now + delay, machines)
                found.append(overrides.apply(now + delay, machines))
            self.assertEqual(*found)
        end = len(steps) + HOLD_SECONDS + 1
        self.assertEqual(first.apply(end, machines), machines)
