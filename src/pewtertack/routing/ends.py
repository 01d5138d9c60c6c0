"""How an attempt ended, and what that tells of its back end."""

from __future__ import annotations

from enum import Enum

from pewtertack.routing.backend import Backend
from pewtertack.routing.queueing import Ticket

SIGNIFICANT_SECONDS = 1.0
"""A timeout or cancellation earlier than this says nothing of the back end."""


UNREACHABLE_PAUSE = 0.4
"""Seconds for which a gateway that could not be reached is left alone at first."""


class AttemptEnd(Enum):
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
    AttemptEnd.FAILED_STATUS,
    AttemptEnd.UNREACHABLE,
    AttemptEnd.SILENT,
    AttemptEnd.BROKEN,
    AttemptEnd.TIMED_OUT,
    AttemptEnd.CANCELLED,
}
OUT_OF_REACH = {AttemptEnd.UNREACHABLE, AttemptEnd.SILENT}
"""Ends after which a gateway's back end is asked for nothing until a probe is answered."""


UNANSWERED = {AttemptEnd.TIMED_OUT, AttemptEnd.CANCELLED, AttemptEnd.BROKEN}
"""Ends that tell how long the answer would have taken at least."""


def ejection_of(ticket: Ticket, backend: Backend, end: AttemptEnd) -> tuple[int, float]:
    """Return how many failures in a row eject the back end, and for how many seconds.

    A gateway that cannot be reached says so at once, and asking again costs little.
    """
    if backend.gateway and end in OUT_OF_REACH:
        return 1, UNREACHABLE_PAUSE
    return ticket.service.ejection_failures, ticket.service.ejection_time


def tells_of_backend(ticket: Ticket, now: float, end: AttemptEnd) -> bool:
    """Tell whether the end of an attempt speaks for or against its back end."""
    silent_of_it = (
        AttemptEnd.FAILED_BELOW,
        AttemptEnd.REFUSED,
        AttemptEnd.GONE,
        AttemptEnd.HUNG,
    )
    if end in silent_of_it:
        return False
    if end is AttemptEnd.SHED:
        return ticket.trial
    if end not in (AttemptEnd.TIMED_OUT, AttemptEnd.CANCELLED):
        return True
    return not ticket.answered and now - ticket.started_at >= SIGNIFICANT_SECONDS
