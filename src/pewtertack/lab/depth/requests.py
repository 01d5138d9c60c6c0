"""What travels through a simulated chain of services: requests and answers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from pewtertack.routing.outcomes import Outcome

MAXIMUM_ATTEMPTS = 200
"""Attempts at the deepest level after which a request is followed no further."""
OK_STATUS = 200
BROKEN_EXCHANGE = 0


@dataclass(slots=True, eq=False)
class TopRequest:
    """One request at the top of the chain. Times are in seconds."""

    began: float
    deadline: float
    ended: float | None = None
    answered: bool = False
    failed_below_at: float | None = None
    """When the faulty level failed it last."""
    deepest_calls: int = 0
    """Calls that reached the deepest level's node."""
    deepest_attempts: int = 0
    """Attempts that reached a back end of the deepest level."""
    attempts: int = 0
    """Attempts at all levels."""
    capped: bool = False

    def may_go_on(self) -> bool:
        """Tell whether another attempt is followed."""
        self.capped = self.capped or self.deepest_attempts >= MAXIMUM_ATTEMPTS
        return not self.capped


@dataclass(frozen=True, slots=True)
class Reply:
    """An answer as the level above sees it; ``BROKEN_EXCHANGE`` stands for none."""

    status: int
    outcome: str | None = None
    """Value of ``x-outcome``."""
    retries: str | None = None
    """Value of ``x-retries``."""


SUCCESS = Reply(OK_STATUS)
SHED = Reply(503, Outcome.NOT_RUN)
BROKEN = Reply(BROKEN_EXCHANGE)
LATE = Reply(504, Outcome.UNKNOWN)

Answer = Callable[[Reply], None]


class Cancellable(Protocol):
    """Work under way that its caller may give up."""

    def cancel(self) -> None:
        """Stop it; nothing is answered any more."""


class Level(Protocol):
    """One service with its nodes' decisions, as the level above calls it."""

    def call(self, request: TopRequest, header: str | None, answer: Answer) -> Cancellable:
        """Begin a call whose ``x-deadline-ms`` is ``header``."""
