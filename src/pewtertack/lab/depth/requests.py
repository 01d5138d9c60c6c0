"""Requests and replies of a simulated chain of services."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from pewtertack.routing.outcomes import Outcome

MAX_DEEPEST_ATTEMPTS = 200
"""Attempts at the deepest level after which the simulation makes no further ones for a request."""
OK_STATUS = 200
BROKEN_EXCHANGE = 0


@dataclass(slots=True, eq=False)
class TopRequest:
    """One request to the top level of the chain. Times are in seconds."""

    began_at: float
    deadline: float
    ended: float | None = None
    answered: bool = False
    failed_below_at: float | None = None
    """Time at which the faulty level last failed it."""
    deepest_calls: int = 0
    """Number of calls that reached the node of the deepest level."""
    deepest_attempts: int = 0
    """Number of attempts at back ends of the deepest level."""
    attempts: int = 0
    """Number of attempts at all levels."""
    capped: bool = False
    """Whether ``MAX_DEEPEST_ATTEMPTS`` was reached."""

    def allow_attempt(self) -> bool:
        """Return whether another attempt may be made; set ``capped`` if not."""
        self.capped = self.capped or self.deepest_attempts >= MAX_DEEPEST_ATTEMPTS
        return not self.capped


@dataclass(frozen=True, slots=True)
class Reply:
    """A response as the level above sees it; status ``BROKEN_EXCHANGE`` means that none came."""

    status: int
    outcome: str | None = None
    """Value of ``x-outcome``."""
    retries: str | None = None
    """Value of ``x-retries``."""


SUCCESS = Reply(OK_STATUS)
SHED = Reply(503, Outcome.NOT_RUN)
BROKEN = Reply(BROKEN_EXCHANGE)
LATE = Reply(504, Outcome.UNKNOWN)

ReplyHandler = Callable[[Reply], None]


class Cancellable(Protocol):
    """A call in progress that its caller may cancel."""

    def cancel(self) -> None:
        """Cancel the call; no reply follows."""


class Level(Protocol):
    """One service behind its node, as the level above calls it."""

    def call(
        self, request: TopRequest, deadline_header: str | None, on_reply: ReplyHandler
    ) -> Cancellable:
        """Start a call with ``deadline_header`` as its ``x-deadline-ms``.

        ``on_reply`` is called with the reply.
        """
