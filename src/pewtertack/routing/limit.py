"""Adaptive limits of one proxy's concurrent requests, to a back end and to a service.

Additive increase, multiplicative decrease (AIMD), as in TCP's congestion
control: many proxies share a back end's slots without communicating with each other.
The signals are the back end's own: it sheds, or reports more in flight than it
has slots. Latency is not used as a signal, since a back end's answers mix lookups of
milliseconds with uploads of minutes.
"""

from __future__ import annotations

INITIAL_LIMIT = 2.0
MINIMUM_LIMIT = 1.0
"""First and smallest limit per back end, in concurrent requests."""
DECREASE_FACTOR = 0.7
"""Factor on the limit per back end after a shed request or an overload."""
MINIMUM_PAUSE_SECONDS = 0.02
MAXIMUM_PAUSE_SECONDS = 1.0
"""Bounds of the pause for a back end that sheds even single requests; the pause doubles."""

INITIAL_SERVICE_LIMIT = 4.0
MINIMUM_SERVICE_LIMIT = 0.1
"""First and smallest limit per service, in concurrent requests; below 1 it is a rate."""
INITIAL_SERVICE_GROWTH = 1.0
"""Growth per answer with free slots until the first shed request."""
SERVICE_GROWTH = 0.2
"""Growth per answer with free slots after the first shed request."""
FULL_SERVICE_GROWTH = 0.02
"""Growth per answer with all slots taken, while nothing is shed."""
FULL_SERVICE_DECREASE = 0.02
"""Decrease per answer with all slots taken, while requests are shed too."""
SHED_SERVICE_DECREASE = 0.15
"""Share by which the limit is reduced after a shed request."""
LARGE_SERVICE_LIMIT = 6.0
"""Value from which on that reduction no longer grows with the limit."""
SHED_MEMORY_SECONDS = 1.0
"""Seconds for which a shed request makes reports of full back ends credible."""
URGENT_HEADROOM = 0.25
"""Share of the limit, at least one request, by which urgent requests may exceed it."""


class AdaptiveLimit:
    """Concurrency limit with a pause for back ends that shed even single requests."""

    def __init__(self, ceiling: int) -> None:
        self.ceiling = float(max(1, ceiling))
        self.value = min(INITIAL_LIMIT, self.ceiling)
        self.paused_until = 0.0
        self._pause = MINIMUM_PAUSE_SECONDS
        self._decreased_at = float("-inf")

    def set_ceiling(self, ceiling: int) -> None:
        """Change the upper bound."""
        self.ceiling = float(max(1, ceiling))
        self.value = min(self.value, self.ceiling)

    def allows(self, now: float, in_flight: int) -> bool:
        """Tell whether one more request may start."""
        return in_flight < int(self.value) and now >= self.paused_until

    def note_free_slots(self, in_flight: int) -> None:
        """Record an answer with free slots: grow if the limit was in use."""
        self._pause = MINIMUM_PAUSE_SECONDS
        if in_flight + 1 >= int(self.value):
            self.value = min(self.ceiling, self.value + 1 / self.value)

    def note_full(self) -> None:
        """Record an answer with all slots taken: neither grow nor shrink."""
        self._pause = MINIMUM_PAUSE_SECONDS

    def note_overload(self, now: float, started_at: float) -> None:
        """Record a report of more requests than slots: shrink, once per round trip."""
        if started_at < self._decreased_at:
            return
        self._decreased_at = now
        self.value = max(MINIMUM_LIMIT, self.value * DECREASE_FACTOR)

    def note_shed(self, now: float, started_at: float, jitter: float) -> None:
        """Record a shed request: shrink; at the lowest limit also pause.

        ``jitter`` in [0, 1) spreads the times at which many proxies resume.
        """
        at_minimum = self.value < MINIMUM_LIMIT + 1
        self.note_overload(now, started_at)
        if at_minimum:
            self.paused_until = now + self._pause * (0.5 + jitter)
            self._pause = min(MAXIMUM_PAUSE_SECONDS, self._pause * 2)


class ServiceLimit:
    """Limit of one proxy's concurrent requests to a whole service.

    The proxies may outnumber the slots: below 1 the limit becomes a rate, with
    a pause after every request. Urgent requests may exceed it by
    ``URGENT_HEADROOM``, so that they need not wait for longer work to end.
    """

    def __init__(self) -> None:
        self.value = INITIAL_SERVICE_LIMIT
        self._shed_at = float("-inf")
        self._decreased_at = float("-inf")
        self._paused_until = float("-inf")

    def allows(self, now: float, in_flight: int, urgent: bool) -> bool:
        """Tell whether one more request may start."""
        if urgent:
            return in_flight < self.value + max(1.0, self.value * URGENT_HEADROOM)
        if self.value < 1:
            return in_flight == 0 and now >= self._paused_until
        return in_flight < int(self.value)

    def paused_until(self) -> float:
        """Return when the pause of a limit below 1 ends."""
        return self._paused_until

    def note_finished(self, now: float, seconds: float) -> None:
        """Record the end of a request that took ``seconds``: a limit below 1 pauses."""
        if self.value < 1:
            self._paused_until = now + seconds * (1 / self.value - 1)

    def note_free_slots(self, in_flight: int) -> None:
        """Record an answer with free slots: grow if the limit was in use."""
        started = self._shed_at > float("-inf")
        self._grow(in_flight, SERVICE_GROWTH if started else INITIAL_SERVICE_GROWTH)

    def note_full(self, now: float, in_flight: int) -> None:
        """Record an answer with all slots taken: leave capacity for urgent requests.

        Reports may mislead: they shrink the limit only while back ends shed too.
        """
        if now - self._shed_at > SHED_MEMORY_SECONDS:
            self._grow(in_flight, FULL_SERVICE_GROWTH)
        else:
            self._shrink_to(self.value - FULL_SERVICE_DECREASE * self._step_size())

    def _shrink_to(self, value: float) -> None:
        self.value = max(MINIMUM_SERVICE_LIMIT, value)

    def _grow(self, in_flight: int, rate: float) -> None:
        if in_flight + 2 > self.value:
            self.value += rate * self._step_size()

    def _step_size(self) -> float:
        """Return the factor that equalizes the change per unit of time for all limits."""
        return 1 / self.value if self.value > 1 else self.value

    def note_shed(self, now: float, started_at: float) -> None:
        """Record a shed request: shrink, once per round trip."""
        self._shed_at = now
        if started_at >= self._decreased_at:
            self._decreased_at = now
            self._shrink_to(
                self.value - SHED_SERVICE_DECREASE * min(self.value, LARGE_SERVICE_LIMIT)
            )
