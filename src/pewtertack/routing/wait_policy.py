"""How long a request may wait at a gateway, by what its caller can still do.

A caller with time for a whole further attempt is better told at once to come back than made
to wait until its answer is late: what waits long makes all behind it late as well, and an
overload outlasts its cause. A caller with little time left cannot come back; it may wait
while it is expected to be served.
Where callers of the route usually have more time, and some were refused lately, it has been
refused before: it goes behind those that have not, or in a lasting overload everyone would have
to come back. How little time callers have that come for the first time is learned while nobody
can have come back: where their time is drawn from a range of 16 in 100, taking the longest of
it for usual made every second request go last, on a quiet day as well.
"""

from __future__ import annotations

import math
from collections.abc import Container
from enum import StrEnum

from pewtertack.routing.outcomes import DEFAULT_RETRY_AFTER
from pewtertack.routing.policies import Parameter, PolicyKind, RetryLaterPolicy, policy

RETRY_TIME_FACTOR = 4.0
"""A caller may come back when the time it has left is so many times its objective."""
MIN_RETRY_TIME_FACTOR = 2.0
"""The same where as many are told to come back as can: an answer within the objective, after a
pause as long. Late answers of those that cannot take slots in which others of their rank could be
in time, and what is less urgent has few of these in an overload."""


@policy(
    PolicyKind.RETURNING,
    RetryLaterPolicy.FOUR,
    "who has four times its objective left is told to come back; others wait and may be late",
    Parameter("room", RETRY_TIME_FACTOR, "objectives", "assumed"),
)
def retry_time_factor_four() -> float:
    """Return how many times its objective a caller must have left to come back."""
    return RETRY_TIME_FACTOR


@policy(
    PolicyKind.RETURNING,
    RetryLaterPolicy.TWO,
    "who has twice its objective left is told to come back; others wait and may be late",
    Parameter(
        "room", MIN_RETRY_TIME_FACTOR, "objectives", "an answer in time after a pause as long"
    ),
)
def retry_time_factor_two() -> float:
    """Return the same."""
    return MIN_RETRY_TIME_FACTOR


RETRY_TIME_FACTORS = {
    RetryLaterPolicy.FOUR: retry_time_factor_four(),
    RetryLaterPolicy.TWO: retry_time_factor_two(),
}


class WaitPolicy(StrEnum):
    """What a gateway does with a request that would have to wait."""

    WAIT = "allowed"
    """It may wait for a slot that lets it miss its objective."""
    TRY_ANOTHER_GATEWAY = "refused"
    """It is rather refused than answered after its objective: another gateway may do better."""
    RETRY = "prompt"
    """It is refused unless its turn comes soon enough to be answered within its objective."""
    DEFERRED = "yielding"
    """As ``ALLOWED``, but its caller came back: it lets go first all that may be in time."""
    RETRY_DEFERRED = "prompt-yielding"
    """As ``PROMPT``, but its caller came back."""

    @property
    def prefers_retry(self) -> bool:
        """Whether the caller is rather told to come back than made to wait."""
        return self in (WaitPolicy.RETRY, WaitPolicy.RETRY_DEFERRED)

    @property
    def is_deferred(self) -> bool:
        """Whether requests whose callers did not come back go first."""
        return self in DEFERRED

    @property
    def deferred(self) -> WaitPolicy:
        """The same for a request that lets others go first for another reason."""
        return DEFERRED_COUNTERPARTS.get(self, self)


DEFERRED = (WaitPolicy.DEFERRED, WaitPolicy.RETRY_DEFERRED)
"""A tuple: the members of a set would be hashed, by a function of Python's own."""
DEFERRED_COUNTERPARTS = {
    WaitPolicy.WAIT: WaitPolicy.DEFERRED,
    WaitPolicy.RETRY: WaitPolicy.RETRY_DEFERRED,
}

DECAY_WEIGHT = 0.01
"""Each caller with less time brings the longest time down by this share of the difference."""
RETRY_TIME_SHARE = 0.95
"""A caller with less than this share of the least time that others had has been here before."""
SHORTENING_WEIGHT = 0.25
"""Each caller with less time, while nobody can have come back, brings the least time down by this
share of the difference. With ``DECAY_WEIGHT`` it stays at a fifth of the range from which callers'
times are drawn, if they are drawn evenly."""

RETRY_PAUSE_SHARE = 1 / 8
"""Share of its objective after which a caller comes back that might be served at once: the
users' price list takes waiting so long for nothing."""
MIN_FIRST_CALLS = 10
"""So many callers must have come while nobody can have come back to know their times."""
ASSUMED_SHORTEST_SHARE = 0.85
"""Before that the least time is taken to be at most this share of the longest. Assumed."""


class _CallerTimes:
    """What is known of one route's callers. Times in seconds."""

    __slots__ = ("failed_at", "first_calls", "longest", "shortest")

    def __init__(self, time_left: float) -> None:
        self.longest = time_left
        self.shortest = time_left
        """Of those that came for the first time."""
        self.first_calls = 0
        """How many of those were seen."""
        self.failed_at = -math.inf
        """When a request last ended so that its caller may come back."""

    @property
    def usual_shortest(self) -> float:
        """The least time that a caller has who comes for the first time."""
        least = 1.0 if self.first_calls >= MIN_FIRST_CALLS else ASSUMED_SHORTEST_SHARE
        return min(self.shortest, least * self.longest)


class CallerWaitPolicies:
    """For how long callers of each route wait, as one proxy has seen lately."""

    __slots__ = ("_retry_time_factor", "_routes")

    def __init__(self, returning: RetryLaterPolicy = RetryLaterPolicy.FOUR) -> None:
        self._retry_time_factor = RETRY_TIME_FACTORS[returning]
        self._routes: dict[str, _CallerTimes] = {}

    def keep_only(self, routes: Container[str]) -> None:
        """Forget routes that are in force no longer."""
        self._routes = {name: item for name, item in self._routes.items() if name in routes}

    def note_failed(self, route: str, now: float) -> None:
        """A request of the route ended without a good answer: its caller may come back."""
        times = self._routes.get(route)
        if times is not None:
            times.failed_at = now

    def classify(self, route: str, objective: float, time_left: float, now: float) -> WaitPolicy:
        """Note a request's arrival; return what to do with it when it would have to wait."""
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
        """Return what is known: the longest time comes down slowly, the shortest goes up so."""
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
    """Return when a caller is to come back whose request a back end shed without saying when.

    One that has free slots sheds for another reason than want of room: the next attempt may well
    end in time, if its caller is not told to come after the objective.
    """
    return RETRY_PAUSE_SHARE * objective if has_free_slots else DEFAULT_RETRY_AFTER


def can_retry(objective: float, time_left: float, factor: float = RETRY_TIME_FACTOR) -> bool:
    """Tell whether a caller that is refused has time for another whole attempt.

    Args:
        objective: seconds within which an answer is wanted.
        time_left: seconds for which the caller will wait, over all its attempts.
        room: how many times its objective that must be.
    """
    return time_left >= factor * objective
