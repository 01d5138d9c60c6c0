"""Simulated nodes: one uses the real dispatcher, the baseline uses round robin."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random
from typing import Protocol

from pewtertack.core.configuration.resolved import ResolvedService
from pewtertack.core.machines import Machine, MachineList, MachineRole
from pewtertack.lab.overload.virtual_backends import Job, SimulatedBackend, VirtualTime
from pewtertack.lab.overload.workload import (
    PROFILES,
    SERVICE,
    SimulatedRequest,
    route_of,
)
from pewtertack.routing.attempt_results import AttemptResult
from pewtertack.routing.backend import LoadReport
from pewtertack.routing.dispatcher import Dispatcher
from pewtertack.routing.outcomes import BackendShedError, RequestFailedError
from pewtertack.routing.queueing import Ticket

MAX_BASELINE_ATTEMPTS = 3
ROUTES = {profile.work_class: route_of(profile) for profile in PROFILES}


class SimulatedNode(Protocol):
    """Interface of a node to the simulation."""

    def begin(self, request: SimulatedRequest) -> None:
        """Handle a request of a caller."""


class RoundRobinNode:
    """The baseline: back ends in turn, and up to three attempts without delay."""

    def __init__(self, time: VirtualTime, backends: Sequence[SimulatedBackend], start: int) -> None:
        self._time = time
        self._backends = backends
        self._next = start

    def begin(self, request: SimulatedRequest) -> None:
        """Send the request to the next back end."""
        self._next = (self._next + 1) % len(self._backends)
        backend = self._backends[self._next]
        request.attempts += 1
        job = Job(request, lambda shed, _: self._handle_reply(request, shed))
        backend.submit(job)
        if request.attempts == 1:
            self._time.at(request.deadline, lambda: _time_out_baseline(request))
        self._time.at(request.deadline, lambda: backend.cancel(job))

    def _handle_reply(self, request: SimulatedRequest, shed: bool) -> None:
        if request.ended is not None:
            return
        if shed and request.attempts < MAX_BASELINE_ATTEMPTS:
            self.begin(request)
            return
        request.ended = self._time.now
        request.answered = not shed


def _time_out_baseline(request: SimulatedRequest) -> None:
    if request.ended is None:
        request.ended = request.deadline


class DispatcherNode:
    """A node that uses the dispatcher of ``pewtertack.routing``, as the proxy does."""

    def __init__(
        self,
        time: VirtualTime,
        backends: Sequence[SimulatedBackend],
        zone: str,
        settings: ResolvedService,
        random: Random,
    ) -> None:
        self._time = time
        self._backends = {backend.name: backend for backend in backends}
        self._settings = settings
        self._dispatcher = Dispatcher(random)
        self._dispatcher.use_zone(zone)
        listed = (
            Machine(backend.name, MachineRole.BACKEND, backend.zone, backend.name, SERVICE)
            for backend in backends
        )
        self._dispatcher.use_machines(MachineList(1, tuple(listed)), 0.0)

    def begin(self, request: SimulatedRequest) -> None:
        """Submit the first attempt of a request."""
        route = ROUTES[request.profile.work_class]
        self._submit(request, Ticket(route, self._settings, request.deadline))

    def _submit(self, request: SimulatedRequest, ticket: Ticket) -> None:
        try:
            self._dispatcher.submit(ticket, self._time.now)
        except RequestFailedError:
            request.ended = self._time.now
            return
        if ticket.backend is not None:
            self._attempt(request, ticket)
            return
        ticket.wake = lambda: self._time.at(
            self._time.now, lambda: self._handle_wake(request, ticket)
        )
        self._check_waiting(ticket)

    def _check_waiting(self, ticket: Ticket) -> None:
        if ticket.backend is None and ticket.refusal is None:
            check_at = self._dispatcher.check(ticket, self._time.now)
            self._time.at(check_at, lambda: self._check_waiting(ticket))

    def _handle_wake(self, request: SimulatedRequest, ticket: Ticket) -> None:
        if ticket.refusal is not None:
            request.ended = self._time.now
        else:
            self._attempt(request, ticket)

    def _attempt(self, request: SimulatedRequest, ticket: Ticket) -> None:
        assert ticket.backend is not None
        request.attempts += 1
        backend = self._backends[ticket.backend.name]
        job = Job(request, lambda shed, report: self._handle_reply(request, ticket, shed, report))
        backend.submit(job)
        self._time.at(request.deadline, lambda: self._time_out(request, ticket, backend, job))

    def _time_out(
        self, request: SimulatedRequest, ticket: Ticket, backend: SimulatedBackend, job: Job
    ) -> None:
        if not ticket.finished:
            backend.cancel(job)
            request.ended = self._time.now
            self._dispatcher.finish(ticket, self._time.now, AttemptResult.TIMED_OUT)

    def _handle_reply(
        self, request: SimulatedRequest, ticket: Ticket, shed: bool, report: LoadReport
    ) -> None:
        if ticket.finished:
            return
        now = self._time.now
        self._dispatcher.note_answer(ticket, now, report, leaving=False)
        self._dispatcher.finish(ticket, now, AttemptResult.SHED if shed else AttemptResult.ANSWERED)
        if not shed:
            request.ended = now
            request.answered = True
            return
        retry = self._dispatcher.retry(ticket, BackendShedError("shed"), now, replayable=True)
        if retry is None:
            request.ended = now
        else:
            self._submit(request, retry)
