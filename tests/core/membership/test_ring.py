"""Choices by hashed order."""

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


class RingTest(unittest.TestCase):
    @given(NAMES)
    def test_successors_visit_every_member_so_that_an_announcement_leaves_nobody_out(
        self, names: set[str]
    ) -> None:
        reached: set[str] = set()
        newcomer = min(names)
        while newcomer not in reached:
            reached.add(newcomer)
            others = ring_of(names - {newcomer})
            newcomer = next(iter(others.successors(newcomer, 0, 1)), newcomer)
        self.assertEqual(reached, names)

    @given(NAMES, NAMES)
    def test_removing_members_leaves_the_order_of_the_others(
        self, names: set[str], gone: set[str]
    ) -> None:
        ring = ring_of(names)
        for name in gone:
            ring.remove(name)
        self.assertEqual(ring.first(99), ring_of(names - gone).first(99))
        self.assertEqual(len(ring), len(names - gone))

    def test_a_sample_has_no_repeats(self) -> None:
        sample = ring_of(set("abcdef")).sample(Random(1), 4)
        self.assertEqual(len(set(sample)), 4)
