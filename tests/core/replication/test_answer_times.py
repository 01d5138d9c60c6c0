"""How long an answer of the source is waited for, by its answers of late."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from pewtertack.core.replication.answer_times import LONGEST_PATIENCE, SLOW_SECONDS, AnswerTimes

SHORTEST = 1.0
TIMES = st.lists(st.floats(0.0, 100.0), max_size=40)


class AnswerTimesTest(unittest.TestCase):
    def test_nothing_is_known_of_a_source_that_has_not_answered(self) -> None:
        times = AnswerTimes(SHORTEST)
        self.assertEqual(times.patience, SHORTEST)
        self.assertFalse(times.is_slow)

    def test_one_slow_answer_is_enough_to_wait_for_the_next(self) -> None:
        for seconds in (1.2, 1.9, 3.8):
            times = AnswerTimes(SHORTEST)
            for _ in range(20):
                times.note(0.004)
            times.note(seconds)
            self.assertGreater(times.patience, seconds)
            self.assertTrue(times.is_slow)

    def test_a_source_that_is_quick_again_is_known_as_quick_after_few_answers(self) -> None:
        times = AnswerTimes(SHORTEST)
        for _ in range(10):
            times.note(3.8)
        for _ in range(3):
            times.note(0.004)
        self.assertFalse(times.is_slow)

    @given(TIMES)
    def test_patience_keeps_to_its_bounds(self, seconds: list[float]) -> None:
        times = AnswerTimes(SHORTEST)
        for item in seconds:
            times.note(item)
            self.assertTrue(SHORTEST <= times.patience <= LONGEST_PATIENCE)

    @given(st.floats(SLOW_SECONDS * 1.1, LONGEST_PATIENCE), st.integers(2, 30))
    def test_steady_answers_are_never_overdue(self, seconds: float, count: int) -> None:
        times = AnswerTimes(SHORTEST)
        for _ in range(count):
            times.note(seconds)
            self.assertGreaterEqual(times.patience, seconds)
            self.assertTrue(times.is_slow)


if __name__ == "__main__":
    unittest.main()
