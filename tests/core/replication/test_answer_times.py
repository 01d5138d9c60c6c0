"""Estimation of the read timeout from earlier answers of the source."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from pewtertack.core.replication.answer_times import (
    MAX_TIMEOUT_SECONDS,
    SLOW_ANSWER_SECONDS,
    AnswerTimes,
)

MIN_TIMEOUT_SECONDS = 1.0
TIMES = st.lists(st.floats(0.0, 100.0), max_size=40)


class AnswerTimesTest(unittest.TestCase):
    def test_without_answers_the_timeout_is_minimal_and_the_source_is_not_slow(self) -> None:
        times = AnswerTimes(MIN_TIMEOUT_SECONDS)
        self.assertEqual(times.timeout_seconds, MIN_TIMEOUT_SECONDS)
        self.assertFalse(times.is_slow)

    def test_one_slow_answer_extends_the_timeout_beyond_it(self) -> None:
        for seconds in (1.2, 1.9, 3.8):
            times = AnswerTimes(MIN_TIMEOUT_SECONDS)
            for _ in range(20):
                times.record(0.004)
            times.record(seconds)
            self.assertGreater(times.timeout_seconds, seconds)
            self.assertTrue(times.is_slow)

    def test_a_source_that_is_fast_again_is_recognized_after_few_answers(self) -> None:
        times = AnswerTimes(MIN_TIMEOUT_SECONDS)
        for _ in range(10):
            times.record(3.8)
        for _ in range(3):
            times.record(0.004)
        self.assertFalse(times.is_slow)

    @given(TIMES)
    def test_the_timeout_stays_within_its_bounds(self, seconds: list[float]) -> None:
        times = AnswerTimes(MIN_TIMEOUT_SECONDS)
        for item in seconds:
            times.record(item)
            self.assertTrue(MIN_TIMEOUT_SECONDS <= times.timeout_seconds <= MAX_TIMEOUT_SECONDS)

    @given(st.floats(SLOW_ANSWER_SECONDS * 1.1, MAX_TIMEOUT_SECONDS), st.integers(2, 30))
    def test_answers_of_constant_duration_are_never_overdue(
        self, seconds: float, count: int
    ) -> None:
        times = AnswerTimes(MIN_TIMEOUT_SECONDS)
        for _ in range(count):
            times.record(seconds)
            self.assertGreaterEqual(times.timeout_seconds, seconds)
            self.assertTrue(times.is_slow)


if __name__ == "__main__":
    unittest.main()
