"""The lower bound of an estimated rate of arrivals."""

import unittest

from pewtertack.routing.arrivals import ArrivalRate


class ArrivalRateTest(unittest.TestCase):
    def test_few_arrivals_give_a_lower_bound_of_zero(self) -> None:
        rate = ArrivalRate()
        for _ in range(4):
            rate.note(0.0)
        self.assertEqual(rate.lower_bound(0.0), 0.0)

    def test_many_arrivals_give_a_lower_bound_near_their_rate(self) -> None:
        rate = ArrivalRate()
        for step in range(500):
            rate.note(step / 100)
        self.assertAlmostEqual(rate.lower_bound(5.0), 80.0, delta=2.0)

    def test_old_arrivals_are_forgotten(self) -> None:
        rate = ArrivalRate()
        for step in range(500):
            rate.note(step / 100)
        self.assertEqual(rate.lower_bound(10.0), 0.0)
