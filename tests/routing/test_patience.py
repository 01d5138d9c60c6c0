"""What a caller's patience tells of it."""

import unittest

from pewtertack.routing.patience import CallerPatience, Lateness


class CallerPatienceTest(unittest.TestCase):
    def test_a_caller_with_much_time_may_come_back(self) -> None:
        patience = CallerPatience()
        self.assertEqual(patience.classify("status", 0.4, 2.5), Lateness.PROMPT)
        self.assertEqual(patience.classify("status", 0.4, 2.49), Lateness.PROMPT)
        self.assertEqual(patience.classify("status", 0.4, 1.7), Lateness.PROMPT_YIELDING)

    def test_one_with_little_time_where_others_have_much_came_back(self) -> None:
        patience = CallerPatience()
        patience.classify("status", 0.4, 2.5)
        self.assertEqual(patience.classify("status", 0.4, 1.1), Lateness.YIELDING)
        self.assertEqual(patience.classify("other", 0.4, 1.1), Lateness.ALLOWED)

    def test_where_all_have_little_time_they_may_wait(self) -> None:
        patience = CallerPatience()
        for left in (0.4, 0.39, 0.2):
            self.assertEqual(patience.classify("check", 0.12, left), Lateness.ALLOWED)

    def test_routes_that_are_gone_are_forgotten(self) -> None:
        patience = CallerPatience()
        patience.classify("status", 0.4, 2.5)
        patience.keep_only(())
        self.assertEqual(patience.classify("status", 0.4, 1.1), Lateness.ALLOWED)

    def test_one_caller_with_an_odd_deadline_does_not_make_all_others_yield(self) -> None:
        patience = CallerPatience()
        patience.classify("status", 0.4, 60.0)
        found = [patience.classify("status", 0.4, 2.5) for _ in range(1000)]
        self.assertEqual(found[-1], Lateness.PROMPT)

    def test_callers_that_came_back_are_known_among_few_fresh_ones(self) -> None:
        patience = CallerPatience()
        for _ in range(300):
            self.assertEqual(patience.classify("status", 0.4, 2.5), Lateness.PROMPT)
            for _ in range(3):
                self.assertEqual(patience.classify("status", 0.4, 1.1), Lateness.YIELDING)
