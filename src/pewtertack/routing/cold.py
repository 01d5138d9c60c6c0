"""How many requests a cold back end is given.

A back end that has just started, or has turned cold for another reason, bears a published
number of requests a second and falls over well above it. Every request to it passes the node
beside it, so that node alone keeps the bound for the whole fleet, whoever sends; others learn
from its load reports that little fits and place their requests elsewhere.

The state is that of one back end, and cold is what it is taken to be as long as nobody has
said otherwise: a node that starts, or has been suspended, knows nothing of it.
"""

from __future__ import annotations

import math
from collections import deque

import msgspec

WINDOW_SECONDS = 1.0
"""Seconds over which a rate is counted; any span of that length counts."""
QUERY_RETRY_SECONDS = 0.25
"""Seconds between two questions while nothing is known."""
WARM_CHECK_SECONDS = 0.5
"""A warm back end that gets more than a cold one bears is asked so often whether it is still
warm. One of 7 slots that take 0.25 s each is given at most 14 requests meanwhile."""
WARM_CHECK_MIN_SHARE = 0.5
"""A back end that gets less than this share of what a cold one bears is not asked at all."""


class ColdBounds(msgspec.Struct, frozen=True):
    """What one back end bears while it is cold."""

    rate: float
    """Requests a second, as its service publishes them."""
    duration: float
    """Seconds for which a start stays cold."""
    overage: float = 1.0
    """Multiple of the rate that operators allow."""
    slack: float = 0.0
    """Requests in one second that operators allow beyond that."""

    def max_starts_per_second(self, slots: int) -> int:
        """Return how many requests may start within any second.

        What is granted a slot may reach the back end later, as many as have slots: so many fewer
        are granted than operators allow.
        """
        return max(1, int(self.rate * self.overage + self.slack - slots))


class ColdStart:
    """Whether one back end is cold, and what it may be given now. Times: monotonic seconds."""

    __slots__ = (
        "_queried_at",
        "_assumed_at",
        "_is_known",
        "_start_times",
        "bounds",
        "cold_until",
        "slots",
    )

    def __init__(self, slots: int, now: float, bounds: ColdBounds | None = None) -> None:
        self.slots = slots
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
        """Whether its service says anything of cold back ends, as far as is known."""
        return self.bounds is None or self.bounds.rate > 0

    def set_bounds(self, bounds: ColdBounds, now: float) -> None:
        """Take over the service's settings."""
        if bounds == self.bounds:
            return
        self.bounds = bounds
        if not self._is_known:
            self.assume_cold(now)

    def assume_cold(self, now: float) -> None:
        """Take it for cold until it is asked: it may have turned so, unseen by this node."""
        self._is_known = False
        self._assumed_at = now
        self._queried_at = -math.inf
        self.cold_until = now + self.bounds.duration if self.bounds is not None else math.inf

    def note_remaining(self, asked_at: float, now: float, remaining: float) -> None:
        """It has said for how many more seconds it is cold.

        An answer to a question of before ``forget`` may be as old, and says nothing.
        """
        if asked_at < self._assumed_at:
            return
        self._is_known = True
        self.cold_until = now + max(0.0, remaining)

    def is_cold(self, now: float) -> bool:
        """Tell whether the bound holds now."""
        return self.is_limited and now < self.cold_until

    def note_start(self, now: float) -> None:
        """A request is given to it."""
        if self.is_limited:
            self._start_times.append(now)
            self._drop_expired(now)

    def may_start(self, now: float) -> bool:
        """Tell whether it may be given one more request."""
        return not self.is_cold(now) or self._remaining_starts(now) > 0

    def should_query(self, now: float) -> bool:
        """Tell whether to ask it now how long it stays cold; if so, the question is asked."""
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
        """Tell whether it gets so much that it matters whether it is cold."""
        self._drop_expired(now)
        return len(self._start_times) >= WARM_CHECK_MIN_SHARE * self.max_starts_per_second

    def _remaining_starts(self, now: float) -> int:
        self._drop_expired(now)
        return self.max_starts_per_second - len(self._start_times)

    def _drop_expired(self, now: float) -> None:
        while self._start_times and self._start_times[0] <= now - WINDOW_SECONDS:
            self._start_times.popleft()
