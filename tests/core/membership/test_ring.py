"""Selection of members by consistent hashing."""

import unittest
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from pewtertack.core.membership.ring import HashRing

NAMES = st.sets(st.text("abcdef", min_size=1, max_size=4), min_size=1, max_size=20)


def ring_of(names: set[str]) -> HashRing:
    ring = HashRing()
    for name in names:
        ring.add(name)
        ring.add(name)
    return ring


class HashRingTest(unittest.TestCase):
    @given(NAMES)
    def test_following_successors_visits_every_member(self, names: set[str]) -> None:
        # An announcement that every node sends to its successor therefore reaches all nodes.
        reached: set[str] = set()
        current = min(names)
        while current not in reached:
            reached.add(current)
            others = ring_of(names - {current})
            current = next(iter(others.successors(current, 0, 1)), current)
        self.assertEqual(reached, names)

    @given(NAMES, NAMES)
    def test_removing_members_leaves_the_order_of_the_others(
        self, names: set[str], removed: set[str]
    ) -> None:
        ring = ring_of(names)
        for name in removed:
            ring.remove(name)
        self.assertEqual(ring.first(99), ring_of(names - removed).first(99))
        self.assertEqual(len(ring), len(names - removed))

    def test_a_sample_has_no_repeats(self) -> None:
        sample = ring_of(set("abcdef")).sample(Random(1), 4)
        self.assertEqual(len(set(sample)), 4)
