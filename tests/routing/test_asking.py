"""Asking one more gateway: worth it without a shortage, and given up while it lasts."""

import unittest
from random import Random
from unittest import mock

from pewtertack.lab.overload.simulation import RunResult, Shape, simulate_gateways
from pewtertack.routing import gateway_acceptance
from pewtertack.routing.gateway_acceptance import (
    PROBE_SHARE,
    RECOVERY_HALF_LIFE_SECONDS,
    AcceptanceTracker,
)

SHAPE = Shape(nodes=12, backends=8, seconds=5.0)


class FurtherAsksTest(unittest.TestCase):
    def refused(self, times: int = 12) -> AcceptanceTracker:
        asks = AcceptanceTracker(Random(1))
        for _ in range(times):
            asks.note("lookup", 10.0, accepted=False)
        return asks

    def share(self, asks: AcceptanceTracker, now: float, route: str = "lookup") -> float:
        return sum(asks.worth_trying(route, now) for _ in range(1000)) / 1000

    def test_nothing_known_is_worth_asking(self) -> None:
        self.assertEqual(self.share(AcceptanceTracker(Random(1)), 0.0), 1.0)

    def test_one_refusal_gives_nothing_up(self) -> None:
        self.assertEqual(self.share(self.refused(times=1), 10.0), 1.0)

    def test_in_a_shortage_only_a_few_are_asked(self) -> None:
        self.assertAlmostEqual(self.share(self.refused(), 10.0), PROBE_SHARE, delta=0.05)

    def test_it_is_over_when_those_that_are_asked_accept(self) -> None:
        asks = self.refused()
        asks.note("lookup", 10.1, accepted=True)
        asks.note("lookup", 10.1, accepted=True)
        self.assertEqual(self.share(asks, 10.1), 1.0)

    def test_it_is_forgotten_while_nothing_is_heard(self) -> None:
        self.assertEqual(self.share(self.refused(), 10.0 + RECOVERY_HALF_LIFE_SECONDS), 1.0)

    def test_a_route_does_not_speak_for_another(self) -> None:
        self.assertEqual(self.share(self.refused(), 10.0, "confirm"), 1.0)

    def test_routes_that_have_gone_are_forgotten(self) -> None:
        asks = self.refused()
        asks.keep_only({"confirm"})
        self.assertEqual(self.share(asks, 10.0), 1.0)


class ShortageTest(unittest.TestCase):
    """Callers at 1.4 times the capacity, in virtual time."""

    def run_at(self, load: float, least_odds: float) -> RunResult:
        with mock.patch.object(gateway_acceptance, "MIN_ACCEPTANCE_SHARE", least_odds):
            return simulate_gateways(SHAPE, load, seed=5)

    def test_as_many_are_served_with_fewer_hops(self) -> None:
        """Measured, lab overload --gateways --load 1.4, seed 1: 0.442 further asks, now 0.131."""
        always, by_odds = (
            self.run_at(1.4, 0.0),
            self.run_at(1.4, gateway_acceptance.MIN_ACCEPTANCE_SHARE),
        )
        self.assertLess(by_odds.extra_attempts, 0.6 * always.extra_attempts)
        self.assertGreaterEqual(by_odds.goodput, always.goodput - 0.01)
        for name, outcome in always.classes.items():
            served = by_odds.classes[name].answered_share
            self.assertGreaterEqual(served, outcome.answered_share - 0.03, name)

    def test_without_a_shortage_nothing_changes(self) -> None:
        self.assertEqual(
            self.run_at(0.6, 0.0), self.run_at(0.6, gateway_acceptance.MIN_ACCEPTANCE_SHARE)
        )


if __name__ == "__main__":
    unittest.main()
