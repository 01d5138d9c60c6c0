"""How an attempt ended, and what that tells of its back end."""

from __future__ import annotations

from enum import Enum

from pewtertack.routing.backend import Backend
from pewtertack.routing.queueing import Ticket

MIN_SIGNIFICANT_SECONDS = 1.0
"""A timeout or cancellation earlier than this says nothing of the back end."""


UNREACHABLE_RETRY_SECONDS = 0.4
"""Seconds for which a gateway that could not be reached is left alone at first."""


class AttemptResult(Enum):
    """What became of an attempt, as far as it tells something of the back end."""

    ANSWERED = "answered"
    FAILED_STATUS = "failed-status"
    """An answer of status 500, 502 or 503, other than a shed request."""
    FAILED_BELOW = "failed-below"
    """A failure that a node below the back end gave; tells nothing of the back end."""
    HUNG = "hung"
    """The gateway takes it for one of those on which the back end hangs, and tells of fewer slots
    by the share that does; that others fail too it does not say."""
    SHED = "shed"
    REFUSED = "refused"
    """The gateway refused the request; tells nothing of the back end."""
    GONE = "gone"
    """The gateway says that the back end has left for good; tells nothing of the gateway."""
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
"""Ends after which a gateway's back end is asked for nothing until a probe is answered."""


INCOMPLETE_RESULTS = {AttemptResult.TIMED_OUT, AttemptResult.CANCELLED, AttemptResult.BROKEN}
"""Ends that tell how long the answer would have taken at least."""


def ejection_parameters(ticket: Ticket, backend: Backend, end: AttemptResult) -> tuple[int, float]:
    """Return how many failures in a row eject the back end, and for how many seconds.

    A gateway that cannot be reached says so at once, and asking again costs little.
    """
    if backend.gateway and end in CONNECTIVITY_FAILURES:
        return 1, UNREACHABLE_RETRY_SECONDS
    return ticket.service.ejection_failures, ticket.service.ejection_time


def reflects_on_backend(ticket: Ticket, now: float, end: AttemptResult) -> bool:
    """Tell whether the end of an attempt speaks for or against its back end."""
    silent_of_it = (
        AttemptResult.FAILED_BELOW,
        AttemptResult.REFUSED,
        AttemptResult.GONE,
        AttemptResult.HUNG,
    )
    if end in silent_of_it:
        return False
    if end is AttemptResult.SHED:
        return ticket.trial
    if end not in (AttemptResult.TIMED_OUT, AttemptResult.CANCELLED):
        return True
    return not ticket.answered and now - ticket.started_at >= MIN_SIGNIFICANT_SECONDS
