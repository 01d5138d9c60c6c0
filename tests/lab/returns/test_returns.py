"""A short run of restores of the store with real nodes finds no offence."""

import unittest

import anyio

from pewtertack.lab.returns.run import run_restores

SEED = 2
SECONDS = 20.0


class RestoreRunTest(unittest.TestCase):
    def test_short_run_finds_no_offence(self) -> None:
        result = anyio.run(run_restores, SECONDS, SEED, "6s")
        self.assertEqual(result.offences, [])
        self.assertGreater(min(result.returns, result.stops, result.replaced), 1)
