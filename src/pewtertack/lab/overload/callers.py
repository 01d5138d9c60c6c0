"""Callers that come back after a refusal, and what their requests earn.

A request is worth its credit from the caller's first attempt on: answered within its
objective it earns all, later a small part. Waiting that ends unserved costs more the longer
it lasts, and so does coming back in vain.
"""

from __future__ import annotations

from enum import StrEnum
from random import Random

from pewtertack.core.configuration.resolved import WorkClass
from pewtertack.lab.overload.gateways import GatewayNode
from pewtertack.lab.overload.virtual_backends import VirtualTime
from pewtertack.lab.overload.workload import ClassProfile, SimulatedRequest

SHOPPERS = (
    ClassProfile(WorkClass.INTERACTIVE, 0.6, 0.12, 2.5, "status", 0.4, 1.0, 2),
    ClassProfile(WorkClass.INTERACTIVE, 0.2, 0.16, 3.0, "reserve", 0.5, 2.0, 2),
    ClassProfile(WorkClass.URGENT, 0.2, 0.03, 0.4, "check", 0.12, 0.3, 0),
)
"""Two kinds of request of callers that may come back, and calls of back ends that do not."""
LATE_SHARE = 0.1
"""Part of its credit that a late answer earns (site file of the users' third deployment)."""
HELD_FREE_SHARE = 1 / 8
"""Waiting in vain for this share of the objective costs nothing (users' price list)."""
HELD_FULL_SHARE = 3 / 4
"""Waiting in vain for this share of the caller's time costs the whole credit (the same)."""
AGAIN_PRICE = 0.3
"""Part of its credit that a request costs which came back in vain (the same)."""
OBEYED_SHARE = 1 / 3
"""Callers obey Retry-After up to this share of the time that they have left (the same)."""
UNTOLD_PAUSE = 0.05
"""Seconds after which a caller comes back that was told no time. Assumed: nothing is known."""
HASTY_ATTEMPTS = 6
"""Attempts of a caller that repeats at once."""
HASTY_SHARE = 0.1
"""Part of the callers that repeats at once. Assumed."""
LEAVING_SHARE = 0.1
"""Part of the callers that leaves before its deadline. Assumed."""


class Manner(StrEnum):
    """How a caller behaves."""

    OBEYS = "obeys"
    HASTY = "hasty"
    LEAVES = "leaves"


def manner_of(profile: ClassProfile, random: Random) -> Manner:
    """Draw a caller's manner; calls of back ends always obey."""
    drawn = random.random()
    if not profile.retries or drawn >= HASTY_SHARE + LEAVING_SHARE:
        return Manner.OBEYS
    return Manner.HASTY if drawn < HASTY_SHARE else Manner.LEAVES


class Caller:
    """One caller with one request, over all its attempts. Times are in seconds."""

    __slots__ = (
        "answered_at",
        "attempts",
        "current",
        "deadline",
        "held",
        "left",
        "manner",
        "nodes",
        "offered_in_time",
        "profile",
        "random",
        "refusals",
        "request",
        "time",
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
        self.manner = manner_of(request.profile, random)
        self.deadline = request.deadline
        self.attempts = 0
        self.refusals = 0
        self.held = 0.0
        """Seconds for which attempts were held that did not end with an answer."""
        self.offered_in_time = False
        self.answered_at: float | None = None
        self.left = False
        self.current: tuple[GatewayNode, SimulatedRequest] | None = None

    def begin(self) -> None:
        """Make the first attempt."""
        self._attempt()
        if self.manner is Manner.LEAVES:
            self.time.at(
                self.request.began + self.random.random() * self.request.profile.deadline,
                self._leave,
            )

    def _attempt(self) -> None:
        if self.left or self.time.now >= self.deadline:
            return
        self.attempts += 1
        node = self.nodes[self.random.randrange(len(self.nodes))]
        attempt = SimulatedRequest(self.profile, 0, self.time.now, self.request.work, self.deadline)
        attempt.at_end = lambda: self._ended(attempt)
        self.current = node, attempt
        node.begin(attempt)
        self.time.at(self.deadline, lambda: self._time_out(node, attempt))

    def _time_out(self, node: GatewayNode, attempt: SimulatedRequest) -> None:
        if attempt.ended is None:
            node.cancel(attempt)

    def _leave(self) -> None:
        if self.answered_at is not None or self.current is None:
            return
        self.left = True
        self._time_out(*self.current)

    def _ended(self, attempt: SimulatedRequest) -> None:
        now = self.time.now
        if attempt.answered:
            self.answered_at = now
            return
        self.held += now - attempt.began
        wanted = self.request.began + self.profile.objective
        if attempt.offered_at is not None and attempt.offered_at <= wanted:
            self.offered_in_time = True
        if attempt.offered_at is not None or now >= self.deadline:
            return
        self.refusals += 1
        self._come_back(attempt.retry_after)

    def _come_back(self, retry_after: float | None) -> None:
        hasty = self.manner is Manner.HASTY
        most = HASTY_ATTEMPTS if hasty and self.profile.retries else 1 + self.profile.retries
        if self.attempts >= most:
            return
        told = UNTOLD_PAUSE if hasty or retry_after is None else retry_after
        left = self.deadline - self.time.now
        self.time.at(self.time.now + min(told, OBEYED_SHARE * left), self._attempt)

    @property
    def in_time(self) -> bool:
        """Whether it was answered within its objective from the first attempt."""
        return (
            self.answered_at is not None
            and self.answered_at <= self.request.began + self.profile.objective
        )

    @property
    def credit(self) -> float:
        """Share of its worth that its answer earns."""
        if self.answered_at is None:
            return 0.0
        return 1.0 if self.in_time else LATE_SHARE

    @property
    def held_price(self) -> float:
        """Share of its worth that waiting in vain costs."""
        if self.answered_at is not None or self.offered_in_time:
            return 0.0
        free = HELD_FREE_SHARE * self.profile.objective
        full = HELD_FULL_SHARE * self.profile.deadline
        return min(1.0, max(0.0, (self.held - free) / (full - free)))

    @property
    def refused_again(self) -> bool:
        """Whether it came back after a refusal, in vain."""
        return (
            self.answered_at is None and not self.left and self.refusals > 0 and self.attempts > 1
        )
