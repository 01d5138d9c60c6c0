"""Weighted splits keep their shares over any sequence of requests."""

import unittest
from collections import Counter

from pewtertack.routing.splits import SplitPicker
from tests.routing.samples import route


class SplitPickerTest(unittest.TestCase):
    def test_shares_follow_the_weights(self) -> None:
        picker = SplitPicker()
        shared = route(split={"old": 90, "new": 10})
        chosen = Counter(picker.pick(shared).service for _ in range(200))
        self.assertEqual(chosen, {"old": 180, "new": 20})

    def test_a_weight_of_zero_gets_nothing(self) -> None:
        picker = SplitPicker()
        shared = route(split={"old": 1, "new": 0})
        self.assertEqual({picker.pick(shared).service for _ in range(10)}, {"old"})

    def test_a_route_without_split_keeps_its_service(self) -> None:
        plain = route()
        self.assertIs(SplitPicker().pick(plain), plain)

    def test_changed_weights_apply_at_once(self) -> None:
        picker = SplitPicker()
        picker.pick(route(split={"old": 1, "new": 1}))
        changed = route(split={"old": 0, "new": 1}, timeout=9.0)
        picked = picker.pick(changed)
        self.assertEqual((picked.service, picked.timeout), ("new", 9.0))

    def test_a_changed_route_with_an_unchanged_split_is_used(self) -> None:
        picker = SplitPicker()
        picker.pick(route(split={"old": 1}))
        self.assertEqual(picker.pick(route(split={"old": 1}, timeout=9.0)).timeout, 9.0)
