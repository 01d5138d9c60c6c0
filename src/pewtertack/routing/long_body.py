"""One long body in the queue of a machine's link (``pewtertack.routing.link``)."""

from __future__ import annotations

import math
from collections.abc import Callable

Rank = tuple[int, int]
SchedulingKey = tuple[bool, Rank, bool, float, int]
"""A body's position in the queue; the smallest key goes first."""

RECEIVER_STOPPING: Rank = (-1, 0)
"""Rank of answers for a stopping node. They precede all others, which are only delayed, while an
answer that is sent after the receiver has stopped is lost."""
FINISHING_SOON: Rank = (-1, 1)
"""Rank of a started answer that has little time left, before answers that are only urgent."""


class LongBody:
    """One long body that is queued or being sent."""

    __slots__ = (
        "sequence",
        "started",
        "handed_back",
        "is_urgent",
        "expires_at",
        "remaining_bytes",
        "no_alternative",
        "rank",
        "uncommitted_bytes",
        "last_sent_at",
        "is_ready",
        "wake",
        "target_time",
    )

    def __init__(
        self, rank: Rank, size: int, target_time: float, sequence: int, wake: Callable[[], None]
    ) -> None:
        self.rank = rank
        self.remaining_bytes = size
        """Bytes that have not been sent, as far as announced."""
        self.target_time = target_time
        """When it should have been sent."""
        self.expires_at = math.inf
        """When it must have been sent: after that its receiver no longer accepts it."""
        self.sequence = sequence
        self.wake = wake
        self.is_ready = False
        """Whether its next part may be sent; otherwise its reader or its sender is slow."""
        self.started = False
        """Whether a part was sent, which is wasted unless the rest follows."""
        self.is_urgent = False
        """Whether it has started and has, or had, little time left."""
        self.last_sent_at = math.inf
        """When the newest part was sent; infinite before the first."""
        self.uncommitted_bytes = 0
        """Bytes to send until its receiver has passed some of it on. While this is above 0, the
        body can be handed back and requested elsewhere."""
        self.no_alternative = False
        """Whether its receiver could not get it from another source."""
        self.handed_back = False
        """Whether it should be requested elsewhere, since this node or its receiver stops too
        early."""

    @property
    def receiver_stopping(self) -> bool:
        """Whether its receiver's node stops at ``expires_at``."""
        return self.rank == RECEIVER_STOPPING

    def due_time(self, end: float) -> float:
        """Return the time by which to schedule it if it can be sent alone by ``end``.

        A late body has lower precedence than bodies that can be in time. But on a saturated link
        new ones that can be in time keep arriving, so they precede it only in the first half of the
        time that it still has; in the second half it precedes those that are due later.
        """
        if end <= self.target_time:
            return self.target_time
        if end > self.expires_at:
            return math.inf
        return (self.target_time + self.expires_at) / 2
