"""Records selected events of a scale run instead of a complete history."""

from __future__ import annotations

from dataclasses import dataclass, field

from pewtertack.core.effects import Log
from pewtertack.events import Event
from pewtertack.lab.simulation.scheduler import Scheduler

ProcessKey = tuple[str, int]
"""Name and incarnation of a process."""


@dataclass(slots=True)
class Observer:
    """Records when revisions came into force, when processes began to serve, and the readers."""

    scheduler: Scheduler | None = None
    in_force_times: dict[int, dict[ProcessKey, float]] = field(default_factory=dict)
    """Virtual time at which each revision came into force at each process."""
    serving_times: dict[ProcessKey, float] = field(default_factory=dict)
    readers: set[str] = field(default_factory=set)
    """Names of the nodes that currently read the source."""

    def record_log(self, node: str, incarnation: int, log: Log) -> None:
        """Record an event that a process logged, at the current virtual time."""
        now = self.scheduler.now if self.scheduler is not None else 0.0
        match log.event:
            case Event.REVISION_IN_FORCE:
                times = self.in_force_times.setdefault(log.fields["revision"], {})
                times.setdefault((node, incarnation), now)
            case Event.NODE_SERVING:
                self.serving_times.setdefault((node, incarnation), now)
            case Event.READER_STARTED:
                self.readers.add(node)
            case Event.READER_STOPPED:
                self.readers.discard(node)

    def time_in_force(self, process: ProcessKey, revision: int) -> float | None:
        """Return when ``revision`` or a newer one came into force first, ``None`` if none did."""
        times = [
            times[process]
            for number, times in self.in_force_times.items()
            if number >= revision and process in times
        ]
        return min(times, default=None)
