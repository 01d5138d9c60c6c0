"""Wait policies derived from the time that callers have left."""

import unittest
from random import Random

from pewtertack.routing.outcomes import DEFAULT_RETRY_AFTER
from pewtertack.routing.patience import CallerWaitPolicies, WaitPolicy, retry_after_shedding
from pewtertack.routing.policies import RetryLaterPolicy


class CallerWaitPoliciesTest(unittest.TestCase):
    def after_a_refusal(self, usual: float = 2.5) -> CallerWaitPolicies:
        """Return the state after a caller with the usual time was refused at second 1."""
        policies = CallerWaitPolicies()
        policies.classify("status", 0.4, usual, 0.9)
        policies.note_failed("status", 1.0)
        return policies

    def test_by_the_two_policy_a_caller_with_twice_its_objective_retries(self) -> None:
        policies = CallerWaitPolicies(RetryLaterPolicy.TWO)
        self.assertIs(policies.classify("lookup", 1.0, 2.0, 0.0), WaitPolicy.RETRY)
        self.assertIs(policies.classify("other", 1.0, 1.9, 0.0), WaitPolicy.WAIT)
        self.assertIs(CallerWaitPolicies().classify("lookup", 1.0, 3.9, 0.0), WaitPolicy.WAIT)

    def test_a_caller_with_much_time_is_to_retry(self) -> None:
        policies = self.after_a_refusal()
        self.assertEqual(policies.classify("status", 0.4, 2.5, 1.1), WaitPolicy.RETRY)
        self.assertEqual(policies.classify("status", 0.4, 2.49, 1.1), WaitPolicy.RETRY)
        self.assertEqual(policies.classify("status", 0.4, 1.7, 1.8), WaitPolicy.RETRY_DEFERRED)

    def test_a_caller_with_much_less_time_than_others_is_retrying(self) -> None:
        policies = self.after_a_refusal()
        self.assertEqual(policies.classify("status", 0.4, 1.1, 2.4), WaitPolicy.DEFERRED)
        self.assertEqual(policies.classify("other", 0.4, 1.1, 2.4), WaitPolicy.WAIT)

    def test_without_a_refusal_no_caller_is_retrying(self) -> None:
        policies = CallerWaitPolicies()
        for index, time_left in enumerate((2.5, 1.7, 1.1)):
            found = policies.classify("status", 0.4, time_left, 0.1 * index)
            self.assertFalse(found.is_deferred, time_left)

    def test_no_caller_is_retrying_long_after_the_last_refusal(self) -> None:
        policies = self.after_a_refusal()
        self.assertTrue(policies.classify("status", 0.4, 1.1, 3.4).is_deferred)
        self.assertFalse(policies.classify("status", 0.4, 1.1, 3.6).is_deferred)

    def test_first_calls_with_varying_times_do_not_count_as_retrying(self) -> None:
        """Their times vary by 16%; a retrying caller has lost a fifth of its time."""
        random = Random(4)
        policies = CallerWaitPolicies()
        for step in range(100):
            time_left = random.uniform(4.6, 5.4)
            self.assertIs(policies.classify("status", 0.8, time_left, step / 20), WaitPolicy.RETRY)
        policies.note_failed("status", 5.0)
        deferred_first_calls = deferred_retries = 0
        for step in range(200):
            now = 5.0 + step / 50
            deferred_first_calls += policies.classify(
                "status", 0.8, random.uniform(4.6, 5.4), now
            ).is_deferred
            deferred_retries += policies.classify(
                "status", 0.8, random.uniform(3.6, 4.4), now
            ).is_deferred
        self.assertEqual((deferred_first_calls, deferred_retries), (0, 200))

    def test_callers_may_wait_if_all_have_little_time(self) -> None:
        policies = CallerWaitPolicies()
        for time_left in (0.4, 0.39, 0.2):
            policies.note_failed("check", 0.9)
            self.assertEqual(policies.classify("check", 0.12, time_left, 1.0), WaitPolicy.WAIT)

    def test_routes_no_longer_in_force_are_forgotten(self) -> None:
        policies = self.after_a_refusal()
        policies.keep_only(())
        policies.note_failed("status", 1.0)
        self.assertEqual(policies.classify("status", 0.4, 1.1, 2.4), WaitPolicy.WAIT)

    def test_one_caller_with_a_long_deadline_does_not_defer_all_others(self) -> None:
        policies = self.after_a_refusal(usual=60.0)
        found = []
        for step in range(1000):
            policies.note_failed("status", step / 10)
            found.append(policies.classify("status", 0.4, 2.5, step / 10))
        self.assertEqual(found[-1], WaitPolicy.RETRY)

    def test_retrying_callers_are_recognized_among_few_first_calls(self) -> None:
        policies = self.after_a_refusal()
        for step in range(300):
            now = 1.0 + step / 10
            self.assertEqual(policies.classify("status", 0.4, 2.5, now), WaitPolicy.RETRY)
            policies.note_failed("status", now)
            for _ in range(3):
                self.assertEqual(policies.classify("status", 0.4, 1.1, now), WaitPolicy.DEFERRED)

    def test_shedding_without_free_slots_asks_for_a_longer_pause(self) -> None:
        self.assertEqual(retry_after_shedding(0.8, has_free_slots=True), 0.1)
        self.assertEqual(retry_after_shedding(0.8, has_free_slots=False), DEFAULT_RETRY_AFTER)


if __name__ == "__main__":
    unittest.main()
