"""The limit on requests a second that a back end names in its answers.

A back end in need names how many requests a second it takes from all nodes together, for as long as
its answers say so. Every request to it passes through its own node, so that node alone keeps the
limit. Senders attach what they know of it to their requests, since a node that has just started
knows nothing. Answers may be read in another order than they were written: an answer raises or ends
the limit only if its request was sent after the limit was last named.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pewtertack.routing.rate_reports import RateReport

MIN_RATE = 0.2
"""Requests a second to a back end that takes fewer or none: only its answers end the limit."""
BURST_SECONDS = 0.5
"""A back end may be given at once what it takes in this time, but always one request."""
TOKEN_TOLERANCE = 1e-9
"""Rounding error of a token."""


NAMED = "named"
"""A change of the limit: there was none before, or another one."""
REPORTED = "reported"
"""A change of the limit: another node has told it to this one, which has read no answer yet."""
ENDED = "ended"
"""A change of the limit: the back end names none any more."""


def seconds_per_start(rate: float) -> float:
    """Return the mean time between two requests to a back end that names this limit."""
    return 1 / max(rate, MIN_RATE)


class RateLimit:
    """Keeps the limit of one incarnation of a back end. Times are monotonic seconds.

    A token bucket: a request takes a token, and ``rate`` tokens a second come in, of which those of
    ``BURST_SECONDS`` are kept. A node that was suspended does not catch up on what it missed.
    """

    __slots__ = ("_named_at", "_refilled_at", "_tokens", "has_answer", "rate")

    def __init__(self) -> None:
        self.rate: float | None = None
        """Requests a second, ``None`` while the back end names no limit."""
        self.has_answer = False
        """Whether this node has read an answer of the back end."""
        self._named_at = -math.inf
        """When an answer that names the limit was last read, here or at another node."""
        self._tokens = 0.0
        self._refilled_at = -math.inf

    @property
    def interval(self) -> float:
        """Mean seconds between two requests; 0 without a limit."""
        return 0.0 if self.rate is None else seconds_per_start(self.rate)

    def note_answer(self, sent_at: float, now: float, rate: float | None) -> str | None:
        """Take over what an answer says; return the change, if any.

        Args:
            sent_at: when the answered request was sent.
            now: when the answer was read.
            rate: the limit that the answer names, ``None`` if it names none.
        """
        self.has_answer = True
        former = self.rate
        is_current = sent_at >= self._named_at
        if rate is None:
            if former is None or not is_current:
                return None
            self.rate = None
            return ENDED
        self._named_at = now
        if rate == former or (former is not None and rate > former and not is_current):
            return None
        self._use_rate(rate, now, now)
        return NAMED

    def note_report(self, report: RateReport, now: float) -> str | None:
        """Take over what another node knows, unless this one knows better; return the change.

        Without this a node that has just started would give the back end too much until its first
        answer.
        """
        named_at = now - report.seconds
        if self.has_answer or named_at <= self._named_at:
            return None
        self._named_at = named_at
        if report.rate == self.rate:
            return None
        self._use_rate(report.rate, named_at, now)
        return REPORTED

    def may_start(self, now: float) -> bool:
        """Tell whether the back end may be given one more request."""
        return self.seconds_until_start(now) <= 0

    def seconds_until_start(self, now: float) -> float:
        """Return the seconds until the back end may be given one more request."""
        if self.rate is None:
            return 0.0
        self._refill(now)
        return max(0.0, (1 - TOKEN_TOLERANCE - self._tokens) * self.interval)

    def note_start(self, now: float) -> None:
        """Record that a request starts."""
        if self.rate is not None:
            self._refill(now)
            self._tokens -= 1

    def _use_rate(self, rate: float, since: float, now: float) -> None:
        """Use another limit; without one before, tokens have come in since ``since``."""
        if self.rate is None:
            self._tokens, self._refilled_at = 0.0, since
        else:
            self._refill(now)
        self.rate = rate
        self._refill(now)

    def _refill(self, now: float) -> None:
        incoming = max(0.0, now - self._refilled_at) / self.interval
        capacity = max(1.0, BURST_SECONDS / self.interval)
        self._tokens = min(self._tokens + incoming, capacity)
        self._refilled_at = now
