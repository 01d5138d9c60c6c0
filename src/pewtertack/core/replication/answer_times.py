"""Estimates when an answer of the source is overdue, from the times of earlier answers."""

from __future__ import annotations

LONGEST_PATIENCE = 8.0
"""Seconds."""
MEAN_GAIN = 0.5
"""Weight of the last answer in the mean. It is high, so that a source that has become quick is soon
taken as quick."""
DEVIATION_GAIN = 0.25
DEVIATIONS = 4.0
SLOW_SECONDS = 0.5
"""A source that takes longer misses what happens while it answers."""


class AnswerTimes:
    """Smoothed mean and deviation of answer times, as in TCP's retransmission timer.

    The time of an answer is what it took beyond the wait of the read. It is unknown where a
    change has ended the wait.

    Args:
        shortest: seconds for which an answer is waited for at least.
    """

    __slots__ = ("_deviation", "mean", "shortest")

    def __init__(self, shortest: float) -> None:
        self.shortest = shortest
        self.mean: float | None = None
        """Seconds; ``None`` before the first answer."""
        self._deviation = 0.0

    def note(self, seconds: float) -> None:
        """Take in the time of one answer."""
        if self.mean is None:
            self.mean = seconds
            self._deviation = seconds / 2
            return
        error = seconds - self.mean
        self._deviation += DEVIATION_GAIN * (abs(error) - self._deviation)
        self.mean += MEAN_GAIN * error

    @property
    def patience(self) -> float:
        """Seconds after which an answer is overdue."""
        usual = 0.0 if self.mean is None else self.mean + DEVIATIONS * self._deviation
        return max(self.shortest, min(usual, LONGEST_PATIENCE))

    @property
    def is_slow(self) -> bool:
        """Whether so much happens during an answer that the next read must not wait for it."""
        return self.mean is not None and self.mean > SLOW_SECONDS
