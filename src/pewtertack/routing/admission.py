"""Admission of requests to the one back end beside a node.

Every request to the back end passes its node, so the number in flight is exact.
What finds no free slot waits, ordered by class, priority and arrival. A request that can
no longer be answered within its objective lets all that still can go first: in overload
the back end's time goes to answers that are in time. What cannot end before its deadline,
or would hold its caller for most of its time, is refused before the back end has seen a
byte of it.

The caller submits an ``AdmissionTicket`` for every request, waits for its ``wake``
when it was neither granted nor refused at once, and reports its end.
"""

from __future__ import annotations

import bisect
from collections.abc import Callable
from dataclasses import dataclass, field

from pewtertack.routing.outcomes import DeadlineUnmeetableError, NotRunError, QueueFullError
from pewtertack.routing.queueing import smoothed

TYPICAL_SHARE = 1 / 3
"""Share of its objective that a request of unknown route is taken to need."""
QUEUE_PER_SLOT = 20
"""Requests that may wait for each slot."""
HOLD_SHARE = 0.45
"""A request waits for this share of its time at most: its caller can still go elsewhere."""
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
    may_be_late: bool = True
    """Whether it may wait for a slot that lets it miss its objective."""
    wake: Callable[[], None] = _nobody_waits
    granted: bool = False
    refusal: NotRunError | None = None
    submitted_at: float = 0.0
    started_at: float = 0.0
    order: tuple[int, int, int] = field(default=(0, 0, 0))

    @property
    def typical_time(self) -> float:
        """What the back end is taken to need while nothing is known of the route."""
        return TYPICAL_SHARE * max(0.0, self.objective - self.submitted_at)

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
        if not self._has_prospect(ticket, now):
            message = "no slot comes free in time"
            raise DeadlineUnmeetableError(message, self._retry_after())
        if len(self._queue) >= QUEUE_PER_SLOT * self.slots:
            self._make_room_for(ticket)
        bisect.insort(self._queue, ticket, key=lambda item: item.order)

    def _make_room_for(self, ticket: AdmissionTicket) -> None:
        """Refuse the last that waits if it is less urgent, else the new one.

        Raises:
            QueueFullError: nothing less urgent than the ticket waits.
        """
        error = QueueFullError("too many requests wait", self._retry_after())
        last = self._queue[-1]
        if last.order < ticket.order:
            raise error
        self._queue.pop()
        last.refusal = error
        last.wake()

    def _has_prospect(self, ticket: AdmissionTicket, now: float) -> bool:
        """Tell whether the ticket is expected to start while that is of use."""
        ahead = sum(
            item.order < ticket.order and not self._is_late(item, now) for item in self._queue
        )
        start = now + self._wait_behind(ahead, ticket)
        if start <= self._last_timely_start(ticket):
            return True
        if not ticket.may_be_late:
            return False
        return now + self._wait_behind(len(self._queue), ticket) <= self.expires_at(ticket)

    def _wait_behind(self, ahead: int, ticket: AdmissionTicket) -> float:
        """Return in how many seconds a request starts that lets ``ahead`` others go first."""
        return (ahead + 1) * (self._mean_time or ticket.typical_time) / self.slots

    def _time_of(self, ticket: AdmissionTicket) -> float:
        return self.expected_time(ticket.route) or ticket.typical_time

    def _last_timely_start(self, ticket: AdmissionTicket) -> float:
        return ticket.objective - self._time_of(ticket)

    def _is_late(self, ticket: AdmissionTicket, now: float) -> bool:
        """Tell whether a request that starts now would miss its objective."""
        return now > self._last_timely_start(ticket)

    def _retry_after(self) -> float:
        wait = (len(self._queue) + 1) * self._mean_time / self.slots
        return min(max(wait, MINIMUM_RETRY_AFTER), MAXIMUM_RETRY_AFTER)

    def expires_at(self, ticket: AdmissionTicket) -> float:
        """Return when a waiting ticket is given up."""
        time_given = ticket.deadline - ticket.submitted_at
        held_enough = ticket.submitted_at + HOLD_SHARE * time_given
        return min(held_enough, ticket.deadline - self._time_of(ticket))

    def expire(self, ticket: AdmissionTicket, now: float) -> None:
        """Refuse a waiting ticket which can no longer be served in time."""
        if ticket.granted or ticket.refusal is not None or now < self.expires_at(ticket):
            return
        self._queue.remove(ticket)
        message = "no slot came free in time"
        ticket.refusal = DeadlineUnmeetableError(message, self._retry_after())
        ticket.wake()

    def withdraw(self, ticket: AdmissionTicket) -> None:
        """Take a waiting ticket out, since its caller has gone."""
        if ticket in self._queue:
            self._queue.remove(ticket)

    def finish(self, ticket: AdmissionTicket, now: float, answered: bool) -> None:
        """A granted request has ended; its slot goes to the next that waits.

        One that ended without an answer tells how long it takes at least: a back end
        that has turned slow answers only what is quick.
        """
        self.in_flight -= 1
        seconds = now - ticket.started_at
        if answered or seconds > self._time_of(ticket):
            self._mean_time = smoothed(self._mean_time, seconds)
            known = self._route_times.get(ticket.route, 0.0)
            self._route_times[ticket.route] = smoothed(known, seconds)
        self._grant_waiting(now)

    def _grant_waiting(self, now: float) -> None:
        while self._queue and self.in_flight < self.slots:
            ticket = min(self._queue, key=lambda item: (self._is_late(item, now), item.order))
            if now >= self.expires_at(ticket):
                self.expire(ticket, now)
                continue
            self._queue.remove(ticket)
            self._start(ticket, now)
            ticket.wake()

    def _start(self, ticket: AdmissionTicket, now: float) -> None:
        self.in_flight += 1
        ticket.granted = True
        ticket.started_at = now
