"""Rules and budgets for retries."""

from __future__ import annotations

from enum import Enum
from typing import Protocol

import msgspec

from pewtertack.core.configuration.resolved import ResolvedRoute
from pewtertack.routing.outcomes import InvalidRequestError, Outcome, RequestFailedError
from pewtertack.routing.policies import Parameter, PolicyKind, RetryBudgetPolicy, policy

NODE_BURST = 10.0
"""Retries that one node may make at once after a quiet period."""
FLEET_BURST = 36.0
"""Retries that all nodes of a fleet together may make at once to one service."""
MAXIMUM_REFUSALS = 3
"""Number of gateways that may refuse one request before its caller is told to retry."""


def node_burst(nodes: int) -> float:
    """Return one node's part of the fleet's burst; ``nodes`` is 0 while unknown."""
    return min(NODE_BURST, max(1.0, FLEET_BURST / nodes)) if nodes else NODE_BURST


class Budget(Protocol):
    """Retry budget of one node for one service. Times are monotonic seconds."""

    def available(self, now: float, nested: bool = False) -> float:
        """Return the number of retries that may be made at once."""

    def set_node_count(self, nodes: int, now: float) -> None:
        """Set the number of nodes of the fleet, 0 while unknown."""

    def is_idle(self, now: float) -> bool:
        """Tell whether it holds no state that must be kept."""

    def note_first_attempt(self, now: float, ratio: float) -> None:
        """Record the first attempt of a request whose route has this ``retry_budget``."""

    def take(self, now: float, nested: bool = False) -> bool:
        """Take one retry, if there is one; ``nested`` for a call that a back end makes."""


@policy(
    PolicyKind.RETRY_BUDGET,
    RetryBudgetPolicy.SHARE,
    "Each first attempt earns the route's share of a retry, up to a small burst.",
    Parameter("burst", NODE_BURST, "retries", "one node"),
    Parameter("fleet_burst", FLEET_BURST, "retries", "all nodes"),
)
class RetryBudget:
    """Retries to one service as a share of first attempts, with a small burst.

    Nodes share no counter: each keeps to its part of the fleet's burst.
    """

    def __init__(self, burst: float = NODE_BURST) -> None:
        self._burst = burst
        self._tokens = burst

    def available(self, now: float, nested: bool = False) -> float:  # noqa: ARG002 (interface)
        """Return the number of retries that may be made at once, nested or not."""
        return self._tokens

    def is_idle(self, now: float) -> bool:  # noqa: ARG002 (interface)
        """Tell whether it holds no state that must be kept; none does, as a burst is small."""
        return True

    def set_node_count(self, nodes: int, now: float) -> None:  # noqa: ARG002 (interface)
        """Set this node's part of the fleet's burst by the number of nodes."""
        self._burst = node_burst(nodes)
        self._tokens = min(self._tokens, self._burst)

    def note_first_attempt(self, now: float, ratio: float) -> None:  # noqa: ARG002 (interface)
        """Record the first attempt of a request, which earns ``ratio`` of a retry."""
        self._tokens = min(self._burst, self._tokens + ratio)

    def take(self, now: float, nested: bool = False) -> bool:  # noqa: ARG002 (interface)
        """Take one retry, nested or not, if there is one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class AttemptRecord(msgspec.Struct, frozen=True):
    """State of a request on which a retry decision depends. Times are monotonic seconds."""

    route: ResolvedRoute
    retries: int
    deadline: float
    expected_time: float
    """Expected duration of an attempt of the route, as far as known."""
    body_replayable: bool
    """No byte of the body was consumed, or all of it is buffered."""


class RetryReason(Enum):
    """Why a request is, or is not, retried after a failed attempt."""

    NOT_RUN = "not-run"
    REPEATABLE = "repeatable"
    NEXT_GATEWAY = "no back end has seen it: another gateway is asked"
    CALLERS_FAULT = "the request itself is at fault"
    MAY_HAVE_RUN = "it may have run and may not be repeated"
    BODY_GONE = "its body cannot be sent again"
    LIMIT = "the route's limit of attempts is reached"
    NO_TIME = "no time is left for another attempt"
    BUDGET = "the retry budget is spent"
    ENDS_BACKENDS = "as many back ends have ended under it as its route allows"
    NO_GATEWAY = "no other gateway may be asked"
    NO_ODDS = "further gateways have refused such requests lately"
    NO_PROSPECT = "no other gateway is expected to take it soon, and its caller may come back"


GRANTED_REASONS = frozenset({RetryReason.NOT_RUN, RetryReason.REPEATABLE, RetryReason.NEXT_GATEWAY})


def judge_retry(record: AttemptRecord, error: RequestFailedError, now: float) -> RetryReason:
    """Tell whether another attempt is permitted, regardless of the budget, and why.

    A request that may not be repeated is retried only when it is
    certain that it did not run.
    """
    if isinstance(error, InvalidRequestError):
        return RetryReason.CALLERS_FAULT
    not_run = error.outcome is Outcome.NOT_RUN
    if not not_run and not record.route.repeatable:
        return RetryReason.MAY_HAVE_RUN
    if not record.body_replayable:
        return RetryReason.BODY_GONE
    if record.retries >= record.route.retry_limit:
        return RetryReason.LIMIT
    if now + record.expected_time >= record.deadline:
        return RetryReason.NO_TIME
    return RetryReason.NOT_RUN if not_run else RetryReason.REPEATABLE
