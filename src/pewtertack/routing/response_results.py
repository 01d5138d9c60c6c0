"""Result of an attempt by its answer: the status and two headers.

A back end may itself be a caller: it serves its request by calling the next
service through its own node. When that node gives up, it marks its failure with
``x-retries: spent`` and the back end copies the mark to its own failing
answer. A failure is thus retried by one node only, the one nearest to it.
"""

from __future__ import annotations

from pewtertack.routing.attempt_results import AttemptResult
from pewtertack.routing.outcomes import RETRIES_SPENT, Outcome

SHED_STATUS = 503
FAILED_STATUSES = frozenset({500, 502, 503})
LOWEST_FAILING_STATUS = 500


def result_of_response(status: int, outcome: str | None, retries: str | None) -> AttemptResult:
    """Return the result of an attempt that was answered with this status.

    Args:
        status: HTTP status of the back end's answer.
        outcome: its ``x-outcome`` header, if any.
        retries: its ``x-retries`` header, if any.
    """
    spent = retries is not None and retries.strip().lower() == RETRIES_SPENT
    if spent and status >= LOWEST_FAILING_STATUS:
        return AttemptResult.FAILED_BELOW
    if status == SHED_STATUS and outcome == Outcome.NOT_RUN:
        return AttemptResult.SHED
    return AttemptResult.FAILED_STATUS if status in FAILED_STATUSES else AttemptResult.ANSWERED
