"""Turns of long bodies on a machine's link, so that nothing short waits behind them.

What a machine sends waits in one line for its link. Each long body that is written at once
puts a window of the connection into that line; where a dozen are written together, each
answer of a few hundred bytes, and the machine's part in each new connection, waits for all
of them: with downloads of 90 kB on links of 10 Mbit/s answers of 400 bytes took 59 ms in the
middle and 358 ms in a tenth of all cases from one node to another, and new connections over
250 ms, where 2 ms are usual. So long bodies leave in parts, one after the other, at the
link's pace: by rank, then in the order in which they came.
"""

from __future__ import annotations

import bisect
from collections.abc import Callable

from pewtertack.routing.policies import LongBodies, Parameter, PolicyKind, policy
from pewtertack.routing.queueing import smoothed

LONG_BYTES = 16 * 1024
"""A longer body takes turns; 13 ms of a link of 10 Mbit/s."""
PART_BYTES = 16 * 1024
"""A long body leaves in parts of this length."""
LINK_SHARE = 0.9
"""Share of the link's rate that long bodies and what is noted beside them may fill: the rest
is for heads, acknowledgements and messages between nodes, which nobody counts."""
AHEAD_BYTES = PART_BYTES
"""So much may still be in the link's line when the next part follows, or the link stands idle
while a process with half a core gets its turn."""
BITS = 8
MEGA = 1_000_000

Rank = tuple[int, int]


class LongBody:
    """One long body on its way, or in line."""

    __slots__ = ("left", "order", "wake")

    def __init__(self, order: tuple[Rank, int], size: int, wake: Callable[[], None]) -> None:
        self.order = order
        self.left = size
        """Bytes that have not been sent, as far as announced."""
        self.wake = wake


@policy(
    PolicyKind.LONG_BODIES,
    LongBodies.IN_TURNS,
    "long bodies leave one after the other at the link's pace; short ones wait for none",
    Parameter("long_bytes", LONG_BYTES, "B", "13 ms of a link of 10 Mbit/s"),
    Parameter("link_share", LINK_SHARE, "", "the rest is for what nobody counts"),
)
class LinkShare:
    """Who may send a part of a long body, and when. Times are monotonic seconds.

    Args:
        megabits: the link's rate in Mbit/s.
    """

    __slots__ = ("_arrivals", "_free_at", "_line", "_sizes", "bytes_per_second")

    def __init__(self, megabits: float) -> None:
        self.bytes_per_second = megabits * MEGA / BITS * LINK_SHARE
        self._free_at = 0.0
        """When the link will have carried all that was sent."""
        self._line: list[LongBody] = []
        self._arrivals = 0
        self._sizes: dict[str, float] = {}
        """Mean length of the long answers of each route; 0 bytes for routes without."""

    def note_sent(self, size: int, now: float) -> None:
        """Something was sent without waiting."""
        self._free_at = max(self._free_at, now) + size / self.bytes_per_second

    def enter(self, rank: Rank, size: int, wake: Callable[[], None]) -> LongBody:
        """Put a long body into the line; ``wake`` is called when its turn may have come."""
        self._arrivals += 1
        body = LongBody((rank, self._arrivals), size, wake)
        bisect.insort(self._line, body, key=lambda item: item.order)
        return body

    def leave(self, body: LongBody) -> None:
        """The body has been sent, or will not be."""
        self._line.remove(body)
        if self._line:
            self._line[0].wake()

    def wait_of(self, body: LongBody, now: float) -> float | None:
        """Return in how many seconds it may send a part; ``None`` while others go first."""
        if self._line[0] is not body:
            return None
        return max(0.0, self._free_at - AHEAD_BYTES / self.bytes_per_second - now)

    def note_part(self, body: LongBody, size: int, now: float) -> None:
        """A part of the body was sent."""
        body.left = max(0, body.left - size)
        self.note_sent(size, now)

    def note_answer(self, route: str, size: int) -> None:
        """Learn how long the answers of a route are."""
        self._sizes[route] = smoothed(self._sizes.get(route, 0.0), float(size))

    def answer_time(self, route: str, rank: Rank, now: float) -> float:
        """Return in how many seconds an answer of the route would have left; 0 if it is short."""
        size = self._sizes.get(route, 0.0)
        if size <= LONG_BYTES:
            return 0.0
        ahead = sum(item.left for item in self._line if item.order[0] <= rank)
        return max(0.0, self._free_at - now) + (ahead + size) / self.bytes_per_second
