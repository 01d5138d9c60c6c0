"""When a request may be attempted again."""

from __future__ import annotations

from dataclasses import dataclass

from pewtertack.core.configuration.resolved import ResolvedRoute
from pewtertack.routing.outcomes import InvalidRequestError, Outcome, RequestFailedError

BUDGET_BURST = 10.0
"""Retries that may come at once after a quiet time."""


class RetryBudget:
    """Retries as a share of first attempts, with a small burst."""

    def __init__(self) -> None:
        self._tokens = BUDGET_BURST

    def note_first_attempt(self, ratio: float) -> None:
        """A request's first attempt earns ``ratio`` of a retry."""
        self._tokens = min(BUDGET_BURST, self._tokens + ratio)

    def withdraw(self) -> bool:
        """Take one retry out of the budget; false when there is none."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


@dataclass(frozen=True, slots=True)
class AttemptRecord:
    """What a retry decision needs of the request so far. Times are monotonic seconds."""

    route: ResolvedRoute
    retries: int
    deadline: float
    expected_time: float
    """How long an attempt of the route takes, as far as known."""
    body_replayable: bool
    """No byte of the body was consumed, or all of it is buffered."""


def may_retry(record: AttemptRecord, error: RequestFailedError, now: float) -> bool:
    """Tell whether another attempt is right, before the budget is asked.

    A request that may not be repeated is attempted again only when it is
    certain that it did not run.
    """
    if isinstance(error, InvalidRequestError):
        return False
    if error.outcome is not Outcome.NOT_RUN and not record.route.repeatable:
        return False
    return (
        record.body_replayable
        and record.retries < record.route.retry_limit
        and now + record.expected_time < record.deadline
    )
