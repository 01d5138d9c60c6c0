"""Admission and placement of the requests for one service."""

from __future__ import annotations

import math
from collections.abc import Container, Iterable
from random import Random

from pewtertack.core.configuration.resolved import ResolvedService, WorkClass
from pewtertack.routing.backend import Backend
from pewtertack.routing.choice import GatewayCriteria, choose, choose_gateway
from pewtertack.routing.limit import ServiceLimit
from pewtertack.routing.link_words import LinkReport, LongRouteTimes
from pewtertack.routing.outcomes import (
    DeadlineUnmeetableError,
    NoBackendError,
    QueueFullError,
    RequestFailedError,
)
from pewtertack.routing.patience import WaitPolicy, can_retry
from pewtertack.routing.queueing import MAXIMUM_WAIT_SECONDS, ClassQueue, Ticket, smoothed

MINIMUM_RETRY_AFTER = 0.1
MAXIMUM_RETRY_AFTER = 30.0
"""Bounds, in seconds, of the time after which a refused caller should retry."""
MINIMUM_CAPACITY = 0.1
"""Lower bound of the concurrent requests by which an expected wait is divided."""
TIME_UNCERTAINTY_FACTOR = 1.5
"""Answers take up to this multiple of the mean often enough to plan for it."""
CROSSING_SHARE = 0.05
"""A request goes to another zone, which costs bytes between zones, if it would wait for this share
of its objective."""
LARGE_BODY_BYTES = 16 * 1024
"""A request with a longer body goes to another zone only to meet its deadline."""
OWN_ZONE = "own-zone"
NONE_IN_ZONE = "no untried back end in the own zone"
OWN_ZONE_BUSY = "the own zone's back ends take no work in time"
"""Reasons of a choice, for the log."""
POLL_SECONDS = 0.25
"""Longest interval between two checks of a queued request while nothing can start."""


