"""Admission of requests to the one back end beside a node.

Every request to the back end passes its node, so the number in flight is exact.
What finds no free slot waits, ordered by class, priority and arrival; what cannot end
before its deadline is refused before the back end has seen a byte of it.

The caller submits an ``AdmissionTicket`` for every request, waits for its ``wake``
when it was neither granted nor refused at once, and reports its end.
"""

from __future__ import annotations

import bisect
from collections.abc import Callable
from dataclasses import dataclass, field

from pewtertack.routing.outcomes import DeadlineUnmeetableError, NotRunError, QueueFullError
from pewtertack.routing.queueing import smoothed

QUEUE_PER_SLOT = 20
"""Requests that may wait for each slot."""
LATE_SHARE = 0.5
"""A request may wait into this share of the time between its objective and its deadline."""
MINIMUM_RETRY_AFTER = 0.05
MAXIMUM_RETRY_AFTER = 10.0


def _nobody_waits() -> None:
    """Wake nobody."""


@dataclass(slots=True, eq=False)
class AdmissionTicket:
    """One request's place: waiting, granted or refused. Times are monotonic seconds."""

    route: str
    rank: tuple[int, int]
    """Class of work and priority within it; smaller goes first."""
    objective: float
    """When its answer is wanted."""
    deadline: float
    wake: Callable[[], None] = _nobody_waits
    granted: bool = False
    refusal: NotRunError | None = None
    submitted_at: float = 0.0
    started_at: float = 0.0
    order: tuple[int, int, int] = field(default=(0, 0, 0))

    @property
    def queued(self) -> float:
        """Seconds between its arrival and its start."""
        return self.started_at - self.submitted_at


class Admission:
    """Slots and queue of one incarnation of a back end."""

    def __init__(self, slots: int) -> None:
        self.slots = max(1, slots)
        self.in_flight = 0
        self._queue: list[AdmissionTicket] = []
        self._arrivals = 0
        self._mean_time = 0.0
        self._route_times: dict[str, float] = {}

    @property
    def load(self) -> int:
        """Requests at the back end and waiting for it."""
        return self.in_flight + len(self._queue)

    def expected_time(self, route: str) -> float:
        """Return the mean time that the back end takes for the route, 0 while unknown."""
        return self._route_times.get(route, 0.0)

    def submit(self, ticket: AdmissionTicket, now: float) -> None:
        """Grant the ticket or let it wait.

        Raises:
            QueueFullError: as many wait as may.
            DeadlineUnmeetableError: its turn would come too late.
        """
        ticket.submitted_at = now
        if self.in_flight < self.slots and not self._queue:
            self._start(ticket, now)
            return
        self._arrivals += 1
        ticket.order = (*ticket.rank, self._arrivals)
        place = bisect.bisect(self._queue, ticket.order, key=lambda item: item.order)
        wait = self.expected_wait(place)
        if len(self._queue) >= QUEUE_PER_SLOT * self.slots:
            raise QueueFullError("too many requests wait", self._retry_after(wait))
        if now + wait > self._latest_start(ticket):
            message = "no slot comes free before the deadline"
            raise DeadlineUnmeetableError(message, self._retry_after(wait))
        self._queue.insert(place, ticket)

    def expected_wait(self, place: int) -> float:
        """Return in how many seconds the waiting request at ``place`` starts."""
        return (place + 1) * self._mean_time / self.slots

    def _latest_start(self, ticket: AdmissionTicket) -> float:
        patience = LATE_SHARE * max(0.0, ticket.deadline - ticket.objective)
        latest_end = min(ticket.deadline, ticket.objective + patience)
        return latest_end - self.expected_time(ticket.route)

    def _retry_after(self, wait: float) -> float:
        return min(max(wait, MINIMUM_RETRY_AFTER), MAXIMUM_RETRY_AFTER)

    def expires_at(self, ticket: AdmissionTicket) -> float:
        """Return when a waiting ticket can no longer be served in time."""
        return ticket.deadline - self.expected_time(ticket.route)

    def expire(self, ticket: AdmissionTicket, now: float) -> None:
        """Refuse a waiting ticket which can no longer be served in time."""
        if ticket.granted or ticket.refusal is not None or now < self.expires_at(ticket):
            return
        self._queue.remove(ticket)
        wait = self._retry_after(self.expected_wait(0))
        ticket.refusal = DeadlineUnmeetableError("no slot came free in time", wait)
        ticket.wake()

    def withdraw(self, ticket: AdmissionTicket) -> None:
        """Take a waiting ticket out, since its caller has gone."""
        if ticket in self._queue:
            self._queue.remove(ticket)

    def finish(self, ticket: AdmissionTicket, now: float, answered: bool) -> None:
        """A granted request has ended; its slot goes to the next that waits."""
        self.in_flight -= 1
        if answered:
            seconds = now - ticket.started_at
            self._mean_time = smoothed(self._mean_time, seconds)
            known = self._route_times.get(ticket.route, 0.0)
            self._route_times[ticket.route] = smoothed(known, seconds)
        self._grant_waiting(now)

    def _grant_waiting(self, now: float) -> None:
        while self._queue and self.in_flight < self.slots:
            ticket = self._queue[0]
            if now >= self.expires_at(ticket):
                self.expire(ticket, now)
                continue
            del self._queue[0]
            self._start(ticket, now)
            ticket.wake()

    def _start(self, ticket: AdmissionTicket, now: float) -> None:
        self.in_flight += 1
        ticket.granted = True
        ticket.started_at = now
