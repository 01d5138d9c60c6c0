"""Queue of requests for the back ends of one service, by class of work.

Classes share the service's capacity by weight (self-clocked fair queueing): an
urgent request hardly waits for others, and a background request still progresses.
Within a class the order is that of arrival.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import msgspec

from pewtertack.core.configuration.resolved import ResolvedRoute, ResolvedService, WorkClass
from pewtertack.routing.backend import Backend, LoadReport
from pewtertack.routing.outcomes import RequestFailedError
from pewtertack.routing.patience import WaitPolicy

SMOOTHING = 0.1
"""Weight of the newest value in exponentially weighted means."""
WEIGHTS = {
    WorkClass.URGENT: 64,
    WorkClass.INTERACTIVE: 16,
    WorkClass.BULK: 4,
    WorkClass.BACKGROUND: 1,
}
MAXIMUM_WAIT_SECONDS = {
    WorkClass.URGENT: 1.0,
    WorkClass.INTERACTIVE: 3.0,
    WorkClass.BULK: 10.0,
    WorkClass.BACKGROUND: 10.0,
}
"""Longest time that a request is queued, however late its deadline is."""


def _wake_nobody() -> None:
    """Do nothing: the default of ``Ticket.wake``."""


class Ticket(msgspec.Struct, eq=False):
    """State of one attempt: queued, granted (``backend``) or refused (``refusal``)."""

    route: ResolvedRoute
    service: ResolvedService
    deadline: float
    excluded: tuple[str, ...] = ()
    """Back ends that earlier attempts of the request have tried."""
    refused: tuple[str, ...] = ()
    """Those of them whose gateways refused it, or were not reached."""
    wake: Callable[[], None] = _wake_nobody
    """Called when a queued ticket is granted or refused."""
    backend: Backend | None = None
    refusal: RequestFailedError | None = None
    trial: bool = False
    started_at: float = 0.0
    expires_at: float = 0.0
    answered: bool = False
    """Whether the back end's answer has begun."""
    awaits_caller: bool = False
    """Whether the attempt ended while the back end waited for the caller to send the body."""
    hung: bool = False
    """Whether the gateway takes the back end to hang on it."""
    report: LoadReport | None = None
    """The back end's load as reported with this answer."""
    finished: bool = False
    unseen_attempts: int = 0
    """Attempts that no back end has seen: gateways refused them or were not reached."""
    arrived_at: float = 0.0
    """When the request's first attempt was submitted."""
    queued_seconds: float = 0.0
    """Seconds that the request waited at the gateway, as reported with the answer."""
    wait_policy: WaitPolicy = WaitPolicy.WAIT
    """What the gateway should do if the request would have to wait."""
    caller_deadline: float = 0.0
    """When the caller gives up, over all its attempts; 0 while unknown."""
    caller_wait_policy: WaitPolicy = WaitPolicy.WAIT
    """The policy that the caller's remaining time suggests, whichever gateway is used."""
    choice_reason: str = ""
    """Why this back end was chosen, for the log."""
    body_bytes: int = 0
    """Length of the request's body, as far as announced."""
    nested: bool = False
    """A back end makes it while it runs another request."""

    @property
    def caller_can_retry(self) -> bool:
        """Whether the caller, if refused, has time for another whole attempt."""
        return self.caller_wait_policy.prefers_retry

    def take_refusal(self) -> RequestFailedError:
        """Return and clear the refusal: once raised, its traceback refers to the waiting task."""
        assert self.refusal is not None
        try:
            return self.refusal
        finally:
            self.refusal = None

    def next_attempt(self, unseen_attempts: int) -> Ticket:
        """Return the ticket of the next attempt, given the number that no back end has seen."""
        assert self.backend is not None
        excluded = (*self.excluded, self.backend.name)
        newly = (self.backend.name,) if unseen_attempts > self.unseen_attempts else ()
        refused = (*self.refused, *newly)
        ticket = Ticket(self.route, self.service, self.deadline, excluded, refused, self.wake)
        ticket.unseen_attempts = unseen_attempts
        ticket.arrived_at = self.arrived_at
        ticket.body_bytes = self.body_bytes
        ticket.caller_deadline = self.caller_deadline
        ticket.caller_wait_policy = self.caller_wait_policy
        ticket.nested = self.nested
        return ticket

    @property
    def retries(self) -> int:
        """Earlier attempts that a back end may have seen."""
        return len(self.excluded) - self.unseen_attempts


def smoothed(mean: float, value: float) -> float:
    """Return the exponentially weighted mean updated by a value; 0 means "none yet"."""
    return value if mean == 0 else mean + SMOOTHING * (value - mean)


