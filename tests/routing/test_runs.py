"""What the back end beside a node runs."""

import unittest

from pewtertack.routing.runs import RunsBeside


class RanksTest(unittest.TestCase):
    def test_the_rank_of_most_runs_counts_the_more_urgent_of_equals(self) -> None:
        runs = RunsBeside()
        self.assertIsNone(runs.usual_rank())
        for rank in ((1, 2), (1, 2), (1, 0)):
            runs.begin(rank)
        self.assertEqual(runs.usual_rank(), (1, 2))
        runs.end((1, 2))
        self.assertEqual(runs.usual_rank(), (1, 0))

    def test_what_has_ended_leaves_nothing_behind(self) -> None:
        runs = RunsBeside()
        for rank in range(1000):
            runs.begin((1, rank))
            runs.end((1, rank))
        runs.end((1, 1))
        self.assertIsNone(runs.usual_rank())
        self.assertEqual(runs._ranks, {})


if __name__ == "__main__":
    unittest.main()
