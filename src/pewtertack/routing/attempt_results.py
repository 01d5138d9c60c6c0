"""Results of an attempt, and what they say of its back end."""

from __future__ import annotations

from enum import Enum

from pewtertack.routing.backend import Backend
from pewtertack.routing.queueing import Ticket

MIN_SIGNIFICANT_SECONDS = 1.0
"""A timeout or cancellation earlier than this says nothing of the back end."""


UNREACHABLE_RETRY_SECONDS = 0.4
"""Initial time for which an unreachable gateway is not tried again."""


class AttemptResult(Enum):
    """Result of an attempt, as far as it says something of the back end."""

    ANSWERED = "answered"
    FAILED_STATUS = "failed-status"
    """An answer of status 500, 502 or 503, other than a shed request."""
    FAILED_BELOW = "failed-below"
    """A failure reported by a node further down; says nothing of the back end."""
    HUNG = "hung"
    """The gateway takes the back end to hang on this request. It says nothing of other requests;
    the gateway advertises fewer slots according to the share on which the back end hangs."""
    SHED = "shed"
    REFUSED = "refused"
    """The gateway refused the request; says nothing of the back end."""
    GONE = "gone"
    """The gateway reports that the back end has left for good; says nothing of the gateway."""
    UNREACHABLE = "unreachable"
    SILENT = "silent"
    """The gateway's machine acknowledged nothing of what was sent to it."""
    BROKEN = "broken"
    TIMED_OUT = "timed-out"
    CANCELLED = "cancelled"


FAILURES = {
    AttemptResult.FAILED_STATUS,
    AttemptResult.UNREACHABLE,
    AttemptResult.SILENT,
    AttemptResult.BROKEN,
    AttemptResult.TIMED_OUT,
    AttemptResult.CANCELLED,
}
CONNECTIVITY_FAILURES = {AttemptResult.UNREACHABLE, AttemptResult.SILENT}
"""Results after which a gateway gets no requests until it answers a probe."""


INCOMPLETE_RESULTS = {AttemptResult.TIMED_OUT, AttemptResult.CANCELLED, AttemptResult.BROKEN}
"""Results that give a lower bound of the time that the answer would have taken."""


def ejection_parameters(
    ticket: Ticket, backend: Backend, result: AttemptResult
) -> tuple[int, float]:
    """Return how many failures in a row eject the back end, and for how many seconds.

    An unreachable gateway is ejected at once: trying it again fails fast and costs little.
    """
    if backend.gateway and result in CONNECTIVITY_FAILURES:
        return 1, UNREACHABLE_RETRY_SECONDS
    return ticket.service.ejection_failures, ticket.service.ejection_time


def reflects_on_backend(ticket: Ticket, now: float, result: AttemptResult) -> bool:
    """Tell whether the result counts for or against the back end's health."""
    inconclusive = (
        AttemptResult.FAILED_BELOW,
        AttemptResult.REFUSED,
        AttemptResult.GONE,
        AttemptResult.HUNG,
    )
    if result in inconclusive:
        return False
    if result is AttemptResult.SHED:
        return ticket.trial
    if result not in (AttemptResult.TIMED_OUT, AttemptResult.CANCELLED):
        return True
    if ticket.awaits_caller:
        return False
    return not ticket.answered and now - ticket.started_at >= MIN_SIGNIFICANT_SECONDS
