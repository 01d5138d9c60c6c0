"""Admission and placement of the requests for one service."""

from __future__ import annotations

import math
from collections.abc import Container, Iterable
from random import Random

from pewtertack.core.configuration.resolved import ResolvedService, WorkClass
from pewtertack.routing.backend import Backend
from pewtertack.routing.choice import GatewayCriteria, choose, choose_gateway
from pewtertack.routing.limit import ServiceLimit
from pewtertack.routing.link_reports import LinkReport, LongRouteTimes
from pewtertack.routing.outcomes import (
    DeadlineUnmeetableError,
    NoBackendError,
    QueueFullError,
    RequestFailedError,
)
from pewtertack.routing.queueing import MAXIMUM_WAIT_SECONDS, ClassQueue, Ticket, smoothed
from pewtertack.routing.wait_policy import WaitPolicy, can_retry

MINIMUM_RETRY_AFTER = 0.1
MAXIMUM_RETRY_AFTER = 30.0
MINIMUM_CAPACITY = 0.1
TIME_UNCERTAINTY_FACTOR = 1.5
"""Answers take up to so many times the mean often enough to plan for it."""
CROSSING_SHARE = 0.05
"""What crosses zones costs bytes: it does when it would wait for this share of its objective."""
LARGE_BODY_BYTES = 16 * 1024
"""A request with a longer body goes to another zone only to meet its deadline."""
OWN_ZONE = "own-zone"
NONE_IN_ZONE = "no untried back end in the own zone"
OWN_ZONE_BUSY = "the own zone's back ends take no work in time"
"""Reasons of a choice, for the log."""
POLL_SECONDS = 0.25
"""While nothing can start, waiting requests look again after this long at most."""


