"""Rate limit for requests to a cold back end.

A back end that has just started, or has become cold for another reason, bears a published
number of requests a second and fails well above it. Every request to it passes through its own
node, so that node alone enforces the limit for the whole fleet, whoever sends; other nodes learn
from its load reports that it has little capacity and send their requests elsewhere.

The state is that of one back end. It is assumed to be cold until it has reported otherwise: a
node that starts, or has been suspended, does not know.
"""

from __future__ import annotations

import math
from collections import deque

import msgspec

WINDOW_SECONDS = 1.0
"""Length of the window in which starts are counted; the limit holds for every such window."""
QUERY_RETRY_SECONDS = 0.25
"""Seconds between two queries while the state is unknown."""
WARM_CHECK_SECONDS = 0.5
"""Seconds between two queries of a warm back end that gets more than a cold one bears. A back end
of 7 slots with requests of 0.25 s is given at most 14 requests between two queries."""
WARM_CHECK_MIN_SHARE = 0.5
"""A back end that gets less than this share of what a cold one bears is not queried at all."""


class ColdBounds(msgspec.Struct, frozen=True):
    """Load that one back end bears while it is cold."""

    rate: float
    """Requests a second, as its service publishes them."""
    duration: float
    """Seconds for which a back end stays cold after its start."""
    overage: float = 1.0
    """Multiple of the rate that operators allow."""
    slack: float = 0.0
    """Requests in one second that operators allow beyond that."""

    def max_starts_per_second(self, slots: int) -> int:
        """Return the number of requests that may start within any second.

        Up to ``slots`` requests that were granted earlier may reach the back end later, so that
        number is subtracted from what operators allow.
        """
        return max(1, int(self.rate * self.overage + self.slack - slots))


class ColdStart:
    """Whether one back end is cold, and what it may be given. Times are monotonic seconds.

    Args:
        slots: number of requests that the back end serves concurrently.
        now: the current time.
        bounds: the service's settings, ``None`` while they are unknown.
        blocked_until: until then a cold back end is given nothing, since an earlier process of this
            node may have started as many requests as it bears.
    """

    __slots__ = (
        "_queried_at",
        "_assumed_at",
        "_blocked_until",
        "_is_known",
        "_start_times",
        "bounds",
        "cold_until",
        "slots",
    )

    def __init__(
        self,
        slots: int,
        now: float,
        bounds: ColdBounds | None = None,
        blocked_until: float = -math.inf,
    ) -> None:
        self.slots = slots
        self._blocked_until = blocked_until
        self.bounds = bounds
        """``None`` while the service's settings are unknown."""
        self.cold_until = math.inf
        self._is_known = False
        self._assumed_at = now
        self._queried_at = -math.inf
        self._start_times: deque[float] = deque()
        self.assume_cold(now)

    @property
    def max_starts_per_second(self) -> int:
        """Requests that may start within a second while it is cold.

        Before the service's settings are known: one for each slot, which any back end bears.
        """
        return (
            self.bounds.max_starts_per_second(self.slots) if self.bounds is not None else self.slots
        )

    @property
    def is_limited(self) -> bool:
        """Whether its service limits cold back ends, as far as is known."""
        return self.bounds is None or self.bounds.rate > 0

    def set_bounds(self, bounds: ColdBounds, now: float) -> None:
        """Take over the service's settings."""
        if bounds == self.bounds:
            return
        self.bounds = bounds
        if not self._is_known:
            self.assume_cold(now)

    def assume_cold(self, now: float) -> None:
        """Assume that it is cold until it is queried: it may have become so unnoticed."""
        self._is_known = False
        self._assumed_at = now
        self._queried_at = -math.inf
        self.cold_until = now + self.bounds.duration if self.bounds is not None else math.inf

    def note_remaining(self, asked_at: float, now: float, remaining: float) -> None:
        """Record its report of the seconds for which it stays cold.

        An answer to a query from before ``assume_cold`` may be outdated and is ignored.
        """
        if asked_at < self._assumed_at:
            return
        self._is_known = True
        self.cold_until = now + max(0.0, remaining)

    def is_cold(self, now: float) -> bool:
        """Tell whether the limit applies now."""
        return self.is_limited and now < self.cold_until

    def note_start(self, now: float) -> None:
        """Record that a request starts."""
        if self.is_limited:
            self._start_times.append(now)
            self._drop_expired(now)

    def may_start(self, now: float) -> bool:
        """Tell whether it may be given one more request."""
        if not self.is_cold(now):
            return True
        return now >= self._blocked_until and self._remaining_starts(now) > 0

    def should_query(self, now: float) -> bool:
        """Tell whether to query now how long it stays cold; if so, the query counts as sent."""
        if self.bounds is None or not self.is_limited:
            return False
        since = now - self._queried_at
        if self.is_cold(now):
            due = not self._is_known and since >= QUERY_RETRY_SECONDS
        else:
            due = self._is_busy(now) and since >= WARM_CHECK_SECONDS
        if due:
            self._queried_at = now
        return due

    def _is_busy(self, now: float) -> bool:
        """Tell whether it gets so many requests that it matters whether it is cold."""
        self._drop_expired(now)
        return len(self._start_times) >= WARM_CHECK_MIN_SHARE * self.max_starts_per_second

    def _remaining_starts(self, now: float) -> int:
        self._drop_expired(now)
        return self.max_starts_per_second - len(self._start_times)

    def _drop_expired(self, now: float) -> None:
        while self._start_times and self._start_times[0] <= now - WINDOW_SECONDS:
            self._start_times.popleft()
