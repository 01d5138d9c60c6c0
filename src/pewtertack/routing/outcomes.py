"""Errors for requests that end without a back end's answer.

Every error tells whether the request was not run or may have run, the HTTP
status, and after how long the caller may retry. An error raised for one
attempt covers that attempt only; ``with_outcome`` widens it when an
earlier attempt of the same request may have run.
"""

from __future__ import annotations

from enum import StrEnum
from typing import ClassVar, Self

import msgspec

from pewtertack.errors import RequestError

OUTCOME_HEADER = "x-outcome"
RETRIES_HEADER = "x-retries"
RETRIES_SPENT = "spent"
"""Value of ``x-retries``: the node nearest to the failure has made all retries."""
DEFAULT_RETRY_AFTER = 1.0
"""Seconds after which a caller may retry where no other time is known."""

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Callers may take these to mean that the request has not run and never will."""

UNKNOWN_OUTCOME_STATUSES = frozenset({502, 504})
"""Callers can conclude nothing from these; a request that may not be repeated is lost."""


class Outcome(StrEnum):
    """What is known of the request's execution."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class RejectedAnswer(msgspec.Struct, frozen=True):
    """A back end's answer that was not passed on: a refusal, or one that may be another's."""

    status: int
    identified: bool
    """Whether the answer names a request."""
    exchange_number: int
    """Which exchange of its connection ended with it, from 1."""


class RequestFailedError(RequestError):
    """Base of all these errors. ``retry_after`` is in seconds; ``None`` means "do not retry"."""

    code: ClassVar[str] = "request-failed"
    status: ClassVar[int] = 502
    default_outcome: ClassVar[Outcome] = Outcome.UNKNOWN
    close_connection: ClassVar[bool] = False

    def __init__(self, message: str, retry_after: float | None = DEFAULT_RETRY_AFTER) -> None:
        super().__init__(message)
        self.message = message
        self.retry_after = retry_after
        self.outcome = self.default_outcome
        self.retries_spent = False
        """Whether nodes further up must not retry after this failure."""
        self.reached_backend = True
        """Whether a back end has seen the request, so that another attempt is a retry."""
        self.answer: RejectedAnswer | None = None
        """The back end's answer that ended the attempt, if one did."""

    @property
    def response_status(self) -> int:
        """The HTTP status: one that means "not run" if that is certain, and only then."""
        if self.outcome is Outcome.UNKNOWN and self.status in NOT_RUN_STATUSES:
            return RequestFailedError.status
        if self.outcome is Outcome.NOT_RUN and self.status in UNKNOWN_OUTCOME_STATUSES:
            return NotRunError.status
        return self.status

    def with_outcome(self, outcome: Outcome) -> Self:
        """Set the outcome of the whole request and return the error itself."""
        self.outcome = outcome
        return self

    def with_answer(self, answer: RejectedAnswer) -> Self:
        """Set the answer that ended the attempt and return the error itself."""
        self.answer = answer
        return self

    def with_retries_spent(self) -> Self:
        """Mark that this node has made all retries, and return the error itself."""
        self.retries_spent = True
        return self


class NotRunError(RequestFailedError):
    """The request certainly did not run."""

    code: ClassVar[str] = "not-run"
    status: ClassVar[int] = 503
    default_outcome: ClassVar[Outcome] = Outcome.NOT_RUN


class InvalidRequestError(NotRunError):
    """The caller's request is malformed or not acceptable."""

    code: ClassVar[str] = "invalid-request"
    status: ClassVar[int] = 400

    def __init__(self, message: str, retry_after: float | None = None) -> None:
        super().__init__(message, retry_after)
        self.reached_backend = False


class HeadersTooLargeError(InvalidRequestError):
    """Request line and headers exceed the limit."""

    code: ClassVar[str] = "headers-too-large"
    status: ClassVar[int] = 431


class RouteNotFoundError(InvalidRequestError):
    """No route matches the host and path."""

    code: ClassVar[str] = "route-not-found"
    status: ClassVar[int] = 404


class MethodNotAllowedError(InvalidRequestError):
    """Routes match the host and path, but none allows the method."""

    code: ClassVar[str] = "method-not-allowed"
    status: ClassVar[int] = 405


class ProtocolVersionError(InvalidRequestError):
    """The caller uses HTTP/1.0, where a truncated answer cannot be told from a complete one."""

    code: ClassVar[str] = "protocol-version"
    status: ClassVar[int] = 505


class UpgradeRefusedError(InvalidRequestError):
    """The caller asks to change the protocol of its connection."""

    code: ClassVar[str] = "upgrade-refused"
    close_connection: ClassVar[bool] = True


class SlowRequestError(RequestFailedError):
    """The caller sent its request too slowly."""

    code: ClassVar[str] = "slow-request"
    status: ClassVar[int] = 408
    close_connection: ClassVar[bool] = True


class NotServingError(NotRunError):
    """The node has not joined, or was suspended, and accepts no requests for now."""

    code: ClassVar[str] = "not-serving"


