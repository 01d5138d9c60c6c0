"""Limits of requests a second as back ends name them, and as nodes report them to each other.

Imported when a back end names a limit, to save memory in nodes where none does.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import ClassVar

from pewtertack.errors import RequestError
from pewtertack.routing.rate_limit import seconds_per_start

MAX_RATE_LENGTH = 20
"""Characters in the text of a limit."""
MAX_REPORTED_RATE = 1e6
MAX_REPORTED_SECONDS = 3600.0
"""Larger values are reported as these."""
MAX_REPORT_LENGTH = 24
"""Characters in the text of a report."""
MILLISECONDS_PER_SECOND = 1000
SEPARATOR = "/"


class InvalidRateError(RequestError):
    """A back end's answer names a limit that is no decimal number, or names several."""

    code: ClassVar[str] = "invalid-rate"


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
    if len(text) > MAX_RATE_LENGTH or not _is_decimal_number(text):
        shown = text[: MAX_RATE_LENGTH + 1]
        raise InvalidRateError(f"the limit {shown!r} is no decimal number")
    return float(text)


def _is_decimal_number(text: str) -> bool:
    """Tell whether the text has digits only, with a point and further digits if at all."""
    whole, point, decimals = text.partition(".")
    digits = whole + decimals
    return text.isascii() and digits.isdecimal() and bool(whole) and bool(decimals) == bool(point)


class RateReport:
    """What one node tells another about the limit of a back end."""

    __slots__ = ("rate", "seconds")

    def __init__(self, rate: float, seconds: float) -> None:
        self.rate = rate
        """Requests a second."""
        self.seconds = seconds
        """From a sender: how long ago the limit was last named to it. From a gateway: how long one
        more request would wait for the limit."""


def format_rate_report(report: RateReport) -> str:
    """Return the text of a report."""
    rate = min(report.rate, MAX_REPORTED_RATE)
    seconds = min(report.seconds, MAX_REPORTED_SECONDS)
    return f"{rate:.3f}{SEPARATOR}{seconds * MILLISECONDS_PER_SECOND:.0f}"


def parse_rate_report(text: str) -> RateReport | None:
    """Parse the text of a report; return ``None`` if it is malformed."""
    rate, _, milliseconds = text.partition(SEPARATOR)
    if len(text) > MAX_REPORT_LENGTH or not _is_decimal_number(rate):
        return None
    if not (milliseconds.isascii() and milliseconds.isdecimal()):
        return None
    return RateReport(float(rate), int(milliseconds) / MILLISECONDS_PER_SECOND)


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

    def format_report(self, now: float) -> str:
        """Return the text of what this sender tells a gateway."""
        return format_rate_report(RateReport(self.rate, now - self.noted_at))

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
