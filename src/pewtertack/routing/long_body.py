"""One long body in the line of a machine's link (``pewtertack.routing.link``)."""

from __future__ import annotations

import math
from collections.abc import Callable

Rank = tuple[int, int]
Turn = tuple[bool, Rank, bool, float, int]
"""A body's place in the line; the smallest goes first."""

RECEIVER_STOPS: Rank = (-1, 0)
"""Rank of answers for a node that stops, before all others: what leaves after its end is lost,
while all others are only later."""
ENDS_NOW: Rank = (-1, 1)
"""Place of an answer that has begun and has little time left, before all that is only urgent."""


class LongBody:
    """One long body on its way, or in line."""

    __slots__ = (
        "arrival",
        "begun",
        "given_back",
        "hurries",
        "latest",
        "left",
        "only_here",
        "rank",
        "returnable",
        "sent_at",
        "waits",
        "wake",
        "wanted",
    )

    def __init__(
        self, rank: Rank, size: int, wanted: float, arrival: int, wake: Callable[[], None]
    ) -> None:
        self.rank = rank
        self.left = size
        """Bytes that have not been sent, as far as announced."""
        self.wanted = wanted
        """When it should have left."""
        self.latest = math.inf
        """Until when it must have left: then nobody takes it any more."""
        self.arrival = arrival
        self.wake = wake
        self.waits = False
        """Whether its next part is there and may go; else its reader or its sender is slow."""
        self.begun = False
        """Whether a part was sent: it goes on, or the part was sent for nothing."""
        self.hurries = False
        """Whether it has begun and has, or had, little time left."""
        self.sent_at = math.inf
        """When the newest part was sent; never, at first."""
        self.returnable = 0
        """While more than 0, who waits for it has passed none of it on; that ends when so many
        bytes more have been sent."""
        self.only_here = False
        """Whether who waits for it could not have it elsewhere."""
        self.given_back = False
        """Whether it is to be had elsewhere, since this node, or its receiver, stops too early."""

    @property
    def receiver_stops(self) -> bool:
        """Whether it is for a node that stops at ``latest``."""
        return self.rank == RECEIVER_STOPS

    def due(self, end: float) -> float:
        """Return by when it should go first, sent alone until ``end``.

        What is late lets go first what can be in time. But where a link is asked for all that
        it carries, new ones that can be in time never end: half of the time that a late one
        still has is left to them, the other half is for what stands in line by then.
        """
        if end <= self.wanted:
            return self.wanted
        if end > self.latest:
            return math.inf
        return (self.wanted + self.latest) / 2
