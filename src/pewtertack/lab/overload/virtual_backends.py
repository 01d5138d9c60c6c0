"""Virtual time, and simulated back ends with slots, a short queue and load shedding."""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count

from pewtertack.lab.overload.workload import SimulatedRequest
from pewtertack.routing.backend import LoadReport

NETWORK_DELAY_SECONDS = 0.0005
"""One-way latency between a node and a back end, in seconds."""


class VirtualTime:
    """Runs callbacks in the order of their times."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = count()

    def at(self, time: float, callback: Callable[[], None]) -> None:
        """Run ``callback`` at ``time``, after those already scheduled for the same time."""
        heapq.heappush(self._events, (max(time, self.now), next(self._sequence), callback))

    def run(self) -> None:
        """Run callbacks until none is scheduled."""
        while self._events:
            self.now, _, callback = heapq.heappop(self._events)
            callback()


@dataclass(slots=True, eq=False)
class Job:
    """One attempt of a request at a back end. ``reply(shed, report)`` is called at the node."""

    request: SimulatedRequest
    reply: Callable[[bool, LoadReport], None]
    cancelled: bool = False
    started_at: float | None = None
    done: bool = False


class SimulatedBackend:
    """A back end that queues a few jobs beyond its slots and sheds the rest.

    A cancelled job frees its slot. ``useful_work`` sums the seconds of work on requests that
    ended by their deadline and by ``counted_until``.
    """

    def __init__(self, time: VirtualTime, name: str, zone: str, slots: int, queue: int) -> None:
        self.name = name
        self.zone = zone
        self.useful_work = 0.0
        self.counted_until = float("inf")
        self._time = time
        self._slots = slots
        self._queue_limit = queue
        self._running_jobs = 0
        self._waiting_jobs: deque[Job] = deque()

    def submit(self, job: Job) -> None:
        """Send a job from a node; it arrives after the network delay."""
        self._time.at(self._time.now + NETWORK_DELAY_SECONDS, lambda: self._arrive(job))

    def cancel(self, job: Job) -> None:
        """Cancel a job from its node; the cancellation arrives after the network delay."""
        self._time.at(self._time.now + NETWORK_DELAY_SECONDS, lambda: self._cancel(job))

    def _arrive(self, job: Job) -> None:
        if job.cancelled:
            return
        if self._running_jobs < self._slots:
            self._start(job)
        elif len(self._waiting_jobs) < self._queue_limit:
            self._waiting_jobs.append(job)
        else:
            self._answer(job, shed=True)

    def _start(self, job: Job) -> None:
        self._running_jobs += 1
        job.started_at = self._time.now
        self._time.at(self._time.now + job.request.work, lambda: self._finish(job))

    def _finish(self, job: Job) -> None:
        if job.done or job.cancelled:
            return
        self._answer(job, shed=False)
        if self._time.now <= min(job.request.deadline, self.counted_until):
            self.useful_work += job.request.work
        self._release_slot()

    def _cancel(self, job: Job) -> None:
        job.cancelled = True
        if job.started_at is None:
            if job in self._waiting_jobs:
                self._waiting_jobs.remove(job)
        elif not job.done:
            job.done = True
            self._release_slot()

    def _release_slot(self) -> None:
        self._running_jobs -= 1
        if self._waiting_jobs:
            self._start(self._waiting_jobs.popleft())

    def _answer(self, job: Job, shed: bool) -> None:
        job.done = True
        report = LoadReport(self._running_jobs, self._slots)
        self._time.at(self._time.now + NETWORK_DELAY_SECONDS, lambda: job.reply(shed, report))
