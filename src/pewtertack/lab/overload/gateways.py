"""Two-node forwarding in virtual time: real choice, admission and retry decisions.

Nodes drive ``pewtertack.routing.dispatcher`` as the proxy does, gateways drive
``pewtertack.routing.admission``; only the network and the back ends' work are simulated.
"""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from pewtertack.core.configuration.resolved import ResolvedService
from pewtertack.core.machines import Machine, MachineList, MachineRole
from pewtertack.lab.overload.nodes import ROUTES
from pewtertack.lab.overload.virtual_backends import NETWORK_DELAY, VirtualTime
from pewtertack.lab.overload.workload import SERVICE, SimulatedRequest, route_of
from pewtertack.routing.admission import Admission
from pewtertack.routing.admission_ticket import AdmissionTicket
from pewtertack.routing.attempt_results import AttemptResult
from pewtertack.routing.backend import LoadReport
from pewtertack.routing.dispatcher import Dispatcher
from pewtertack.routing.outcomes import GatewayRefusedError, NotRunError, RequestFailedError
from pewtertack.routing.policies import DEFAULT_POLICIES, Policies
from pewtertack.routing.queueing import Ticket

CLASS_ORDER = tuple(ROUTES)


class GatewayJob:
    """One attempt: a sender's ticket and the place that the gateway gives it."""

    __slots__ = ("closed", "node", "place", "request", "ticket")

    def __init__(self, node: GatewayNode, request: SimulatedRequest, ticket: Ticket) -> None:
        self.node = node
        self.request = request
        self.ticket = ticket
        now = node.time.now
        rank = (CLASS_ORDER.index(request.profile.work_class), 0)
        objective = request.began + ticket.route.objective
        self.place = AdmissionTicket(
            ticket.route.name, rank, objective, request.deadline, ticket.wait_policy
        )
        self.place.submitted_at = now
        self.closed = False
        """Whether its caller has left, or its place has ended."""


class SimulatedGateway:
    """A back end with the gateway beside it, which admits exactly."""

    __slots__ = (
        "admission",
        "counted_until",
        "name",
        "slowness",
        "time",
        "useful_work",
        "waits",
        "zone",
    )

    def __init__(
        self,
        time: VirtualTime,
        name: str,
        zone: str,
        slots: int,
        policies: Policies = DEFAULT_POLICIES,
    ) -> None:
        self.time = time
        self.name = name
        self.zone = zone
        self.admission = Admission(slots, policies=policies)
        self.slowness = 1.0
        """So many times its work a request takes that starts now."""
        self.useful_work = 0.0
        self.counted_until = float("inf")
        self.waits: list[float] = []

    def submit(self, job: GatewayJob) -> None:
        """Take in a job of a node after the network's delay."""
        self.time.at(self.time.now + NETWORK_DELAY, lambda: self._arrive(job))

    def cancel(self, job: GatewayJob) -> None:
        """Close the exchange: the job's place goes to the next that waits."""
        if not job.closed:
            job.closed = True
            self.admission.withdraw(job.place)
            if job.place.granted:
                self.admission.finish(job.place, self.time.now, answered=False)

    def _arrive(self, job: GatewayJob) -> None:
        if job.closed:
            return
        job.place.wake = lambda: self._woken(job)
        try:
            self.admission.submit(job.place, self.time.now)
        except NotRunError as error:
            self._reply(job, error)
            return
        if job.place.granted:
            self._start(job)
        else:
            self._look(job)

    def _look(self, job: GatewayJob) -> None:
        """Refuse a waiting job once its time is over, as the gateway's timer does."""
        if job.closed or job.place.granted or job.place.refusal is not None:
            return
        self.admission.recheck(job.place, self.time.now)
        if job.place.refusal is None:
            self.time.at(self.admission.next_check_at(job.place), lambda: self._look(job))

    def _woken(self, job: GatewayJob) -> None:
        if job.place.refusal is not None:
            self._reply(job, job.place.refusal)
        else:
            self._start(job)

    def _start(self, job: GatewayJob) -> None:
        self.waits.append(job.place.queued_seconds)
        job.request.offered_at = self.time.now
        ends = self.time.now + job.request.work * self.slowness
        cut = job.request.deadline
        self.time.at(min(ends, cut), lambda: self._finish(job, answered=ends <= cut))

    def _finish(self, job: GatewayJob, answered: bool) -> None:
        if job.closed:
            return
        job.closed = True
        now = self.time.now
        self.admission.finish(job.place, now, answered)
        if answered and now <= self.counted_until:
            self.useful_work += job.request.work
        if answered:
            self._reply(job, None)
        else:
            job.node.note_timeout(job)

    def _reply(self, job: GatewayJob, error: NotRunError | None) -> None:
        job.closed = True
        report = LoadReport(self.admission.load, self.admission.slots)
        answer_at = self.time.now + NETWORK_DELAY
        self.time.at(answer_at, lambda: job.node.replied(job, error, report))


