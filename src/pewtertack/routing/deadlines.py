"""Deadlines, which travel with a request as the remaining time in milliseconds."""

from __future__ import annotations

from pewtertack.routing.outcomes import InvalidRequestError

DEADLINE_HEADER = "x-deadline-ms"
MAXIMUM_DIGITS = 12
"""Header values with more digits are refused."""


def deadline_of(now: float, header: str | None, route_timeout: float) -> float:
    """Return the deadline on the clock of ``now``; the route's timeout is its upper bound.

    Raises:
        InvalidRequestError: the header is not a whole number of milliseconds above zero.
    """
    if header is None:
        return now + route_timeout
    return now + min(_milliseconds(header) / 1000, route_timeout)


def caller_deadline_of(now: float, header: str | None, deadline: float) -> float:
    """Return when the caller gives up, over all its attempts and whatever the route's timeout.

    ``header`` has been validated by ``deadline_of``; without one it is ``deadline``.
    """
    return deadline if header is None else now + int(header) / 1000


def _milliseconds(header: str) -> int:
    text = header.strip()
    if not (text.isascii() and text.isdigit() and len(text) <= MAXIMUM_DIGITS) or int(text) == 0:
        raise InvalidRequestError(f"{DEADLINE_HEADER} must be milliseconds above zero")
    return int(text)


def format_deadline(now: float, deadline: float) -> str:
    """Return the header value for the remaining time, rounded down, at least 1."""
    return str(max(1, int((deadline - now) * 1000)))