class _Lane(msgspec.Struct):
    """Queue of one class."""

    step: float
    """Virtual time that one request takes: the inverse of the class's weight."""
    tickets: deque[Ticket] = msgspec.field(default_factory=deque)
    due_virtual_time: float = 0.0
    """Virtual time at which the first ticket is due."""
    interval: float = 0.0
    """Mean seconds between two turns of the class; 0 while unknown."""
    last_turn_at: float = 0.0
    """When the class's last turn was, or its first ticket arrived."""

    def note_turn(self, now: float) -> None:
        """Record a turn of the class."""
        self.interval = smoothed(self.interval, now - self.last_turn_at)
        self.last_turn_at = now


class ClassQueue:
    """Queued tickets of one service."""

    def __init__(self) -> None:
        self._lanes = {work_class: _Lane(1 / weight) for work_class, weight in WEIGHTS.items()}
        self._virtual_time = 0.0
        self._by_route: dict[str, int] = {}
        self._length = 0

    def __contains__(self, ticket: Ticket) -> bool:
        return ticket in self._lanes[ticket.route.work_class].tickets

    def __len__(self) -> int:
        return self._length

    def length_of_route(self, route: str) -> int:
        """Return the number of queued requests of a route."""
        return self._by_route.get(route, 0)

    def lengths(self) -> dict[WorkClass, int]:
        """Return the number of queued requests of each class."""
        return {work_class: len(lane.tickets) for work_class, lane in self._lanes.items()}

    def position_of(self, ticket: Ticket) -> int:
        """Return the ticket's position in its class, or the one it would get."""
        tickets = self._lanes[ticket.route.work_class].tickets
        return tickets.index(ticket) if ticket in tickets else len(tickets)

    def expected_wait(
        self, work_class: WorkClass, position: int, turn_interval: float, now: float
    ) -> float:
        """Return the seconds until the turn of the ticket at ``position`` in its class.

        ``turn_interval`` is the time from one turn to the next over all classes. The
        interval observed for the class is used if it is longer, since more urgent
        requests may still arrive and go first.
        """
        lane = self._lanes[work_class]
        by_weight = turn_interval * (position + 1 + self._others_before(work_class, position))
        if not lane.tickets or not lane.interval:
            return by_weight
        observed = (position + 1) * lane.interval - (now - lane.last_turn_at)
        return max(by_weight, observed)

    def _others_before(self, work_class: WorkClass, position: int) -> float:
        weight = WEIGHTS[work_class]
        return sum(
            min(len(lane.tickets), (position + 1) * WEIGHTS[other] / weight)
            for other, lane in self._lanes.items()
            if other is not work_class
        )

    def push(self, ticket: Ticket, now: float) -> None:
        """Append a ticket to its class."""
        lane = self._lanes[ticket.route.work_class]
        if not lane.tickets:
            lane.last_turn_at = now
            lane.due_virtual_time = max(lane.due_virtual_time, self._virtual_time) + lane.step
        lane.tickets.append(ticket)
        self._count(ticket, 1)

    def remove(self, ticket: Ticket) -> None:
        """Remove a ticket that has not been popped."""
        self._lanes[ticket.route.work_class].tickets.remove(ticket)
        self._count(ticket, -1)

    def peek(self) -> Ticket | None:
        """Return the next ticket."""
        lane = self._next_lane()
        return lane.tickets[0] if lane else None

    def first_of(self, work_class: WorkClass) -> Ticket | None:
        """Return the ticket of a class that has been queued longest."""
        tickets = self._lanes[work_class].tickets
        return tickets[0] if tickets else None

    def remove_out_of_turn(self, ticket: Ticket, now: float) -> None:
        """Remove a ticket that is granted before it is the next."""
        self._lanes[ticket.route.work_class].note_turn(now)
        self.remove(ticket)

    def pop(self, now: float) -> Ticket:
        """Remove and return the next ticket; the queue must not be empty."""
        lane = self._next_lane()
        assert lane is not None
        lane.note_turn(now)
        self._virtual_time = lane.due_virtual_time
        ticket = lane.tickets.popleft()
        if lane.tickets:
            lane.due_virtual_time += lane.step
        self._count(ticket, -1)
        return ticket

    def _next_lane(self) -> _Lane | None:
        waiting = [lane for lane in self._lanes.values() if lane.tickets]
        return min(waiting, key=lambda lane: lane.due_virtual_time, default=None)

    def _count(self, ticket: Ticket, change: int) -> None:
        name = ticket.route.name
        left = self._by_route.get(name, 0) + change
        self._length += change
        if left:
            self._by_route[name] = left
        else:
            self._by_route.pop(name, None)