class GatewayNode:
    """A proxy that decides by ``pewtertack.routing`` among back ends with gateways."""

    __slots__ = ("_dispatcher", "_gateways", "_jobs", "_settings", "time")

    def __init__(
        self,
        time: VirtualTime,
        gateways: Sequence[SimulatedGateway],
        zone: str,
        settings: ResolvedService,
        random: Random,
        policies: Policies = DEFAULT_POLICIES,
    ) -> None:
        self.time = time
        self._gateways = {gateway.name: gateway for gateway in gateways}
        self._jobs: dict[SimulatedRequest, GatewayJob] = {}
        self._settings = settings
        self._dispatcher = Dispatcher(random, policies=policies)
        self._dispatcher.use_zone(zone)
        listed = (
            Machine(
                gateway.name,
                MachineRole.BACKEND,
                gateway.zone,
                gateway.name,
                SERVICE,
                gateway=gateway.name,
                slots=gateway.admission.slots,
            )
            for gateway in gateways
        )
        self._dispatcher.use_machines(MachineList(1, tuple(listed)), 0.0)

    def begin(self, request: SimulatedRequest) -> None:
        """Serve a caller's request."""
        ticket = Ticket(route_of(request.profile), self._settings, request.deadline)
        ticket.caller_deadline = request.deadline
        self._submit(request, ticket)

    def cancel(self, request: SimulatedRequest) -> None:
        """The caller has left: end its request wherever it is."""
        job = self._jobs.pop(request, None)
        request.end(self.time.now)
        if job is not None and not job.ticket.finished:
            assert job.ticket.backend is not None
            self._gateways[job.ticket.backend.name].cancel(job)
            self._dispatcher.finish(job.ticket, self.time.now, AttemptResult.CANCELLED)

    def _submit(self, request: SimulatedRequest, ticket: Ticket) -> None:
        try:
            self._dispatcher.submit(ticket, self.time.now)
        except RequestFailedError as error:
            self._dispatcher.note_failed(ticket.route.name, self.time.now)
            request.end(self.time.now, retry_after=error.retry_after)
            return
        assert ticket.backend is not None, "a proxy queues nothing where gateways admit"
        request.attempts += 1
        job = self._jobs[request] = GatewayJob(self, request, ticket)
        self._gateways[ticket.backend.name].submit(job)

    def note_timeout(self, job: GatewayJob) -> None:
        """The deadline passed while the back end was at work."""
        self._jobs.pop(job.request, None)
        job.request.end(self.time.now)
        self._dispatcher.finish(job.ticket, self.time.now, AttemptResult.TIMED_OUT)

    def replied(self, job: GatewayJob, error: NotRunError | None, report: LoadReport) -> None:
        """An answer or a refusal has come back."""
        now = self.time.now
        if job.ticket.finished:
            return
        self._jobs.pop(job.request, None)
        job.ticket.queued_seconds = job.place.queued_seconds if error is None else 0.0
        self._dispatcher.note_answer(job.ticket, now, report, leaving=False)
        end = AttemptResult.ANSWERED if error is None else AttemptResult.REFUSED
        self._dispatcher.finish(job.ticket, now, end)
        if error is None:
            job.request.end(now, answered=True)
            return
        refusal = GatewayRefusedError(error.message, error.retry_after, error.code)
        following = self._dispatcher.decide_retry(job.ticket, refusal, now, replayable=True).ticket
        if following is None:
            self._dispatcher.note_failed(job.ticket.route.name, now)
            job.request.end(now, retry_after=error.retry_after)
        else:
            self._submit(job.request, following)
