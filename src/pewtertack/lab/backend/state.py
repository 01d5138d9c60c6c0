"""Capacity, faults and reported state of one simulated back end, without I/O."""

from __future__ import annotations

from collections import deque
from enum import StrEnum

import msgspec

RATE_LIMIT_HEADER = "x-backend-rate-limit"
LEAVING_HEADER = "x-backend-leaving"


class HealthReport(StrEnum):
    """What the health endpoint reports."""

    HONEST = "honest"
    ALWAYS_WELL = "always-well"
    ALWAYS_FAILED = "always-failed"


class BackendFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults of the back end, none by default. Times are in seconds."""

    leaving: bool = False
    """Reports in responses and on the health endpoint that it leaves; still runs all requests."""
    shedding_share: float = 0.0
    """Fraction of requests, 0 to 1, that are shed although slots are free."""
    slowdown: float = 1.0
    """Factor by which all work times are multiplied."""
    repeated_refusals: bool = False
    """Refusals are sent again where the connection's next answer is due."""
    identified_refusals: bool = False
    """Refusals have the request's id."""
    late: float = 0.0
    """Delay before each response, regardless of the deadline."""
    crossed: bool = False
    """Swaps the responses of each pair of concurrent requests."""
    die_mid_answer_share: float = 0.0
    """Fraction of responses, 0 to 1, that are aborted midway."""
    reported_load: str | None = None
    """Overrides the value of ``x-backend-load``, for example ``0/6``."""
    health: HealthReport = HealthReport.HONEST
    health_lag: float = 0.0
    """The health endpoint reports the state of this long ago."""


class BackendReports(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What the back end says of itself in all its answers, besides its load; nothing by default."""

    rate_limit: str = ""
    """Value of ``RATE_LIMIT_HEADER``: requests a second; no header if empty."""
    leaving: bool = False
    """Whether the answers have ``LEAVING_HEADER``; the back end still runs all requests."""

    def headers(self) -> dict[str, str]:
        """Return the headers."""
        headers = {RATE_LIMIT_HEADER: self.rate_limit} if self.rate_limit else {}
        if self.leaving:
            headers[LEAVING_HEADER] = "1"
        return headers


class Capacity(msgspec.Struct, frozen=True):
    """Limits and work times of a back end. Times are in seconds."""

    slots: int = 6
    connections: int = 130
    queue: int = 2
    """Number of requests beyond the slots that are queued instead of shed."""
    work_time: float = 0.005
    """Work time of a request that specifies none."""
    cold_period: float = 0.0
    """Time after the start during which the back end is cold, that is, slow."""
    cold_slowdown: float = 4.0
    """Factor by which work times are multiplied while it is cold."""


class BackendState:
    """Tracks the requests and the faults of one back end.

    Args:
        capacity: its limits.
        started: when it started, in monotonic seconds.
    """

    def __init__(self, capacity: Capacity, started: float) -> None:
        self.capacity = capacity
        self.faults = BackendFaults()
        self.reports = BackendReports()
        self.in_flight = 0
        self.admitted = 0
        self._started = started
        self._leaving_changes: deque[tuple[float, bool]] = deque([(started, False)])

    def set_faults(self, faults: BackendFaults, now: float) -> None:
        """Replace the faults."""
        self.faults = faults
        self._leaving_changes.append((now, faults.leaving))

    def admits(self, shedding_draw: float) -> bool:
        """Tell whether another request is admitted; ``shedding_draw`` is random, 0 to 1."""
        if shedding_draw < self.faults.shedding_share:
            return False
        return self.admitted < self.capacity.slots + self.capacity.queue

    def work_time(self, requested: float | None, now: float) -> float:
        """Return the work time of a request in seconds, given the one it specifies, if any."""
        seconds = self.capacity.work_time if requested is None else requested
        is_cold = now - self._started < self.capacity.cold_period
        return seconds * self.faults.slowdown * (self.capacity.cold_slowdown if is_cold else 1.0)

    def reported_load(self) -> str:
        """Return the value of ``x-backend-load``."""
        return self.faults.reported_load or f"{self.in_flight}/{self.capacity.slots}"

    def is_reported_healthy(self, now: float) -> bool:
        """Tell whether the health endpoint reports the back end as healthy at ``now``."""
        if self.faults.health is not HealthReport.HONEST:
            return self.faults.health is HealthReport.ALWAYS_WELL
        reported_at = now - self.faults.health_lag
        states = [leaving for since, leaving in self._leaving_changes if since <= reported_at]
        return not (states[-1] if states else False)