class ServiceDispatcher:
    """Places tickets on the back ends of one service, or queues them up to the routes' limits."""

    def __init__(self, name: str, random: Random) -> None:
        self.name = name
        self.queue = ClassQueue()
        self.limit = ServiceLimit()
        self.in_flight = 0
        self._random = random
        self._settings: ResolvedService | None = None
        self._zone = ""
        self._local: list[Backend] = []
        self._remote: list[Backend] = []
        self.has_gateways = False
        self.mean_time = 0.0
        """Mean seconds of all answers, 0 while unknown."""
        self._route_times: dict[str, float] = {}
        self._long_routes: dict[str, LongRouteTimes] = {}
        """Routes whose answers queue for a gateway's link, as reported by gateways."""

    def use_backends(self, backends: Iterable[Backend], zone: str) -> None:
        """Take over the back ends of a newer machine list."""
        members = list(backends)
        self._zone = zone
        self.has_gateways = any(item.gateway for item in members)
        self._local = [backend for backend in members if backend.zone == zone]
        self._remote = [backend for backend in members if backend.zone != zone]
        if self._settings is not None:
            self.configure(self._settings)

    def has_untried(self, excluded: Container[str], now: float) -> bool:
        """Tell whether a back end that the request has not tried is usable."""
        return any(item.name not in excluded and item.usable(now) for item in self.backends)

    def another_gateway_may_help(self, ticket: Ticket, now: float) -> bool:
        """Tell whether to try another gateway rather than have the caller retry."""
        if not ticket.caller_can_retry:
            return self._limits_leave_time(ticket, now)
        return any(
            item.expected_wait(now, self.mean_time) <= 0
            for item in self.backends
            if item.usable(now) and item.name not in ticket.refused
        )

    def _limits_leave_time(self, ticket: Ticket, now: float) -> bool:
        """Tell whether a back end's limit of requests a second lets the request be answered."""
        latest_start = ticket.deadline - self.expected_time(ticket.route.name)
        for item in (*self._local, *self._remote):
            if item.name in ticket.refused:
                continue
            if item.known_rate is None or now + item.known_rate.wait(now) <= latest_start:
                return True
        return False

    def is_reachable(self, now: float) -> bool:
        """Tell whether any back end that accepts work is reachable or overdue for a trial."""
        working = [item for item in self.backends if item.accepts_work]
        return not working or any(item.reachable(now) for item in working)

    @property
    def backends(self) -> tuple[Backend, ...]:
        """All listed back ends, those of the own zone first."""
        return (*self._local, *self._remote)

    def configure(self, settings: ResolvedService) -> None:
        """Use the service's settings for all present and future back ends."""
        self._settings = settings
        for backend in self.backends:
            backend.configure(settings)

    def expected_time(self, route: str) -> float:
        """Return the mean time of the route's attempts, 0 while unknown."""
        return self._route_times.get(route, 0.0)

    def note_time(self, route: str, seconds: float) -> None:
        """Include the time of an answered attempt in the means."""
        self.mean_time = smoothed(self.mean_time, seconds)
        self._route_times[route] = smoothed(self._route_times.get(route, 0.0), seconds)

    def note_link_report(
        self, ticket: Ticket, report: LinkReport, now: float, with_answer: bool
    ) -> None:
        """Record a gateway's report on its link, received with an answer or a refusal."""
        assert ticket.backend is not None
        ticket.backend.note_link_queue(now, report.queue_seconds)
        route = ticket.route.name
        if not report.transfer_seconds:
            self._long_routes.pop(route, None)
        elif with_answer:
            execution_seconds = max(0.0, now - ticket.started_at - ticket.queued_seconds)
            self._long_routes.setdefault(route, LongRouteTimes()).note(
                report.transfer_seconds, execution_seconds
            )

    def submit(self, ticket: Ticket, now: float) -> None:
        """Grant the ticket or queue it.

        Raises:
            NoBackendError: no back end accepts work now or soon.
            QueueFullError: the route's queue is full.
            DeadlineUnmeetableError: the request is not expected to start in time.
        """
        if ticket.service is not self._settings:
            self.configure(ticket.service)
        if not self.queue and self._grant(ticket, now):
            return
        self._check_backends(now)
        wait = self._expected_wait(ticket, now)
        if self.queue.length_of_route(ticket.route.name) >= ticket.route.queue_limit:
            raise QueueFullError("too many requests wait", self.retry_after(wait))
        ticket.expires_at = self._latest_start(ticket, now)
        if now + wait >= ticket.expires_at:
            raise DeadlineUnmeetableError(
                "no back end comes free before the deadline", self.retry_after(wait)
            )
        self.queue.push(ticket, now)
        self.pump(now)

    def _check_backends(self, now: float) -> None:
        open_to_work = [item for item in self.backends if item.accepts_work]
        if not open_to_work:
            raise NoBackendError(f"service {self.name} has no back end")
        if all(
            item.health.ejected and not item.health.allows_request(now) for item in open_to_work
        ):
            soonest = min(item.health.retry_at for item in open_to_work) - now
            raise NoBackendError(
                f"all back ends of {self.name} are ejected", self.retry_after(soonest)
            )

    def _expected_wait(self, ticket: Ticket, now: float) -> float:
        turn_interval = self.mean_time / max(MINIMUM_CAPACITY, self._capacity(now))
        position = self.queue.position_of(ticket)
        return self.queue.expected_wait(ticket.route.work_class, position, turn_interval, now)

    def _capacity(self, now: float) -> float:
        """Return the number of requests that this proxy may have in flight at the service."""
        working = (item for item in self.backends if item.accepts_work and not item.health.ejected)
        backend_limit = sum(
            item.concurrency(self.mean_time) for item in working if item.limit.paused_until <= now
        )
        return min(float(backend_limit), self.limit.value)

    def _latest_start(self, ticket: Ticket, now: float) -> float:
        by_deadline = ticket.deadline - self.expected_time(ticket.route.name)
        return min(by_deadline, now + MAXIMUM_WAIT_SECONDS[ticket.route.work_class])

    def retry_after(self, wait: float) -> float:
        """Return the seconds after which to retry: the expected wait, spread at random."""
        spread = max(wait, MINIMUM_RETRY_AFTER) * (1 + self._random.random())
        return round(min(spread, MAXIMUM_RETRY_AFTER), 3)

    def pump(self, now: float) -> None:
        """Grant all tickets that can start now, in order, and refuse those that have expired."""
        while (ticket := self.queue.peek()) is not None:
            if ticket.expires_at <= now:
                self.queue.remove(ticket)
                self._refuse(ticket, now)
            elif self._grant(ticket, now):
                self.queue.pop(now)
                ticket.wake()
            elif not self._grant_urgent(now):
                return

    def _grant_urgent(self, now: float) -> bool:
        """Grant the first urgent ticket, which has headroom, before others that have none."""
        urgent = self.queue.first_of(WorkClass.URGENT)
        if urgent is None or urgent is self.queue.peek() or not self._grant(urgent, now):
            return False
        self.queue.remove_out_of_turn(urgent, now)
        urgent.wake()
        return True

    def give_up(self, ticket: Ticket, now: float) -> None:
        """Refuse a queued ticket as soon as it is expected to start too late."""
        if ticket.backend is not None or ticket.refusal is not None:
            return
        if now + self._expected_wait(ticket, now) >= ticket.expires_at:
            self.queue.remove(ticket)
            self._refuse(ticket, now)

    def _refuse(self, ticket: Ticket, now: float) -> None:
        wait = self._expected_wait(ticket, now)
        ticket.refusal = DeadlineUnmeetableError(
            "no back end came free in time", self.retry_after(wait)
        )
        ticket.wake()

    def withdraw(self, ticket: Ticket) -> None:
        """Remove a queued ticket whose caller has gone."""
        if ticket.backend is None and ticket.refusal is None:
            ticket.refusal = RequestFailedError("withdrawn")
            self.queue.remove(ticket)

    def refuse(self, ticket: Ticket, refusal: RequestFailedError) -> None:
        """Refuse a queued ticket with ``refusal``; a ticket that is not queued is left alone."""
        if ticket in self.queue:
            self.queue.remove(ticket)
            ticket.refusal = refusal
            ticket.wake()

    def next_check(self, ticket: Ticket, now: float) -> float:
        """Return when a queued ticket should be checked again, at the latest."""
        paused_until = self.limit.paused_until()
        return min(
            ticket.expires_at, now + POLL_SECONDS, paused_until if paused_until > now else math.inf
        )

    def _grant(self, ticket: Ticket, now: float) -> bool:
        urgent = ticket.route.work_class is WorkClass.URGENT
        if self.has_gateways:
            criteria = self._gateway_criteria(ticket, now)
            backend = choose_gateway(self._local, self._remote, criteria, now, self._random)
        elif self.limit.allows(now, self.in_flight, urgent):
            backend = choose(self._local, self._remote, now, self._random, ticket.excluded)
        else:
            return False
        if backend is None:
            return False
        backend.note_start(now)
        self.in_flight += 1
        ticket.trial = backend.health.note_start()
        ticket.backend = backend
        if self._long_routes:
            self._reserve_link(ticket, backend, now)
        is_local = backend.zone == self._zone
        ticket.choice_reason = OWN_ZONE if is_local else self._why_other_zone(ticket)
        ticket.wait_policy = _wait_policy_of(
            ticket, is_local or ticket.choice_reason == NONE_IN_ZONE
        )
        ticket.started_at = now
        return True

    def _gateway_criteria(self, ticket: Ticket, now: float) -> GatewayCriteria:
        objective = ticket.arrived_at + ticket.route.objective
        long_route = self._long_routes.get(ticket.route.name)
        if long_route is not None:
            transfer_seconds, execution_seconds = (
                long_route.transfer_seconds,
                long_route.execution_seconds,
            )
            max_wait = max(
                0.0,
                objective - now - transfer_seconds - execution_seconds * TIME_UNCERTAINTY_FACTOR,
            )
            return GatewayCriteria(
                execution_seconds,
                self.mean_time,
                max_wait,
                ticket.excluded,
                ticket.refused,
                transfer_seconds,
            )
        expected = self.expected_time(ticket.route.name)
        wait_until = ticket.deadline if ticket.body_bytes > LARGE_BODY_BYTES else objective
        max_wait = wait_until - now - expected * TIME_UNCERTAINTY_FACTOR
        if _may_cross_early(ticket) and ticket.body_bytes <= LARGE_BODY_BYTES:
            max_wait = min(max_wait, CROSSING_SHARE * ticket.route.objective)
        return GatewayCriteria(
            expected, self.mean_time, max(0.0, max_wait), ticket.excluded, ticket.refused
        )

    def _reserve_link(self, ticket: Ticket, backend: Backend, now: float) -> None:
        """Add the expected answer to the link's queue until the gateway's next report."""
        long_route = self._long_routes.get(ticket.route.name)
        if long_route is not None:
            ready_at = max(backend.link_free_at, now)
            backend.link_free_at = ready_at + long_route.transfer_seconds

    def _why_other_zone(self, ticket: Ticket) -> str:
        if not any(item.name not in ticket.excluded for item in self._local):
            return NONE_IN_ZONE
        return OWN_ZONE_BUSY

    def may_eject(self) -> bool:
        """Tell whether answered failures may eject one more back end: at most half of them."""
        ejected = sum(item.health.ejected for item in self.backends)
        return (ejected + 1) * 2 <= len(self.backends)


def _may_cross_early(ticket: Ticket) -> bool:
    """Tell whether the request goes to another zone early rather than wait in its own.

    Under ``RetryLaterPolicy.TWO`` callers with less time than ``RETRY_TIME_FACTOR`` asks for are
    told to retry as well. Their requests do not cross early, since that doubled the bytes between
    zones.
    """
    if not ticket.caller_can_retry:
        return False
    caller_time = ticket.caller_deadline - ticket.arrived_at
    return can_retry(ticket.route.objective, caller_time)


def _wait_policy_of(ticket: Ticket, may_be_late: bool) -> WaitPolicy:
    """Return the wait policy to send to the gateway.

    A request may be late (``may_be_late``) where no other gateway would do better.
    """
    if ticket.caller_wait_policy is WaitPolicy.WAIT and not may_be_late:
        return WaitPolicy.TRY_ANOTHER_GATEWAY
    return ticket.caller_wait_policy
