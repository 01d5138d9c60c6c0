"""What a gateway tells of the line of its machine's link, and what a sender makes of it.

Gateways that pace long answers say with answers and refusals that pass anyway how long their
line is. Of several back ends a sender then takes one whose link is free: slots say nothing of
that, since an answer gives its slot back before it has left.
"""

from __future__ import annotations

import msgspec

from pewtertack.routing.queueing import smoothed

MILLISECONDS_PER_SECOND = 1000
MAX_REPORTED_MS = 10_000
"""A longer line is told as this: either is far too long."""
SEPARATOR = "/"


class LinkReport(msgspec.Struct, frozen=True):
    """How long a long answer would wait at a link, and take it. Seconds."""

    queue_seconds: float
    """Until all that stands in the line has left."""
    transfer_seconds: float
    """What an answer of the route that was asked for takes alone; 0 if it is short."""


def format_link_report(ahead: float, own: float) -> str | None:
    """Return what to tell of a link; ``None`` where there is nothing to be told."""
    word = [round(seconds * MILLISECONDS_PER_SECOND) for seconds in (ahead, own)]
    if not any(word):
        return None
    return SEPARATOR.join(str(min(item, MAX_REPORTED_MS)) for item in word)


def parse_link_report(text: str) -> LinkReport | None:
    """Read such a word; ``None`` for one that makes no sense."""
    ahead, _, own = text.partition(SEPARATOR)
    if len(text) > len(f"{MAX_REPORTED_MS}/{MAX_REPORTED_MS}"):
        return None
    if not (ahead.isascii() and ahead.isdecimal() and own.isascii() and own.isdecimal()):
        return None
    if max(int(ahead), int(own)) > MAX_REPORTED_MS:
        return None
    return LinkReport(int(ahead) / MILLISECONDS_PER_SECOND, int(own) / MILLISECONDS_PER_SECOND)


class LongRouteTimes:
    """What a sender knows of a route of long answers. Seconds."""

    __slots__ = ("transfer_seconds", "execution_seconds")

    def __init__(self) -> None:
        self.transfer_seconds = 0.0
        """What an answer takes a link alone, by the newest word."""
        self.execution_seconds = 0.0
        """Mean time until an answer begins, which is before it waits for the link."""

    def note(self, own: float, run: float) -> None:
        """An answer has begun."""
        self.transfer_seconds = own
        self.execution_seconds = smoothed(self.execution_seconds, run)
