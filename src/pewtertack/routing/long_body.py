"""One long body in the line of a machine's link (``pewtertack.routing.link``)."""

from __future__ import annotations

import math
from collections.abc import Callable

Rank = tuple[int, int]
SchedulingKey = tuple[bool, Rank, bool, float, int]
"""A body's place in the line; the smallest goes first."""

RECEIVER_STOPPING: Rank = (-1, 0)
"""Rank of answers for a node that stops, before all others: what leaves after its end is lost,
while all others are only later."""
FINISHING_SOON: Rank = (-1, 1)
"""Place of an answer that has begun and has little time left, before all that is only urgent."""


class LongBody:
    """One long body on its way, or in line."""

    __slots__ = (
        "sequence",
        "started",
        "handed_back",
        "is_urgent",
        "expires_at",
        "remaining_bytes",
        "only_source",
        "rank",
        "uncommitted_bytes",
        "last_sent_at",
        "is_ready",
        "wake",
        "target_time",
    )

    def __init__(
        self, rank: Rank, size: int, wanted: float, arrival: int, wake: Callable[[], None]
    ) -> None:
        self.rank = rank
        self.remaining_bytes = size
        """Bytes that have not been sent, as far as announced."""
        self.target_time = wanted
        """When it should have left."""
        self.expires_at = math.inf
        """Until when it must have left: then nobody takes it any more."""
        self.sequence = arrival
        self.wake = wake
        self.is_ready = False
        """Whether its next part is there and may go; else its reader or its sender is slow."""
        self.started = False
        """Whether a part was sent: it goes on, or the part was sent for nothing."""
        self.is_urgent = False
        """Whether it has begun and has, or had, little time left."""
        self.last_sent_at = math.inf
        """When the newest part was sent; never, at first."""
        self.uncommitted_bytes = 0
        """While more than 0, who waits for it has passed none of it on; that ends when so many
        bytes more have been sent."""
        self.only_source = False
        """Whether who waits for it could not have it elsewhere."""
        self.handed_back = False
        """Whether it is to be had elsewhere, since this node, or its receiver, stops too early."""

    @property
    def receiver_stopping(self) -> bool:
        """Whether it is for a node that stops at ``latest``."""
        return self.rank == RECEIVER_STOPPING

    def due_time(self, end: float) -> float:
        """Return by when it should go first, sent alone until ``end``.

        What is late lets go first what can be in time. But where a link is asked for all that
        it carries, new ones that can be in time never end: half of the time that a late one
        still has is left to them, the other half is for what stands in line by then.
        """
        if end <= self.target_time:
            return self.target_time
        if end > self.expires_at:
            return math.inf
        return (self.target_time + self.expires_at) / 2
