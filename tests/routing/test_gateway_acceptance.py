"""Trying another gateway after a refusal: always, except during a lasting shortage."""

import unittest
from random import Random
from unittest import mock

from pewtertack.lab.overload.simulation import OverloadSettings, RunResult, simulate_gateways
from pewtertack.routing import gateway_acceptance
from pewtertack.routing.gateway_acceptance import (
    PROBE_SHARE,
    RECOVERY_HALF_LIFE_SECONDS,
    AcceptanceTracker,
)

SHAPE = OverloadSettings(nodes=12, backends=8, seconds=5.0)


class AcceptanceTrackerTest(unittest.TestCase):
    def refused(self, times: int = 12) -> AcceptanceTracker:
        tracker = AcceptanceTracker(Random(1))
        for _ in range(times):
            tracker.note("lookup", 10.0, accepted=False)
        return tracker

    def share(self, tracker: AcceptanceTracker, now: float, route: str = "lookup") -> float:
        return sum(tracker.worth_trying(route, now) for _ in range(1000)) / 1000

    def test_another_gateway_is_tried_if_nothing_is_known(self) -> None:
        self.assertEqual(self.share(AcceptanceTracker(Random(1)), 0.0), 1.0)

    def test_one_refusal_does_not_stop_further_tries(self) -> None:
        self.assertEqual(self.share(self.refused(times=1), 10.0), 1.0)

    def test_in_a_shortage_only_a_few_requests_try_another_gateway(self) -> None:
        self.assertAlmostEqual(self.share(self.refused(), 10.0), PROBE_SHARE, delta=0.05)

    def test_the_shortage_is_over_when_gateways_accept_again(self) -> None:
        tracker = self.refused()
        tracker.note("lookup", 10.1, accepted=True)
        tracker.note("lookup", 10.1, accepted=True)
        self.assertEqual(self.share(tracker, 10.1), 1.0)

    def test_refusals_are_forgotten_without_new_results(self) -> None:
        self.assertEqual(self.share(self.refused(), 10.0 + RECOVERY_HALF_LIFE_SECONDS), 1.0)

    def test_routes_are_independent(self) -> None:
        self.assertEqual(self.share(self.refused(), 10.0, "confirm"), 1.0)

    def test_routes_no_longer_in_force_are_forgotten(self) -> None:
        tracker = self.refused()
        tracker.keep_only({"confirm"})
        self.assertEqual(self.share(tracker, 10.0), 1.0)


class ShortageTest(unittest.TestCase):
    """Simulated callers at 1.4 times the capacity, and at 0.6 times."""

    def run_at(self, load: float, min_share: float) -> RunResult:
        with mock.patch.object(gateway_acceptance, "MIN_ACCEPTANCE_SHARE", min_share):
            return simulate_gateways(SHAPE, load, seed=5)

    def test_as_many_are_served_with_fewer_hops(self) -> None:
        """``lab overload --gateways --load 1.4``, seed 1: 0.131 further hops instead of 0.442."""
        always, by_share = (
            self.run_at(1.4, 0.0),
            self.run_at(1.4, gateway_acceptance.MIN_ACCEPTANCE_SHARE),
        )
        self.assertLess(by_share.extra_attempts, 0.6 * always.extra_attempts)
        self.assertGreaterEqual(by_share.goodput, always.goodput - 0.01)
        for name, outcome in always.classes.items():
            served = by_share.classes[name].answered_share
            self.assertGreaterEqual(served, outcome.answered_share - 0.03, name)

    def test_without_a_shortage_nothing_changes(self) -> None:
        self.assertEqual(
            self.run_at(0.6, 0.0), self.run_at(0.6, gateway_acceptance.MIN_ACCEPTANCE_SHARE)
        )


if __name__ == "__main__":
    unittest.main()
