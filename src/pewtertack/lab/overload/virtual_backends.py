"""Virtual time and simulated back ends with slots, a short queue and shedding."""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count

from pewtertack.lab.overload.workload import SimulatedRequest
from pewtertack.routing.backend import LoadReport

NETWORK_DELAY = 0.0005
"""Seconds one way between a node and a back end."""


class VirtualTime:
    """Runs callbacks in the order of their times."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()

    def at(self, time: float, callback: Callable[[], None]) -> None:
        """Run ``callback`` at ``time``, after all that was scheduled for the same time."""
        heapq.heappush(self._events, (max(time, self.now), next(self._numbers), callback))

    def run(self) -> None:
        """Run until nothing is scheduled."""
        while self._events:
            self.now, _, callback = heapq.heappop(self._events)
            callback()


@dataclass(slots=True, eq=False)
class Job:
    """One attempt at a back end. ``reply(shed, report)`` runs at the node."""

    request: SimulatedRequest
    reply: Callable[[bool, LoadReport], None]
    cancelled: bool = False
    started: float | None = None
    done: bool = False


class SimulatedBackend:
    """Slots, a short queue, shedding beyond; cancelled work frees its slot."""

    def __init__(self, time: VirtualTime, name: str, zone: str, slots: int, queue: int) -> None:
        self.name = name
        self.zone = zone
        self.useful_work = 0.0
        self.counted_until = float("inf")
        self._time = time
        self._slots = slots
        self._queue_limit = queue
        self._running = 0
        self._queue: deque[Job] = deque()

    def submit(self, job: Job) -> None:
        """Send a job from a node; it arrives after the network's delay."""
        self._time.at(self._time.now + NETWORK_DELAY, lambda: self._arrive(job))

    def cancel(self, job: Job) -> None:
        """Close the exchange from the node."""
        self._time.at(self._time.now + NETWORK_DELAY, lambda: self._cancel(job))

    def _arrive(self, job: Job) -> None:
        if job.cancelled:
            return
        if self._running < self._slots:
            self._start(job)
        elif len(self._queue) < self._queue_limit:
            self._queue.append(job)
        else:
            self._answer(job, shed=True)

    def _start(self, job: Job) -> None:
        self._running += 1
        job.started = self._time.now
        self._time.at(self._time.now + job.request.work, lambda: self._finish(job))

    def _finish(self, job: Job) -> None:
        if job.done or job.cancelled:
            return
        self._answer(job, shed=False)
        if self._time.now <= min(job.request.deadline, self.counted_until):
            self.useful_work += job.request.work
        self._free_slot()

    def _cancel(self, job: Job) -> None:
        job.cancelled = True
        if job.started is None:
            if job in self._queue:
                self._queue.remove(job)
        elif not job.done:
            job.done = True
            self._free_slot()

    def _free_slot(self) -> None:
        self._running -= 1
        if self._queue:
            self._start(self._queue.popleft())

    def _answer(self, job: Job, shed: bool) -> None:
        job.done = True
        report = LoadReport(self._running, self._slots)
        self._time.at(self._time.now + NETWORK_DELAY, lambda: job.reply(shed, report))