class ConfigurationBehindError(NotRunError):
    """No route matches, but the node knows of a newer configuration than the one in force."""

    code: ClassVar[str] = "configuration-behind"


class DrainingError(NotRunError):
    """The node is shutting down gracefully and accepts no new requests."""

    code: ClassVar[str] = "draining"
    close_connection: ClassVar[bool] = True


class WithdrawnError(NotRunError):
    """The sending node, which is stopping, withdrew the request before a back end saw it."""

    code: ClassVar[str] = "withdrawn"

    def __init__(self, message: str, retry_after: float | None = DEFAULT_RETRY_AFTER) -> None:
        super().__init__(message, retry_after)
        self.reached_backend = False


class QueueFullError(NotRunError):
    """The queue for the request's route is full."""

    code: ClassVar[str] = "queue-full"


class BodiesFullError(NotRunError):
    """The request bodies that wait to be read by back ends have reached the node's limit."""

    code: ClassVar[str] = "bodies-full"


class MemoryFullError(NotRunError):
    """Callers have used up the memory that the node has for their requests."""

    code: ClassVar[str] = "memory-full"


class ConnectionsFullError(NotRunError):
    """Callers have used up the connections that the node has for them."""

    code: ClassVar[str] = "connections-full"


class DeadlineUnmeetableError(NotRunError):
    """No back end is expected to be free in time for the request's deadline."""

    code: ClassVar[str] = "deadline-unmeetable"


class NoBackendError(NotRunError):
    """The service has no back end that accepts work."""

    code: ClassVar[str] = "no-backend"


class BackendUnreachableError(NotRunError):
    """No connection to the chosen back end could be made."""

    code: ClassVar[str] = "backend-unreachable"

    def __init__(self, message: str, retry_after: float | None = DEFAULT_RETRY_AFTER) -> None:
        super().__init__(message, retry_after)
        self.reached_backend = False


class GatewayRefusedError(NotRunError):
    """The gateway refused the request before the back end saw it."""

    code: ClassVar[str] = "gateway-refused"

    def __init__(self, message: str, retry_after: float | None, reason: str) -> None:
        super().__init__(message, retry_after)
        self.reason = reason
        """Error code of the refusal at the gateway."""
        self.reached_backend = False


class BackendGoneError(NotRunError):
    """The back end is leaving, has gone or was replaced by another incarnation."""

    code: ClassVar[str] = "backend-gone"


class BackendUnlistedError(NotRunError):
    """The machine list does not contain the back end now; it accepts work again when listed."""

    code: ClassVar[str] = BackendGoneError.code


class BackendLeftError(BackendGoneError):
    """The back end has left for good: this incarnation accepts no more work, even if listed."""

    code: ClassVar[str] = "backend-left"


class ZoneEvacuatedError(NotRunError):
    """The operator has evacuated the zone, so its back ends get no requests."""

    code: ClassVar[str] = "zone-evacuated"

    def __init__(self, message: str, retry_after: float | None = DEFAULT_RETRY_AFTER) -> None:
        super().__init__(message, retry_after)
        self.reached_backend = False


class BackendShedError(NotRunError):
    """The back end answered that it did not run the request."""

    code: ClassVar[str] = "backend-shed"


class BackendFailedError(RequestFailedError):
    """The exchange broke after part of the request was sent."""

    code: ClassVar[str] = "backend-failed"


class BackendHungError(RequestFailedError):
    """The back end has most likely hung on the request, which may still be answered elsewhere."""

    code: ClassVar[str] = "backend-hung"


class BackendCrashedError(BackendFailedError):
    """The back end crashed while it ran the request, perhaps because of it."""

    code: ClassVar[str] = "backend-crashed"


class RequestEndsBackendsError(NotRunError):
    """Back ends have crashed under this request as often as its route allows.

    The caller gets no ``retry_after``, since another attempt would most likely end the same way.
    """

    code: ClassVar[str] = "request-ends-back-ends"

    def __init__(self, message: str, retry_after: float | None = None) -> None:
        super().__init__(message, retry_after)
        self.reached_backend = False


class BackendSilentError(BackendFailedError):
    """The back end's machine acknowledged nothing of what was sent to it."""

    code: ClassVar[str] = "backend-silent"


class ResponseOverheadError(BackendFailedError):
    """The back end's response has more headers, trailers or chunk extensions than are accepted."""

    code: ClassVar[str] = "response-overhead"


class CrossedAnswerError(RequestFailedError):
    """The back end's answer carries another request's id."""

    code: ClassVar[str] = "crossed-answer"


class DeadlineExceededError(RequestFailedError):
    """The deadline passed after part of the request was sent."""

    code: ClassVar[str] = "deadline-exceeded"
    status: ClassVar[int] = 504


class InternalError(RequestFailedError):
    """An unexpected error in the node; the log has the details."""

    code: ClassVar[str] = "internal-error"
    status: ClassVar[int] = 500
    close_connection: ClassVar[bool] = True
