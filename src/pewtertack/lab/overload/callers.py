"""Callers that retry after a refusal, and the value of their requests.

Times count from the caller's first attempt: a response within the objective earns the full
worth of the request, a later one a small fraction. Waiting that ends without a response has a
penalty that grows with its duration, and a retry without result has a fixed penalty.
"""

from __future__ import annotations

from enum import StrEnum
from random import Random

from pewtertack.core.configuration.resolved import WorkClass
from pewtertack.lab.overload.gateways import GatewayNode
from pewtertack.lab.overload.virtual_backends import VirtualTime
from pewtertack.lab.overload.workload import ClassProfile, SimulatedRequest

CALLER_PROFILES = (
    ClassProfile(WorkClass.INTERACTIVE, 0.6, 0.12, 2.5, "status", 0.4, 1.0, 2),
    ClassProfile(WorkClass.INTERACTIVE, 0.2, 0.16, 3.0, "reserve", 0.5, 2.0, 2),
    ClassProfile(WorkClass.URGENT, 0.2, 0.03, 0.4, "check", 0.12, 0.3, 0),
)
"""Two classes of requests whose callers may retry, and calls of back ends, which do not."""
LATE_RESPONSE_SHARE = 0.1
"""Fraction of its worth that a late response earns (site file of the users' third deployment)."""
FREE_WAIT_SHARE = 1 / 8
"""Fraction of the objective up to which waiting without result costs nothing (users' price
list)."""
FULL_PENALTY_WAIT_SHARE = 3 / 4
"""Fraction of the caller's deadline from which waiting without result costs the full worth
(users' price list)."""
FAILED_RETRY_PENALTY = 0.3
"""Fraction of a request's worth that a retry without result costs (users' price list)."""
MAX_OBEYED_SHARE = 1 / 3
"""Callers obey Retry-After up to this fraction of the time that they have left (users' price
list)."""
DEFAULT_RETRY_SECONDS = 0.05
"""Seconds after which a caller retries without Retry-After. Assumed: no measurement is known."""
IMMEDIATE_RETRY_ATTEMPTS = 6
"""Number of attempts of a caller that retries almost immediately."""
IMMEDIATE_RETRY_SHARE = 0.1
"""Fraction of the callers that retry almost immediately. Assumed."""
EARLY_LEAVE_SHARE = 0.1
"""Fraction of the callers that leave before their deadline. Assumed."""


class CallerBehavior(StrEnum):
    """Behavior of a caller after a refusal and while it waits."""

    OBEYS = "obeys"
    RETRIES_IMMEDIATELY = "hasty"
    LEAVES_EARLY = "leaves"


def draw_behavior(profile: ClassProfile, random: Random) -> CallerBehavior:
    """Draw the behavior of a caller; calls of back ends always obey ``Retry-After``."""
    drawn = random.random()
    if not profile.retries or drawn >= IMMEDIATE_RETRY_SHARE + EARLY_LEAVE_SHARE:
        return CallerBehavior.OBEYS
    return (
        CallerBehavior.RETRIES_IMMEDIATELY
        if drawn < IMMEDIATE_RETRY_SHARE
        else CallerBehavior.LEAVES_EARLY
    )


class Caller:
    """One caller with one request and all its attempts. Times are in seconds."""

    __slots__ = (
        "answered_at",
        "attempts",
        "behavior",
        "current_attempt",
        "deadline",
        "left_early",
        "nodes",
        "profile",
        "random",
        "refusals",
        "request",
        "started_in_time",
        "time",
        "wait_seconds",
    )

    def __init__(
        self,
        time: VirtualTime,
        nodes: list[GatewayNode],
        request: SimulatedRequest,
        random: Random,
    ) -> None:
        self.time = time
        self.nodes = nodes
        self.request = request
        self.random = random
        self.profile = request.profile
        self.behavior = draw_behavior(request.profile, random)
        self.deadline = request.deadline
        self.attempts = 0
        self.refusals = 0
        self.wait_seconds = 0.0
        """Sum of the durations of attempts that ended without a response."""
        self.started_in_time = False
        self.answered_at: float | None = None
        self.left_early = False
        self.current_attempt: tuple[GatewayNode, SimulatedRequest] | None = None

    def begin(self) -> None:
        """Make the first attempt."""
        self._attempt()
        if self.behavior is CallerBehavior.LEAVES_EARLY:
            self.time.at(
                self.request.began_at + self.random.random() * self.request.profile.deadline,
                self._leave,
            )

    def _attempt(self) -> None:
        if self.left_early or self.time.now >= self.deadline:
            return
        self.attempts += 1
        node = self.nodes[self.random.randrange(len(self.nodes))]
        attempt = SimulatedRequest(self.profile, 0, self.time.now, self.request.work, self.deadline)
        attempt.on_end = lambda: self._handle_end(attempt)
        self.current_attempt = node, attempt
        node.begin(attempt)
        self.time.at(self.deadline, lambda: self._time_out(node, attempt))

    def _time_out(self, node: GatewayNode, attempt: SimulatedRequest) -> None:
        if attempt.ended is None:
            node.cancel(attempt)

    def _leave(self) -> None:
        if self.answered_at is not None or self.current_attempt is None:
            return
        self.left_early = True
        self._time_out(*self.current_attempt)

    def _handle_end(self, attempt: SimulatedRequest) -> None:
        now = self.time.now
        if attempt.answered:
            self.answered_at = now
            return
        self.wait_seconds += now - attempt.began_at
        objective_at = self.request.began_at + self.profile.objective
        if (
            attempt.execution_started_at is not None
            and attempt.execution_started_at <= objective_at
        ):
            self.started_in_time = True
        if attempt.execution_started_at is not None or now >= self.deadline:
            return
        self.refusals += 1
        self._retry(attempt.retry_after)

    def _retry(self, retry_after: float | None) -> None:
        retries_immediately = self.behavior is CallerBehavior.RETRIES_IMMEDIATELY
        max_attempts = (
            IMMEDIATE_RETRY_ATTEMPTS
            if retries_immediately and self.profile.retries
            else 1 + self.profile.retries
        )
        if self.attempts >= max_attempts:
            return
        retry_after_seconds = (
            DEFAULT_RETRY_SECONDS if retries_immediately or retry_after is None else retry_after
        )
        remaining = self.deadline - self.time.now
        self.time.at(
            self.time.now + min(retry_after_seconds, MAX_OBEYED_SHARE * remaining), self._attempt
        )

    @property
    def in_time(self) -> bool:
        """Whether the response came within the objective, counted from the first attempt."""
        return (
            self.answered_at is not None
            and self.answered_at <= self.request.began_at + self.profile.objective
        )

    @property
    def credit(self) -> float:
        """Fraction of the request's worth that the response earns."""
        if self.answered_at is None:
            return 0.0
        return 1.0 if self.in_time else LATE_RESPONSE_SHARE

    @property
    def wait_penalty(self) -> float:
        """Fraction of the request's worth that waiting without result costs.

        Nothing if an execution started within the objective.
        """
        if self.answered_at is not None or self.started_in_time:
            return 0.0
        free_seconds = FREE_WAIT_SHARE * self.profile.objective
        full_penalty_seconds = FULL_PENALTY_WAIT_SHARE * self.profile.deadline
        return min(
            1.0,
            max(0.0, (self.wait_seconds - free_seconds) / (full_penalty_seconds - free_seconds)),
        )

    @property
    def refused_after_retry(self) -> bool:
        """Whether the caller retried after a refusal and was not answered either."""
        return (
            self.answered_at is None
            and not self.left_early
            and self.refusals > 0
            and self.attempts > 1
        )
