"""Maps the failure of an attempt to what it implies for the back end."""

from __future__ import annotations

from pewtertack.routing.ends import AttemptEnd
from pewtertack.routing.outcomes import (
    BackendCrashedError,
    BackendGoneError,
    BackendHungError,
    BackendLeftError,
    BackendShedError,
    BackendSilentError,
    BackendUnreachableError,
    CrossedAnswerError,
    DrainingError,
    GatewayRefusedError,
    RequestFailedError,
    ZoneEvacuatedError,
)

UNREACHABLE_REASONS = frozenset(
    {BackendGoneError.code, DrainingError.code, ZoneEvacuatedError.code}
)
"""Gateway refusals that apply to other requests as well: the back end is unreachable."""


def attempt_end_for(error: RequestFailedError) -> AttemptEnd:
    """Return the attempt end by which a failure with ``error`` counts."""
    if isinstance(error, GatewayRefusedError) and error.reason == BackendLeftError.code:
        return AttemptEnd.GONE
    if isinstance(error, GatewayRefusedError):
        return AttemptEnd.UNREACHABLE if error.reason in UNREACHABLE_REASONS else AttemptEnd.REFUSED
    if isinstance(error, BackendHungError):
        return AttemptEnd.HUNG
    if isinstance(error, BackendShedError):
        return AttemptEnd.SHED
    if isinstance(error, BackendSilentError):
        return AttemptEnd.SILENT
    if isinstance(error, (BackendUnreachableError, BackendCrashedError)):
        return AttemptEnd.UNREACHABLE
    if isinstance(error, CrossedAnswerError):
        return AttemptEnd.BROKEN
    return AttemptEnd.BROKEN if error.code == "backend-failed" else AttemptEnd.CANCELLED
