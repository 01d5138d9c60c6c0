"""Lists of a new era of the source, and what was known before it."""

import unittest
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from pewtertack.core.eras import EraChange, list_number
from pewtertack.core.machines import Machine, MachineList, MachineRole, MachineState
from pewtertack.core.returned_lists import MachineListOverrides

HOLD = 6.0


def machine(name: str, **fields: Any) -> Machine:
    fields = {"address": f"10.0.0.{ord(name[-1])}:80", "service": "desk", **fields}
    return Machine(name, MachineRole.BACKEND, "a", **fields)


def listed(era: int, revision: int, *machines: Machine) -> MachineList:
    return MachineList(list_number(era, revision), machines)


class MachineListOverridesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.returned = MachineListOverrides(HOLD)
        self.change: EraChange | None = None

    def take(self, now: float, machines: MachineList) -> dict[str, Machine]:
        self.change = self.returned.update(now, machines)
        return self.believed(now, machines)

    def believed(self, now: float, machines: MachineList) -> dict[str, Machine]:
        return {item.name: item for item in self.returned.overridden(now, machines).machines}

    def test_within_an_era_the_list_is_believed_as_it_is(self) -> None:
        for era in (0, 3):
            returned = MachineListOverrides(HOLD)
            for revision, names in enumerate(("ab", "b", "abc"), 1):
                machines = listed(era, revision, *map(machine, names))
                self.assertIsNone(returned.update(0.0, machines))
                self.assertIs(returned.overridden(0.0, machines), machines)

    def test_who_the_copy_lacks_is_kept_until_the_time_is_over(self) -> None:
        self.take(0.0, listed(0, 9, machine("a"), machine("b")))
        copy = listed(1, 5, machine("a"))
        self.assertEqual(list(self.take(1.0, copy)), ["a", "b"])
        self.assertEqual(self.change, EraChange(0, 1, 1, 1, 0))
        self.assertFalse(self.returned.has_expired(1.0 + HOLD - 0.1))
        self.assertTrue(self.returned.has_expired(1.0 + HOLD))
        self.assertEqual(list(self.believed(1.0 + HOLD, copy)), ["a"])
        self.assertFalse(self.returned.has_expired(99.0))

    def test_returns_in_series_keep_nobody_for_longer(self) -> None:
        self.take(0.0, listed(0, 9, machine("a"), machine("b")))
        self.take(1.0, listed(1, 5, machine("a")))
        again = listed(2, 5, machine("a"))
        self.assertEqual(list(self.take(5.0, again)), ["a", "b"])
        self.assertEqual(list(self.believed(1.0 + HOLD, again)), ["a"])

    def test_who_was_named_in_the_new_era_goes_with_its_word(self) -> None:
        self.take(0.0, listed(0, 9, machine("a"), machine("b")))
        self.take(1.0, listed(1, 5, machine("a"), machine("b")))
        self.assertEqual(list(self.take(2.0, listed(1, 6, machine("a")))), ["a"])

    def test_who_had_left_comes_back_by_an_entry_that_is_made_anew_alone(self) -> None:
        old = machine("b", listed_at=2)
        self.take(0.0, listed(0, 8, machine("a"), old))
        self.take(0.0, listed(0, 9, machine("a")))
        self.assertEqual(list(self.take(1.0, listed(1, 5, machine("a"), old))), ["a"])
        self.assertEqual(self.change, EraChange(0, 1, 0, 0, 1))
        for fields in ({"listed_at": 6}, {"listed_at": 2, "started_at": 7}):
            anew = machine("b", **fields)
            self.assertEqual(list(self.take(2.0, listed(1, 6, machine("a"), anew))), ["a", "b"])
        self.assertEqual(list(self.take(2.0, listed(1, 7, machine("a"), old))), ["a"])
        late = listed(1, 8, machine("a"), old)
        self.assertEqual(list(self.take(1.0 + HOLD, late)), ["a", "b"])

    def test_who_was_leaving_or_lives_another_life_stays_so(self) -> None:
        leaving = machine("a", state=MachineState.LEAVING)
        later = machine("b", started_at=9)
        self.take(0.0, listed(0, 9, leaving, later))
        copy = listed(1, 5, machine("a"), machine("b", started_at=4))
        self.assertEqual(self.take(1.0, copy), {"a": leaving, "b": later})
        anew = machine("a", started_at=11)
        self.assertEqual(self.take(2.0, listed(1, 6, anew, later)), {"a": anew, "b": later})

    def test_an_address_keeps_its_newer_owner(self) -> None:
        before = machine("z", address="10.0.0.1:80", started_at=3)
        owner = machine("b", address="10.0.0.1:80", started_at=8)
        self.take(0.0, listed(0, 8, before))
        self.take(0.0, listed(0, 9, owner))
        with self.subTest("the copy names the one before"):
            self.assertEqual(list(self.take(1.0, listed(1, 5, before))), ["b"])
        with self.subTest("another has it since"):
            newest = machine("c", address="10.0.0.1:80", started_at=12)
            self.assertEqual(list(self.take(2.0, listed(1, 6, newest))), ["c"])

    def test_an_address_never_goes_back_to_a_life_before_its_last_known_owner(self) -> None:
        """This node began after the life before had left: it cannot know that entry as gone."""
        before = machine("z", address="10.0.0.1:80", started_at=3)
        for state in (MachineState.LIVE, MachineState.LEAVING):
            self.returned = MachineListOverrides(HOLD)
            owner = machine("b", address="10.0.0.1:80", service="other", started_at=8, state=state)
            self.take(0.0, listed(0, 9, owner))
            copy = listed(1, 5, before)
            with self.subTest("the copy lacks the owner", state=state):
                self.assertEqual(self.take(1.0, copy), {"b": owner})
            with self.subTest("the owner is named beside it", state=state):
                self.assertEqual(self.take(2.0, listed(1, 6, before, owner)), {"b": owner})
            with self.subTest("the owner leaves", state=state):
                self.assertEqual(self.take(3.0, listed(1, 7, before)), {})
            newest = machine("c", address="10.0.0.1:80", started_at=12)
            with self.subTest("another follows, and leaves", state=state):
                self.assertEqual(self.take(4.0, listed(1, 8, before, newest)), {"c": newest})
                self.assertEqual(self.take(4.5, listed(1, 9, before)), {})
            self.assertTrue(self.returned.has_expired(1.0 + HOLD))
            with self.subTest("the time is over", state=state):
                late = listed(1, 9, before)
                self.assertEqual(self.believed(1.0 + HOLD, late), {"z": before})
                self.assertFalse(self.returned.has_expired(99.0))

    def test_a_node_that_knows_nothing_of_before_believes_the_first_list(self) -> None:
        self.assertEqual(list(self.take(0.0, listed(4, 5, machine("a")))), ["a"])
        self.assertIsNone(self.change)

    @given(st.lists(st.tuples(st.sampled_from([0, 0, 1]), st.frozensets(st.sampled_from("abcd")))))
    def test_two_nodes_that_heard_the_same_lists_believe_the_same(
        self, steps: list[tuple[int, frozenset[str]]]
    ) -> None:
        """A little later at one of them; once the time is over both believe the list."""
        first, second = MachineListOverrides(HOLD), MachineListOverrides(HOLD)
        era, machines = 0, listed(0, 0)
        for now, (rise, names) in enumerate(steps):
            era += rise
            machines = listed(era, now, *map(machine, sorted(names)))
            found = []
            for returned, delay in ((first, 0.0), (second, 0.4)):
                returned.update(now + delay, machines)
                found.append(returned.overridden(now + delay, machines))
            self.assertEqual(*found)
        end = len(steps) + HOLD + 1
        self.assertEqual(first.overridden(end, machines), machines)
