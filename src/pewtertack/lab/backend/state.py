"""The capacity, the faults and the reported state of one back end; no input or output."""

from __future__ import annotations

from collections import deque
from enum import StrEnum

import msgspec


class HealthReport(StrEnum):
    """What the health endpoint says."""

    HONEST = "honest"
    ALWAYS_WELL = "always-well"
    ALWAYS_FAILED = "always-failed"


class BackendFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How the back end misbehaves; the defaults are good behaviour. Times in seconds."""

    leaving: bool = False
    """Says so in its answers and on the health endpoint, and finishes what it has."""
    shedding_share: float = 0.0
    """Share of requests, 0 to 1, that are shed although slots are free."""
    slowdown: float = 1.0
    """Factor on all work times."""
    late: float = 0.0
    """Added before each answer, whatever its deadline."""
    crossed: bool = False
    """Two answers at a time are exchanged between their requests."""
    die_mid_answer_share: float = 0.0
    """Share of answers, 0 to 1, that break off in the middle."""
    reported_load: str | None = None
    """Overrides ``x-backend-load``, for example ``0/6``."""
    health: HealthReport = HealthReport.HONEST
    health_lag: float = 0.0
    """The health endpoint tells what was true this long ago."""


class Capacity(msgspec.Struct, frozen=True):
    """What a back end can take. Times in seconds."""

    slots: int = 6
    connections: int = 130
    queue: int = 2
    """Requests beyond the slots that wait instead of being shed."""
    work_time: float = 0.005
    """Default of the work one request takes."""
    cold_period: float = 0.0
    """How long after its start the back end is slow."""
    cold_slowdown: float = 4.0
    """Factor on work times while it is cold."""


class BackendState:
    """Counts the requests of one back end.

    Args:
        capacity: its limits.
        started: when it started, in seconds of the caller's clock.
    """

    def __init__(self, capacity: Capacity, started: float) -> None:
        self.capacity = capacity
        self.faults = BackendFaults()
        self.in_flight = 0
        self.admitted = 0
        self._started = started
        self._leaving_since: deque[tuple[float, bool]] = deque([(started, False)])

    def set_faults(self, faults: BackendFaults, now: float) -> None:
        """Behave like this from now on."""
        self.faults = faults
        self._leaving_since.append((now, faults.leaving))

    def admits(self, shedding_draw: float) -> bool:
        """Tell whether one more request may come in; ``shedding_draw`` is in 0 to 1."""
        if shedding_draw < self.faults.shedding_share:
            return False
        return self.admitted < self.capacity.slots + self.capacity.queue

    def work_time(self, asked: float | None, now: float) -> float:
        """Return how long the work on a request takes, in seconds."""
        seconds = self.capacity.work_time if asked is None else asked
        is_cold = now - self._started < self.capacity.cold_period
        return seconds * self.faults.slowdown * (self.capacity.cold_slowdown if is_cold else 1.0)

    def reported_load(self) -> str:
        """Return the value of ``x-backend-load``."""
        return self.faults.reported_load or f"{self.in_flight}/{self.capacity.slots}"

    def is_reported_well(self, now: float) -> bool:
        """Return what the health endpoint says at ``now``."""
        if self.faults.health is not HealthReport.HONEST:
            return self.faults.health is HealthReport.ALWAYS_WELL
        seen = now - self.faults.health_lag
        known = [leaving for since, leaving in self._leaving_since if since <= seen]
        return not (known[-1] if known else False)
