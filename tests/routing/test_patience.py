"""What a caller's patience tells of it."""

import unittest
from random import Random

from pewtertack.routing.outcomes import DEFAULT_RETRY_AFTER
from pewtertack.routing.patience import CallerWaitPolicies, WaitPolicy, retry_after_shedding
from pewtertack.routing.policies import RetryLaterPolicy


class CallerPatienceTest(unittest.TestCase):
    def after_a_refusal(self, usual: float = 2.5) -> CallerWaitPolicies:
        """Return what is known where a caller with the usual time was refused at second 1."""
        patience = CallerWaitPolicies()
        patience.classify("status", 0.4, usual, 0.9)
        patience.note_failed("status", 1.0)
        return patience

    def test_by_the_other_way_one_with_twice_its_objective_may(self) -> None:
        patience = CallerWaitPolicies(RetryLaterPolicy.TWO)
        self.assertIs(patience.classify("lookup", 1.0, 2.0, 0.0), WaitPolicy.RETRY)
        self.assertIs(patience.classify("other", 1.0, 1.9, 0.0), WaitPolicy.WAIT)
        self.assertIs(CallerWaitPolicies().classify("lookup", 1.0, 3.9, 0.0), WaitPolicy.WAIT)

    def test_a_caller_with_much_time_may_come_back(self) -> None:
        patience = self.after_a_refusal()
        self.assertEqual(patience.classify("status", 0.4, 2.5, 1.1), WaitPolicy.RETRY)
        self.assertEqual(patience.classify("status", 0.4, 2.49, 1.1), WaitPolicy.RETRY)
        self.assertEqual(patience.classify("status", 0.4, 1.7, 1.8), WaitPolicy.RETRY_DEFERRED)

    def test_one_with_little_time_where_others_have_much_came_back(self) -> None:
        patience = self.after_a_refusal()
        self.assertEqual(patience.classify("status", 0.4, 1.1, 2.4), WaitPolicy.DEFERRED)
        self.assertEqual(patience.classify("other", 0.4, 1.1, 2.4), WaitPolicy.WAIT)

    def test_where_nobody_was_refused_nobody_has_come_back(self) -> None:
        patience = CallerWaitPolicies()
        for index, left in enumerate((2.5, 1.7, 1.1)):
            found = patience.classify("status", 0.4, left, 0.1 * index)
            self.assertFalse(found.is_deferred, left)

    def test_who_was_refused_longer_ago_than_callers_wait_comes_no_more(self) -> None:
        patience = self.after_a_refusal()
        self.assertTrue(patience.classify("status", 0.4, 1.1, 3.4).is_deferred)
        self.assertFalse(patience.classify("status", 0.4, 1.1, 3.6).is_deferred)

    def test_callers_whose_times_differ_are_not_taken_for_some_that_came_back(self) -> None:
        """Their times are drawn from a range of 16 in 100; one that came back has lost a fifth."""
        random = Random(4)
        patience = CallerWaitPolicies()
        for step in range(100):
            left = random.uniform(4.6, 5.4)
            self.assertIs(patience.classify("status", 0.8, left, step / 20), WaitPolicy.RETRY)
        patience.note_failed("status", 5.0)
        fresh = back = 0
        for step in range(200):
            now = 5.0 + step / 50
            fresh += patience.classify("status", 0.8, random.uniform(4.6, 5.4), now).is_deferred
            back += patience.classify("status", 0.8, random.uniform(3.6, 4.4), now).is_deferred
        self.assertEqual((fresh, back), (0, 200))

    def test_where_all_have_little_time_they_may_wait(self) -> None:
        patience = CallerWaitPolicies()
        for left in (0.4, 0.39, 0.2):
            patience.note_failed("check", 0.9)
            self.assertEqual(patience.classify("check", 0.12, left, 1.0), WaitPolicy.WAIT)

    def test_routes_that_are_gone_are_forgotten(self) -> None:
        patience = self.after_a_refusal()
        patience.keep_only(())
        patience.note_failed("status", 1.0)
        self.assertEqual(patience.classify("status", 0.4, 1.1, 2.4), WaitPolicy.WAIT)

    def test_one_caller_with_an_odd_deadline_does_not_make_all_others_yield(self) -> None:
        patience = self.after_a_refusal(usual=60.0)
        found = []
        for step in range(1000):
            patience.note_failed("status", step / 10)
            found.append(patience.classify("status", 0.4, 2.5, step / 10))
        self.assertEqual(found[-1], WaitPolicy.RETRY)

    def test_callers_that_came_back_are_known_among_few_fresh_ones(self) -> None:
        patience = self.after_a_refusal()
        for step in range(300):
            now = 1.0 + step / 10
            self.assertEqual(patience.classify("status", 0.4, 2.5, now), WaitPolicy.RETRY)
            patience.note_failed("status", now)
            for _ in range(3):
                self.assertEqual(patience.classify("status", 0.4, 1.1, now), WaitPolicy.DEFERRED)

    def test_a_back_end_that_sheds_for_want_of_room_is_left_alone_for_longer(self) -> None:
        self.assertEqual(retry_after_shedding(0.8, has_free_slots=True), 0.1)
        self.assertEqual(retry_after_shedding(0.8, has_free_slots=False), DEFAULT_RETRY_AFTER)


if __name__ == "__main__":
    unittest.main()
