"""Notes the moments of a scale run that matter, in place of a whole history."""

from __future__ import annotations

from dataclasses import dataclass, field

from pewtertack.core.effects import Log
from pewtertack.events import Event
from pewtertack.lab.simulation.scheduler import Scheduler

Process = tuple[str, int]
"""Name and incarnation."""


@dataclass(slots=True)
class Observer:
    """Records when revisions came into force, when processes served, and who reads."""

    scheduler: Scheduler | None = None
    in_force: dict[int, dict[Process, float]] = field(default_factory=dict)
    served: dict[Process, float] = field(default_factory=dict)
    readers: set[str] = field(default_factory=set)

    def record_log(self, node: str, incarnation: int, log: Log) -> None:
        """Take a numbered event of a process."""
        now = self.scheduler.now if self.scheduler is not None else 0.0
        match log.event:
            case Event.REVISION_IN_FORCE:
                times = self.in_force.setdefault(log.fields["revision"], {})
                times.setdefault((node, incarnation), now)
            case Event.NODE_SERVING:
                self.served.setdefault((node, incarnation), now)
            case Event.READER_STARTED:
                self.readers.add(node)
            case Event.READER_STOPPED:
                self.readers.discard(node)

    def reached(self, process: Process, revision: int) -> float | None:
        """Return when the process first had ``revision`` or a newer one in force."""
        times = [
            times[process]
            for number, times in self.in_force.items()
            if number >= revision and process in times
        ]
        return min(times, default=None)
