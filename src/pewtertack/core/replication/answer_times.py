"""Estimation of the read timeout from the times that earlier answers of the source took."""

from __future__ import annotations

MAX_TIMEOUT_SECONDS = 8.0
"""Upper bound of the timeout."""
MEAN_GAIN = 0.5
"""Weight of the last answer in the mean; high, so that a source that becomes fast is soon
recognized as fast."""
DEVIATION_GAIN = 0.25
"""Weight of the last answer in the mean deviation."""
TIMEOUT_DEVIATIONS = 4.0
"""Number of deviations by which the timeout exceeds the mean."""
SLOW_ANSWER_SECONDS = 0.5
"""A source whose answers take longer on average is slow: an answer that has begun does not contain
the changes that happen meanwhile."""


class AnswerTimes:
    """Smoothed mean and mean deviation of answer times, as in TCP's retransmission timer.

    The time of an answer excludes the time for which the source held the read open (long poll). It
    is unknown if a change ended that time.

    Args:
        min_timeout_seconds: lower bound of the timeout.
    """

    __slots__ = ("_deviation_seconds", "mean_seconds", "min_timeout_seconds")

    def __init__(self, min_timeout_seconds: float) -> None:
        self.min_timeout_seconds = min_timeout_seconds
        self.mean_seconds: float | None = None
        """``None`` before the first answer."""
        self._deviation_seconds = 0.0

    def record(self, seconds: float) -> None:
        """Update the estimate with the time of one answer."""
        if self.mean_seconds is None:
            self.mean_seconds = seconds
            self._deviation_seconds = seconds / 2
            return
        error = seconds - self.mean_seconds
        self._deviation_seconds += DEVIATION_GAIN * (abs(error) - self._deviation_seconds)
        self.mean_seconds += MEAN_GAIN * error

    @property
    def usual_max_seconds(self) -> float:
        """Seconds within which nearly all answers arrive; 0 before the first answer."""
        if self.mean_seconds is None:
            return 0.0
        estimate = self.mean_seconds + TIMEOUT_DEVIATIONS * self._deviation_seconds
        return min(estimate, MAX_TIMEOUT_SECONDS)

    @property
    def timeout_seconds(self) -> float:
        """Seconds after which an answer is overdue."""
        return max(self.min_timeout_seconds, self.usual_max_seconds)

    @property
    def is_slow(self) -> bool:
        """Whether answers take so long that the next read must not wait for the current one."""
        return self.mean_seconds is not None and self.mean_seconds > SLOW_ANSWER_SECONDS
