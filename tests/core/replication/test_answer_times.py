"""How long an answer of the source is waited for, by its answers of late."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from pewtertack.core.replication.answer_times import (
    MAX_TIMEOUT_SECONDS,
    SLOW_ANSWER_SECONDS,
    AnswerTimes,
)

SHORTEST = 1.0
TIMES = st.lists(st.floats(0.0, 100.0), max_size=40)


class AnswerTimesTest(unittest.TestCase):
    def test_nothing_is_known_of_a_source_that_has_not_answered(self) -> None:
        times = AnswerTimes(SHORTEST)
        self.assertEqual(times.timeout_seconds, SHORTEST)
        self.assertFalse(times.is_slow)

    def test_one_slow_answer_is_enough_to_wait_for_the_next(self) -> None:
        for seconds in (1.2, 1.9, 3.8):
            times = AnswerTimes(SHORTEST)
            for _ in range(20):
                times.record(0.004)
            times.record(seconds)
            self.assertGreater(times.timeout_seconds, seconds)
            self.assertTrue(times.is_slow)

    def test_a_source_that_is_quick_again_is_known_as_quick_after_few_answers(self) -> None:
        times = AnswerTimes(SHORTEST)
        for _ in range(10):
            times.record(3.8)
        for _ in range(3):
            times.record(0.004)
        self.assertFalse(times.is_slow)

    @given(TIMES)
    def test_patience_keeps_to_its_bounds(self, seconds: list[float]) -> None:
        times = AnswerTimes(SHORTEST)
        for item in seconds:
            times.record(item)
            self.assertTrue(SHORTEST <= times.timeout_seconds <= MAX_TIMEOUT_SECONDS)

    @given(st.floats(SLOW_ANSWER_SECONDS * 1.1, MAX_TIMEOUT_SECONDS), st.integers(2, 30))
    def test_steady_answers_are_never_overdue(self, seconds: float, count: int) -> None:
        times = AnswerTimes(SHORTEST)
        for _ in range(count):
            times.record(seconds)
            self.assertGreaterEqual(times.timeout_seconds, seconds)
            self.assertTrue(times.is_slow)


if __name__ == "__main__":
    unittest.main()
