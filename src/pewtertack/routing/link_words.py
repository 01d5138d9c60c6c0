"""What a gateway tells of the line of its machine's link, and what a sender makes of it.

Gateways that pace long answers say with answers and refusals that pass anyway how long their
line is. Of several back ends a sender then takes one whose link is free: slots say nothing of
that, since an answer gives its slot back before it has left.
"""

from __future__ import annotations

import msgspec

from pewtertack.routing.queueing import smoothed

MILLISECONDS = 1000
LONGEST_MS = 10_000
"""A longer line is told as this: either is far too long."""
SEPARATOR = "/"


class LinkWord(msgspec.Struct, frozen=True):
    """How long a long answer would wait at a link, and take it. Seconds."""

    ahead: float
    """Until all that stands in the line has left."""
    own: float
    """What an answer of the route that was asked for takes alone; 0 if it is short."""


def link_text(ahead: float, own: float) -> str | None:
    """Return what to tell of a link; ``None`` where there is nothing to be told."""
    word = [round(seconds * MILLISECONDS) for seconds in (ahead, own)]
    if not any(word):
        return None
    return SEPARATOR.join(str(min(item, LONGEST_MS)) for item in word)


def parse_link(text: str) -> LinkWord | None:
    """Read such a word; ``None`` for one that makes no sense."""
    ahead, _, own = text.partition(SEPARATOR)
    if len(text) > len(f"{LONGEST_MS}/{LONGEST_MS}"):
        return None
    if not (ahead.isascii() and ahead.isdecimal() and own.isascii() and own.isdecimal()):
        return None
    if max(int(ahead), int(own)) > LONGEST_MS:
        return None
    return LinkWord(int(ahead) / MILLISECONDS, int(own) / MILLISECONDS)


class LongRoute:
    """What a sender knows of a route of long answers. Seconds."""

    __slots__ = ("own", "run")

    def __init__(self) -> None:
        self.own = 0.0
        """What an answer takes a link alone, by the newest word."""
        self.run = 0.0
        """Mean time until an answer begins, which is before it waits for the link."""

    def note(self, own: float, run: float) -> None:
        """An answer has begun."""
        self.own = own
        self.run = smoothed(self.run, run)
