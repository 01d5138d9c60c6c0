"""Reports of a gateway on the queue of its machine's link, and their use by a sender.

Gateways that pace long answers report the length of the link queue in answers and refusals. Of
several back ends a sender then chooses one whose link is free: the slots do not show that,
since an answer releases its slot before it has been sent.
"""

from __future__ import annotations

import msgspec

from pewtertack.routing.queueing import smoothed

MILLISECONDS_PER_SECOND = 1000
MAX_REPORTED_MS = 10_000
"""Longer times are reported as this value, which is already far too long to wait for."""
SEPARATOR = "/"


class LinkReport(msgspec.Struct, frozen=True):
    """Expected times of a long answer at a link, in seconds."""

    queue_seconds: float
    """Until all that is queued has been sent."""
    transfer_seconds: float
    """Time for which an answer of the requested route alone occupies the link; 0 if it is short."""


def format_link_report(queue_seconds: float, transfer_seconds: float) -> str | None:
    """Return the text of a report; ``None`` if there is nothing to report."""
    milliseconds = [
        round(seconds * MILLISECONDS_PER_SECOND) for seconds in (queue_seconds, transfer_seconds)
    ]
    if not any(milliseconds):
        return None
    return SEPARATOR.join(str(min(item, MAX_REPORTED_MS)) for item in milliseconds)


def parse_link_report(text: str) -> LinkReport | None:
    """Parse the text of a report; return ``None`` if it is malformed."""
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
    """A sender's estimates for a route of long answers, in seconds."""

    __slots__ = ("transfer_seconds", "execution_seconds")

    def __init__(self) -> None:
        self.transfer_seconds = 0.0
        """Time for which an answer alone occupies a link, by the newest report."""
        self.execution_seconds = 0.0
        """Mean time until an answer begins, before it waits for the link."""

    def note(self, transfer_seconds: float, execution_seconds: float) -> None:
        """Record that an answer has begun."""
        self.transfer_seconds = transfer_seconds
        self.execution_seconds = smoothed(self.execution_seconds, execution_seconds)