class ServiceDispatcher:
    """Places tickets on the back ends of one service; what cannot start waits, bounded."""

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
        """Routes whose answers wait for a gateway's link, as gateways have told."""

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
        """Tell whether a back end that the request has not tried may take it."""
        return any(item.name not in excluded and item.usable(now) for item in self.backends)

    def another_gateway_may_help(self, ticket: Ticket, now: float) -> bool:
        """Tell whether asking one more gateway is better than telling the caller to come back."""
        if not ticket.caller_can_retry:
            return True
        return any(
            item.expected_wait(now, self.mean_time) <= 0
            for item in self.backends
            if item.usable(now) and item.name not in ticket.refused
        )

    def is_reachable(self, now: float) -> bool:
        """Tell whether any back end that takes work answers, or is overdue for a trial."""
        working = [item for item in self.backends if item.accepts_work]
        return not working or any(item.reachable(now) for item in working)

    @property
    def backends(self) -> tuple[Backend, ...]:
        """All listed back ends, the own zone's first."""
        return (*self._local, *self._remote)

    def configure(self, settings: ResolvedService) -> None:
        """Use the service's settings for all back ends, and for those that are still to come."""
        self._settings = settings
        for backend in self.backends:
            backend.configure(settings)

    def expected_time(self, route: str) -> float:
        """Return the mean time of the route's attempts, 0 while unknown."""
        return self._route_times.get(route, 0.0)

    def note_time(self, route: str, seconds: float) -> None:
        """Take the time of an answered attempt into the means."""
        self.mean_time = smoothed(self.mean_time, seconds)
        self._route_times[route] = smoothed(self._route_times.get(route, 0.0), seconds)

    def note_link_report(self, ticket: Ticket, word: LinkReport, now: float, begun: bool) -> None:
        """A gateway has told of its link, with an answer that has begun or with a refusal."""
        assert ticket.backend is not None
        ticket.backend.note_link_queue(now, word.queue_seconds)
        route = ticket.route.name
        if not word.transfer_seconds:
            self._long_routes.pop(route, None)
        elif begun:
            run = max(0.0, now - ticket.started_at - ticket.queued_seconds)
            self._long_routes.setdefault(route, LongRouteTimes()).note(word.transfer_seconds, run)

    def submit(self, ticket: Ticket, now: float) -> None:
        """Grant the ticket or let it wait.

        Raises:
            NoBackendError: no back end may take work now or soon.
            QueueFullError: as many requests of the route wait as may.
            DeadlineUnmeetableError: its turn would come too late.
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
        per_turn = self.mean_time / max(MINIMUM_CAPACITY, self._capacity(now))
        place = self.queue.position_of(ticket)
        return self.queue.expected_wait(ticket.route.work_class, place, per_turn, now)

    def _capacity(self, now: float) -> float:
        """Return how many requests this proxy may have in flight at the service."""
        working = (item for item in self.backends if item.accepts_work and not item.health.ejected)
        places = sum(int(item.limit.value) for item in working if item.limit.paused_until <= now)
        return min(float(places), self.limit.value)

    def _latest_start(self, ticket: Ticket, now: float) -> float:
        by_deadline = ticket.deadline - self.expected_time(ticket.route.name)
        return min(by_deadline, now + MAXIMUM_WAIT_SECONDS[ticket.route.work_class])

    def retry_after(self, wait: float) -> float:
        """Return when to come back after a refusal: the expected wait, spread at random."""
        spread = max(wait, MINIMUM_RETRY_AFTER) * (1 + self._random.random())
        return round(min(spread, MAXIMUM_RETRY_AFTER), 3)

    def pump(self, now: float) -> None:
        """Grant what can start now, in order, and refuse what can start no longer."""
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
        """Grant the first urgent ticket, which has headroom, past others that have none."""
        urgent = self.queue.first_of(WorkClass.URGENT)
        if urgent is None or urgent is self.queue.peek() or not self._grant(urgent, now):
            return False
        self.queue.remove_out_of_turn(urgent, now)
        urgent.wake()
        return True

    def give_up(self, ticket: Ticket, now: float) -> None:
        """Refuse a waiting ticket as soon as its turn is expected too late."""
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
        """Take a waiting ticket out, since its caller has gone."""
        if ticket.backend is None and ticket.refusal is None:
            ticket.refusal = RequestFailedError("withdrawn")
            self.queue.remove(ticket)

    def refuse(self, ticket: Ticket, refusal: RequestFailedError) -> None:
        """End a ticket's waiting with ``refusal``; one that does not wait is left alone."""
        if ticket in self.queue:
            self.queue.remove(ticket)
            ticket.refusal = refusal
            ticket.wake()

    def next_check(self, ticket: Ticket, now: float) -> float:
        """Return when a waiting ticket should be looked at again, at the latest."""
        rested = self.limit.paused_until()
        return min(ticket.expires_at, now + POLL_SECONDS, rested if rested > now else math.inf)

    def _grant(self, ticket: Ticket, now: float) -> bool:
        urgent = ticket.route.work_class is WorkClass.URGENT
        if self.has_gateways:
            wish = self._gateway_criteria(ticket, now)
            backend = choose_gateway(self._local, self._remote, wish, now, self._random)
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
        near = backend.zone == self._zone
        ticket.choice_reason = OWN_ZONE if near else self._why_other_zone(ticket)
        ticket.wait_policy = _wait_policy_of(ticket, near or ticket.choice_reason == NONE_IN_ZONE)
        ticket.started_at = now
        return True

    def _gateway_criteria(self, ticket: Ticket, now: float) -> GatewayCriteria:
        objective = ticket.arrived_at + ticket.route.objective
        long_route = self._long_routes.get(ticket.route.name)
        if long_route is not None:
            own, run = long_route.transfer_seconds, long_route.execution_seconds
            patience = max(0.0, objective - now - own - run * TIME_UNCERTAINTY_FACTOR)
            return GatewayCriteria(
                run, self.mean_time, patience, ticket.excluded, ticket.refused, own
            )
        expected = self.expected_time(ticket.route.name)
        patient_until = ticket.deadline if ticket.body_bytes > LARGE_BODY_BYTES else objective
        patience = patient_until - now - expected * TIME_UNCERTAINTY_FACTOR
        if _may_cross_early(ticket) and ticket.body_bytes <= LARGE_BODY_BYTES:
            patience = min(patience, CROSSING_SHARE * ticket.route.objective)
        return GatewayCriteria(
            expected, self.mean_time, max(0.0, patience), ticket.excluded, ticket.refused
        )

    def _reserve_link(self, ticket: Ticket, backend: Backend, now: float) -> None:
        """Reckon with the answer, until the gateway's next word does."""
        long_route = self._long_routes.get(ticket.route.name)
        if long_route is not None:
            ready_at = max(backend.link_free_at, now)
            backend.link_free_at = ready_at + long_route.transfer_seconds

    def _why_other_zone(self, ticket: Ticket) -> str:
        if not any(item.name not in ticket.excluded for item in self._local):
            return NONE_IN_ZONE
        return OWN_ZONE_BUSY

    def may_eject(self) -> bool:
        """Tell whether answered failures may eject one more: never more than half."""
        ejected = sum(item.health.ejected for item in self.backends)
        return (ejected + 1) * 2 <= len(self.backends)


def _may_cross_early(ticket: Ticket) -> bool:
    """Tell whether rather bytes cross zones than the request waits in its own.

    Who has less time than ``ROOM`` asks for is told to come back as well where operators choose
    so, and would then cross as early: bytes between zones doubled by it.
    """
    if not ticket.caller_can_retry:
        return False
    caller_time = ticket.caller_deadline - ticket.arrived_at
    return can_retry(ticket.route.objective, caller_time)


def _wait_policy_of(ticket: Ticket, may_wait: bool) -> WaitPolicy:
    """Return what a gateway should do with the ticket; ``may_wait`` where it is the last hope."""
    if ticket.caller_wait_policy is WaitPolicy.WAIT and not may_wait:
        return WaitPolicy.TRY_ANOTHER_GATEWAY
    return ticket.caller_wait_policy
