"""Adaptive limit of one proxy's concurrent requests to one back end.

Additive increase, multiplicative decrease (AIMD), as in TCP's congestion
control: many proxies share a back end's slots without speaking to each other.
The signals are the back end's own: it sheds, or reports more in flight than it
has slots. Latency is no signal here, since a back end's answers mix look-ups of
milliseconds with uploads of minutes.
"""

from __future__ import annotations

INITIAL_LIMIT = 2.0
MINIMUM_LIMIT = 1.0
DECREASE = 0.7
MINIMUM_PAUSE = 0.02
MAXIMUM_PAUSE = 1.0


class AdaptiveLimit:
    """Concurrency limit with a pause for back ends that shed even single requests."""

    def __init__(self, ceiling: int) -> None:
        self.ceiling = float(max(1, ceiling))
        self.value = min(INITIAL_LIMIT, self.ceiling)
        self.paused_until = 0.0
        self._pause = MINIMUM_PAUSE
        self._decreased_at = float("-inf")

    def set_ceiling(self, ceiling: int) -> None:
        """Take over another upper bound."""
        self.ceiling = float(max(1, ceiling))
        self.value = min(self.value, self.ceiling)

    def allows(self, now: float, in_flight: int) -> bool:
        """Tell whether one more request may start."""
        return in_flight < int(self.value) and now >= self.paused_until

    def note_room(self, in_flight: int) -> None:
        """The back end answered and has free slots: grow if the limit was in use."""
        self._pause = MINIMUM_PAUSE
        if in_flight + 1 >= int(self.value):
            self.value = min(self.ceiling, self.value + 1 / self.value)

    def note_full(self) -> None:
        """The back end answered, and all its slots are taken: neither grow nor shrink."""
        self._pause = MINIMUM_PAUSE

    def note_overload(self, now: float, started_at: float) -> None:
        """The back end reports more work than slots: shrink, once per round trip."""
        if started_at < self._decreased_at:
            return
        self._decreased_at = now
        self.value = max(MINIMUM_LIMIT, self.value * DECREASE)

    def note_shed(self, now: float, started_at: float, jitter: float) -> None:
        """The back end refused a request: shrink; at the least limit also pause.

        ``jitter`` in [0, 1) spreads the return of many proxies.
        """
        at_minimum = self.value < MINIMUM_LIMIT + 1
        self.note_overload(now, started_at)
        if at_minimum:
            self.paused_until = now + self._pause * (0.5 + jitter)
            self._pause = min(MAXIMUM_PAUSE, self._pause * 2)
