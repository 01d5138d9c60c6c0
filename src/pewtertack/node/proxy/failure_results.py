"""Maps the failure of an attempt to what it implies for the back end."""

from __future__ import annotations

from pewtertack.routing.attempt_results import AttemptResult
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


def result_of_failure(error: RequestFailedError) -> AttemptResult:
    """Return the result of an attempt that failed with ``error``."""
    if isinstance(error, GatewayRefusedError) and error.reason == BackendLeftError.code:
        return AttemptResult.GONE
    if isinstance(error, GatewayRefusedError):
        return (
            AttemptResult.UNREACHABLE
            if error.reason in UNREACHABLE_REASONS
            else AttemptResult.REFUSED
        )
    if isinstance(error, BackendHungError):
        return AttemptResult.HUNG
    if isinstance(error, BackendShedError):
        return AttemptResult.SHED
    if isinstance(error, BackendSilentError):
        return AttemptResult.SILENT
    if isinstance(error, (BackendUnreachableError, BackendCrashedError)):
        return AttemptResult.UNREACHABLE
    if isinstance(error, CrossedAnswerError):
        return AttemptResult.BROKEN
    return AttemptResult.BROKEN if error.code == "backend-failed" else AttemptResult.CANCELLED
