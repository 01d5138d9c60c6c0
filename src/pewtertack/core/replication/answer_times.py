"""Estimates when an answer of the source is overdue, from the times of earlier answers."""

from __future__ import annotations

MAX_TIMEOUT_SECONDS = 8.0
"""Seconds."""
MEAN_GAIN = 0.5
"""Weight of the last answer in the mean. It is high, so that a source that has become quick is soon
taken as quick."""
DEVIATION_GAIN = 0.25
TIMEOUT_DEVIATIONS = 4.0
SLOW_ANSWER_SECONDS = 0.5
"""A source that takes longer misses what happens while it answers."""


class AnswerTimes:
    """Smoothed mean and deviation of answer times, as in TCP's retransmission timer.

    The time of an answer is what it took beyond the wait of the read. It is unknown where a
    change has ended the wait.

    Args:
        shortest: seconds for which an answer is waited for at least.
    """

    __slots__ = ("_deviation_seconds", "mean_seconds", "min_timeout_seconds")

    def __init__(self, shortest: float) -> None:
        self.min_timeout_seconds = shortest
        self.mean_seconds: float | None = None
        """Seconds; ``None`` before the first answer."""
        self._deviation_seconds = 0.0

    def record(self, seconds: float) -> None:
        """Take in the time of one answer."""
        if self.mean_seconds is None:
            self.mean_seconds = seconds
            self._deviation_seconds = seconds / 2
            return
        error = seconds - self.mean_seconds
        self._deviation_seconds += DEVIATION_GAIN * (abs(error) - self._deviation_seconds)
        self.mean_seconds += MEAN_GAIN * error

    @property
    def timeout_seconds(self) -> float:
        """Seconds after which an answer is overdue."""
        usual = (
            0.0
            if self.mean_seconds is None
            else self.mean_seconds + TIMEOUT_DEVIATIONS * self._deviation_seconds
        )
        return max(self.min_timeout_seconds, min(usual, MAX_TIMEOUT_SECONDS))

    @property
    def is_slow(self) -> bool:
        """Whether so much happens during an answer that the next read must not wait for it."""
        return self.mean_seconds is not None and self.mean_seconds > SLOW_ANSWER_SECONDS
