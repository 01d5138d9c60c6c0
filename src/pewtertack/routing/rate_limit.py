"""The limit on requests a second that a back end names in its answers.

A back end in need names how many requests a second it takes from all nodes together, for as long as
its answers say so. Every request to it passes through its own node, so that node alone keeps the
limit. Senders attach what they know of it to their requests, since a node that has just started
knows nothing. Answers may be read in another order than they were written: an answer raises or ends
the limit only if its request was sent after the limit was last named.
"""

from __future__ import annotations

import math
import re
from collections.abc import Sequence
from enum import StrEnum
from typing import ClassVar

import msgspec

from pewtertack.errors import RequestError

MIN_RATE = 0.2
"""Requests a second to a back end that takes fewer or none: only its answers end the limit."""
BURST_SECONDS = 0.5
"""A back end may be given at once what it takes in this time, but always one request."""
TOKEN_TOLERANCE = 1e-9
"""Rounding error of a token."""
MAX_RATE_LENGTH = 20
"""Characters in the text of a limit."""
MAX_REPORTED_RATE = 1e6
MAX_REPORTED_SECONDS = 3600.0
"""Larger values are reported as these."""
MAX_REPORT_LENGTH = 24
"""Characters in the text of a report."""
MILLISECONDS_PER_SECOND = 1000
SEPARATOR = "/"
_DECIMAL_NUMBER = re.compile(r"[0-9]+(\.[0-9]+)?", re.ASCII)


class InvalidRateError(RequestError):
    """A back end's answer names a limit that is no decimal number, or names several."""

    code: ClassVar[str] = "invalid-rate"


class RateChange(StrEnum):
    """How an answer has changed the limit."""

    NAMED = "named"
    """There was no limit before, or another one."""
    REPORTED = "reported"
    """Another node has told the limit to this one, which has read no answer yet."""
    ENDED = "ended"


def parse_rate(values: Sequence[str]) -> float | None:
    """Return the limit in requests a second that an answer names, ``None`` if it names none.

    Args:
        values: the values of the header, one for each time that the answer has it.

    Raises:
        InvalidRateError: the header is repeated, or its value is no decimal number.
    """
    if not values:
        return None
    if len(values) > 1:
        raise InvalidRateError(f"the answer names {len(values)} limits")
    text = values[0].strip()
    if len(text) > MAX_RATE_LENGTH or not _DECIMAL_NUMBER.fullmatch(text):
        shown = text[: MAX_RATE_LENGTH + 1]
        raise InvalidRateError(f"the limit {shown!r} is no decimal number")
    return float(text)


class RateReport(msgspec.Struct, frozen=True):
    """What one node tells another about the limit of a back end."""

    rate: float
    """Requests a second."""
    seconds: float
    """From a sender: how long ago the limit was last named to it. From a gateway: how long one more
    request would wait for the limit."""


def format_rate_report(report: RateReport) -> str:
    """Return the text of a report."""
    rate = min(report.rate, MAX_REPORTED_RATE)
    seconds = min(report.seconds, MAX_REPORTED_SECONDS)
    return f"{rate:.3f}{SEPARATOR}{seconds * MILLISECONDS_PER_SECOND:.0f}"


def parse_rate_report(text: str) -> RateReport | None:
    """Parse the text of a report; return ``None`` if it is malformed."""
    rate, _, milliseconds = text.partition(SEPARATOR)
    if len(text) > MAX_REPORT_LENGTH or not _DECIMAL_NUMBER.fullmatch(rate):
        return None
    if not (milliseconds.isascii() and milliseconds.isdecimal()):
        return None
    return RateReport(float(rate), int(milliseconds) / MILLISECONDS_PER_SECOND)


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

    def note_answer(self, sent_at: float, now: float, rate: float | None) -> RateChange | None:
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
            return RateChange.ENDED
        self._named_at = now
        if rate == former or (former is not None and rate > former and not is_current):
            return None
        self._use_rate(rate, now, now)
        return RateChange.NAMED

    def note_report(self, report: RateReport, now: float) -> RateChange | None:
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
        return RateChange.REPORTED

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


class KnownRate:
    """What a sender knows of the limit of one back end. Times are monotonic seconds."""

    __slots__ = ("_free_at", "is_share", "noted_at", "rate")

    def __init__(self, rate: float, now: float, wait: float = 0.0, is_share: bool = False) -> None:
        self.rate = rate
        """Requests a second: of all senders, or of this one if ``is_share``."""
        self.is_share = is_share
        """Whether this sender keeps a share of the limit, since no gateway keeps the whole."""
        self.noted_at = now
        """When the sender last heard of the limit."""
        self._free_at = now + wait

    def note_rate(self, rate: float, now: float) -> None:
        """Record that the back end still names a limit."""
        self.rate = rate
        self.noted_at = now

    def note_start(self, now: float) -> None:
        """Record that this sender sends a request there."""
        self._free_at = max(self._free_at, now) + seconds_per_start(self.rate)

    def may_send(self, now: float) -> bool:
        """Tell whether this sender may send one more request, as far as it has to decide that."""
        return not self.is_share or self.wait(now) <= 0

    def wait(self, now: float) -> float:
        """Return the seconds that one more request would wait for the limit."""
        return max(0.0, self._free_at - now)
