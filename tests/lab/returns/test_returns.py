"""A short series of real returns of the store holds."""

import unittest

import anyio

from pewtertack.lab.returns.run import run_restores

SEED = 2
SECONDS = 20.0


class ReturnsTest(unittest.TestCase):
    def test_a_short_series_holds(self) -> None:
        result = anyio.run(run_restores, SECONDS, SEED, "6s")
        self.assertEqual(result.offences, [])
        self.assertGreater(min(result.returns, result.stops, result.replaced), 1)
