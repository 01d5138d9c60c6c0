"""Policy for a request that would have to wait at a gateway, by the time that its caller has left.

A caller with time for another whole attempt is better told at once to retry than made to wait
until its answer is late: a request that waits long makes all behind it late as well, and an
overload outlasts its cause. A caller with little time left cannot retry; it may wait
while it is expected to be served.

If callers of the route usually have more time, and some were refused lately, the caller is assumed
to be retrying. Its request gets lower precedence than first calls, or in a lasting overload
every caller would have to retry. How little time first calls have is learned while nobody
can be retrying: where their times vary by 16%, using the longest one as the usual time deferred
every second request, even under light load.
"""

from __future__ import annotations

import math
from collections.abc import Container
from enum import StrEnum

from pewtertack.routing.outcomes import DEFAULT_RETRY_AFTER
from pewtertack.routing.policies import Parameter, PolicyKind, RetryLaterPolicy, policy

RETRY_TIME_FACTOR = 4.0
"""A caller can retry when the time it has left is this multiple of its objective."""
MIN_RETRY_TIME_FACTOR = 2.0
"""Multiple of the objective under ``RetryLaterPolicy.TWO``, where as many callers as possible are
to retry: enough for a pause as long as the objective and an answer within it. Late answers of
callers that cannot retry take slots in which others of their rank could be in time, and less urgent
requests get few slots in an overload."""


@policy(
    PolicyKind.RETURNING,
    RetryLaterPolicy.FOUR,
    "A request with four times its latency objective left is refused with Retry-After; others "
    "wait and may be late.",
    Parameter("room", RETRY_TIME_FACTOR, "objectives", "assumed"),
)
def retry_time_factor_four() -> float:
    """Return the multiple of its objective that a caller must have left to be told to retry."""
    return RETRY_TIME_FACTOR


@policy(
    PolicyKind.RETURNING,
    RetryLaterPolicy.TWO,
    "A request with twice its latency objective left is refused with Retry-After; others wait "
    "and may be late.",
    Parameter(
        "room",
        MIN_RETRY_TIME_FACTOR,
        "objectives",
        "a response in time after a pause of one objective",
    ),
)
def retry_time_factor_two() -> float:
    """Return the lower multiple, with which more callers are told to retry."""
    return MIN_RETRY_TIME_FACTOR


RETRY_TIME_FACTORS = {
    RetryLaterPolicy.FOUR: retry_time_factor_four(),
    RetryLaterPolicy.TWO: retry_time_factor_two(),
}


class WaitPolicy(StrEnum):
    """What a gateway does with a request that would have to wait."""

    WAIT = "allowed"
    """It may wait for a slot even if it misses its objective."""
    TRY_ANOTHER_GATEWAY = "refused"
    """It is refused rather than answered after its objective: another gateway may do better."""
    RETRY = "prompt"
    """It is refused unless it can start early enough to be answered within its objective."""
    DEFERRED = "yielding"
    """As ``WAIT``, but its caller is retrying: it has lower precedence than all that may be in
    time."""
    RETRY_DEFERRED = "prompt-yielding"
    """As ``RETRY``, but its caller is retrying."""

    @property
    def prefers_retry(self) -> bool:
        """Whether the caller is told to retry rather than made to wait."""
        return self in (WaitPolicy.RETRY, WaitPolicy.RETRY_DEFERRED)

    @property
    def is_deferred(self) -> bool:
        """Whether first calls have precedence over the request."""
        return self in DEFERRED

    @property
    def deferred(self) -> WaitPolicy:
        """The deferred counterpart, for a request that is deferred for another reason."""
        return DEFERRED_COUNTERPARTS.get(self, self)


DEFERRED = (WaitPolicy.DEFERRED, WaitPolicy.RETRY_DEFERRED)
"""A tuple: a set would hash its members, by a function written in Python."""
DEFERRED_COUNTERPARTS = {
    WaitPolicy.WAIT: WaitPolicy.DEFERRED,
    WaitPolicy.RETRY: WaitPolicy.RETRY_DEFERRED,
}

