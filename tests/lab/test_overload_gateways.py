"""Gateway choice, admission and retries under overload, in virtual time.

Each back end has its own gateway.
"""

import unittest

from pewtertack.core.configuration.resolved import WorkClass
from pewtertack.lab.overload.simulation import OverloadSettings, RunResult, simulate_gateways

SETTINGS = OverloadSettings(nodes=12, backends=8, seconds=3.0)


def run(load: float) -> RunResult:
    return simulate_gateways(SETTINGS, load, seed=3)


class GatewayOverloadTest(unittest.TestCase):
    def test_goodput_does_not_drop_as_the_load_grows(self) -> None:
        goodputs = [run(load).goodput for load in (1.0, 1.5, 2.0, 3.0)]
        self.assertGreaterEqual(min(goodputs), 0.85, goodputs)
        self.assertGreaterEqual(goodputs[-1], goodputs[0] - 0.05, goodputs)

    def test_urgent_requests_take_precedence(self) -> None:
        for load in (1.5, 3.0):
            shares = {name: item.answered_share for name, item in run(load).classes.items()}
            self.assertGreaterEqual(shares[WorkClass.URGENT], 0.97, shares)
            self.assertGreater(shares[WorkClass.URGENT], shares[WorkClass.BACKGROUND])

    def test_below_capacity_everything_is_answered(self) -> None:
        for name, item in run(0.5).classes.items():
            self.assertGreaterEqual(item.answered_share, 0.995, name)

    def test_equal_seeds_give_equal_results(self) -> None:
        self.assertEqual(run(1.0), run(1.0))


if __name__ == "__main__":
    unittest.main()
