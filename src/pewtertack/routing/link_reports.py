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


def format_link_report(queue_seconds: float, transfer_seconds: float) -> str | None:
    """Return what to tell of a link; ``None`` where there is nothing to be told."""
    milliseconds = [
        round(seconds * MILLISECONDS_PER_SECOND) for seconds in (queue_seconds, transfer_seconds)
    ]
    if not any(milliseconds):
        return None
    return SEPARATOR.join(str(min(item, MAX_REPORTED_MS)) for item in milliseconds)


def parse_link_report(text: str) -> LinkReport | None:
    """Read such a word; ``None`` for one that makes no sense."""
    queue_text, _, transfer_text = text.partition(SEPARATOR)
    if len(text) > len(f"{MAX_REPORTED_MS}/{MAX_REPORTED_MS}"):
        return None
    if not (
        queue_text.isascii()
        and queue_text.isdecimal()
        and transfer_text.isascii()
        and transfer_text.isdecimal()
    ):
        return None
    if max(int(queue_text), int(transfer_text)) > MAX_REPORTED_MS:
        return None
    return LinkReport(
        int(queue_text) / MILLISECONDS_PER_SECOND, int(transfer_text) / MILLISECONDS_PER_SECOND
    )


class LongRouteTimes:
    """What a sender knows of a route of long answers. Seconds."""

    __slots__ = ("transfer_seconds", "execution_seconds")

    def __init__(self) -> None:
        self.transfer_seconds = 0.0
        """What an answer takes a link alone, by the newest word."""
        self.execution_seconds = 0.0
        """Mean time until an answer begins, which is before it waits for the link."""

    def note(self, transfer_seconds: float, execution_seconds: float) -> None:
        """An answer has begun."""
        self.transfer_seconds = transfer_seconds
        self.execution_seconds = smoothed(self.execution_seconds, execution_seconds)