DECAY_WEIGHT = 0.01
"""Weight of a caller with less time in the estimate of the longest time."""
RETRY_TIME_SHARE = 0.95
"""A caller with less than this share of the shortest time of first calls is retrying."""
SHORTENING_WEIGHT = 0.25
"""Weight of a caller with less time in the estimate of the shortest time, while nobody can be
retrying. With ``DECAY_WEIGHT`` the estimate stays at a fifth of the range of callers' times, if
they are uniformly distributed."""

RETRY_PAUSE_SHARE = 1 / 8
"""Share of its objective after which a caller retries that might be served at once: a wait of up to
an eighth of the objective costs users nothing."""
MIN_FIRST_CALLS = 10
"""Number of calls, while nobody can be retrying, after which the shortest time is known."""
ASSUMED_SHORTEST_SHARE = 0.85
"""Before that the shortest time is assumed to be at most this share of the longest."""


class _CallerTimes:
    """Estimates of the time that one route's callers have. Times in seconds."""

    __slots__ = ("failed_at", "first_calls", "longest", "shortest")

    def __init__(self, time_left: float) -> None:
        self.longest = time_left
        self.shortest = time_left
        """Shortest time of first calls."""
        self.first_calls = 0
        """Number of first calls seen."""
        self.failed_at = -math.inf
        """When a request last failed so that its caller may retry."""

    @property
    def usual_shortest(self) -> float:
        """The shortest time that the caller of a first call has."""
        least = 1.0 if self.first_calls >= MIN_FIRST_CALLS else ASSUMED_SHORTEST_SHARE
        return min(self.shortest, least * self.longest)


class CallerWaitPolicies:
    """Recent caller times of each route, as seen by one proxy."""

    __slots__ = ("_retry_time_factor", "_routes")

    def __init__(self, policy: RetryLaterPolicy = RetryLaterPolicy.FOUR) -> None:
        self._retry_time_factor = RETRY_TIME_FACTORS[policy]
        self._routes: dict[str, _CallerTimes] = {}

    def keep_only(self, routes: Container[str]) -> None:
        """Forget routes that are no longer in force."""
        self._routes = {name: item for name, item in self._routes.items() if name in routes}

    def note_failed(self, route: str, now: float) -> None:
        """Record that a request of the route failed, so that its caller may retry."""
        times = self._routes.get(route)
        if times is not None:
            times.failed_at = now

    def classify(self, route: str, objective: float, time_left: float, now: float) -> WaitPolicy:
        """Record a request's arrival; return what to do with it if it would have to wait."""
        times = self._note(route, time_left, now)
        is_retry = (
            can_retry(objective, times.longest, self._retry_time_factor)
            and time_left < RETRY_TIME_SHARE * times.usual_shortest
            and now <= times.failed_at + times.longest
        )
        if can_retry(objective, time_left, self._retry_time_factor):
            return WaitPolicy.RETRY_DEFERRED if is_retry else WaitPolicy.RETRY
        return WaitPolicy.DEFERRED if is_retry else WaitPolicy.WAIT

    def _note(self, route: str, time_left: float, now: float) -> _CallerTimes:
        """Update and return the estimates: the longest decays slowly, the shortest grows slowly."""
        times = self._routes.get(route)
        if times is None:
            times = self._routes[route] = _CallerTimes(time_left)
        times.longest = max(time_left, times.longest + DECAY_WEIGHT * (time_left - times.longest))
        if now > times.failed_at + times.longest:
            weight = DECAY_WEIGHT if time_left > times.shortest else SHORTENING_WEIGHT
            times.shortest += weight * (time_left - times.shortest)
            times.first_calls += 1
        times.shortest = min(times.shortest, times.longest)
        return times


def retry_after_shedding(objective: float, has_free_slots: bool) -> float:
    """Return the pause before the retry of a request that a back end shed without giving one.

    A back end with free slots sheds for another reason than lack of capacity: the next attempt may
    well be answered in time, unless its caller waits until after the objective.
    """
    return RETRY_PAUSE_SHARE * objective if has_free_slots else DEFAULT_RETRY_AFTER


def can_retry(objective: float, time_left: float, factor: float = RETRY_TIME_FACTOR) -> bool:
    """Tell whether a caller that is refused has time for another whole attempt.

    Args:
        objective: seconds within which an answer is wanted.
        time_left: seconds for which the caller will wait, over all its attempts.
        factor: required multiple of the objective.
    """
    return time_left >= factor * objective
