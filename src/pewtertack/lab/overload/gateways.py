"""Forwarding through gateways in virtual time, with the real decisions.

Nodes choose back finishes_at and retry with ``pewtertack.routing.dispatcher`` as the proxy does,
gateways admit requests with ``pewtertack.routing.admission``. Only the network and the
execution by back finishes_at are simulated.
"""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from pewtertack.core.configuration.resolved import ResolvedService
from pewtertack.core.machines import Machine, MachineList, MachineRole
from pewtertack.lab.overload.nodes import ROUTES
from pewtertack.lab.overload.virtual_backends import NETWORK_DELAY_SECONDS, VirtualTime
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
    """One attempt: the ticket of the sender and the admission ticket of the gateway."""

    __slots__ = ("admission_ticket", "closed", "node", "request", "ticket")

    def __init__(self, node: GatewayNode, request: SimulatedRequest, ticket: Ticket) -> None:
        self.node = node
        self.request = request
        self.ticket = ticket
        now = node.time.now
        rank = (CLASS_ORDER.index(request.profile.work_class), 0)
        objective = request.began_at + ticket.route.objective
        self.admission_ticket = AdmissionTicket(
            ticket.route.name, rank, objective, request.deadline, ticket.wait_policy
        )
        self.admission_ticket.submitted_at = now
        self.closed = False
        """Whether the caller has cancelled the attempt, or the gateway has finished it."""


class SimulatedGateway:
    """A back end and its gateway, which admits as many requests as the back end has slots."""

    __slots__ = (
        "admission",
        "admitted_queue_seconds",
        "counted_until",
        "name",
        "slowness",
        "time",
        "useful_work",
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
        """Factor of the execution time of requests that start now."""
        self.useful_work = 0.0
        self.counted_until = float("inf")
        self.admitted_queue_seconds: list[float] = []

    def submit(self, job: GatewayJob) -> None:
        """Send a job from a node; it arrives after the network delay."""
        self.time.at(self.time.now + NETWORK_DELAY_SECONDS, lambda: self._arrive(job))

    def cancel(self, job: GatewayJob) -> None:
        """Cancel a job at once; its slot or queue position becomes free."""
        if not job.closed:
            job.closed = True
            self.admission.withdraw(job.admission_ticket)
            if job.admission_ticket.granted:
                self.admission.finish(job.admission_ticket, self.time.now, answered=False)

    def _arrive(self, job: GatewayJob) -> None:
        if job.closed:
            return
        job.admission_ticket.wake = lambda: self._handle_wake(job)
        try:
            self.admission.submit(job.admission_ticket, self.time.now)
        except NotRunError as error:
            self._reply(job, error)
            return
        if job.admission_ticket.granted:
            self._start(job)
        else:
            self._recheck_waiting(job)

    def _recheck_waiting(self, job: GatewayJob) -> None:
        """Recheck a waiting job until it is granted or refused, as the gateway's timer does."""
        if job.closed or job.admission_ticket.granted or job.admission_ticket.refusal is not None:
            return
        self.admission.recheck(job.admission_ticket, self.time.now)
        if job.admission_ticket.refusal is None:
            self.time.at(
                self.admission.next_check_at(job.admission_ticket),
                lambda: self._recheck_waiting(job),
            )

    def _handle_wake(self, job: GatewayJob) -> None:
        if job.admission_ticket.refusal is not None:
            self._reply(job, job.admission_ticket.refusal)
        else:
            self._start(job)

    def _start(self, job: GatewayJob) -> None:
        self.admitted_queue_seconds.append(job.admission_ticket.queued_seconds)
        job.request.execution_started_at = self.time.now
        finishes_at = self.time.now + job.request.work * self.slowness
        deadline = job.request.deadline
        self.time.at(
            min(finishes_at, deadline), lambda: self._finish(job, answered=finishes_at <= deadline)
        )

    def _finish(self, job: GatewayJob, answered: bool) -> None:
        if job.closed:
            return
        job.closed = True
        now = self.time.now
        self.admission.finish(job.admission_ticket, now, answered)
        if answered and now <= self.counted_until:
            self.useful_work += job.request.work
        if answered:
            self._reply(job, None)
        else:
            job.node.handle_timeout(job)

    def _reply(self, job: GatewayJob, error: NotRunError | None) -> None:
        job.closed = True
        report = LoadReport(self.admission.load, self.admission.slots)
        answer_at = self.time.now + NETWORK_DELAY_SECONDS
        self.time.at(answer_at, lambda: job.node.handle_reply(job, error, report))


class GatewayNode:
    """A proxy that uses ``pewtertack.routing`` to choose among back ends with gateways."""

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
        """Handle a request of a caller."""
        ticket = Ticket(route_of(request.profile), self._settings, request.deadline)
        ticket.caller_deadline = request.deadline
        self._submit(request, ticket)

    def cancel(self, request: SimulatedRequest) -> None:
        """End a request whose caller has left, and cancel its attempt."""
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
        assert ticket.backend is not None, (
            "a proxy does not queue requests for back ends with gateways"
        )
        request.attempts += 1
        job = self._jobs[request] = GatewayJob(self, request, ticket)
        self._gateways[ticket.backend.name].submit(job)

    def handle_timeout(self, job: GatewayJob) -> None:
        """End a request whose deadline passed during its execution."""
        self._jobs.pop(job.request, None)
        job.request.end(self.time.now)
        self._dispatcher.finish(job.ticket, self.time.now, AttemptResult.TIMED_OUT)

    def handle_reply(self, job: GatewayJob, error: NotRunError | None, report: LoadReport) -> None:
        """Handle a response or a refusal of a gateway; retry a refused request if allowed."""
        now = self.time.now
        if job.ticket.finished:
            return
        self._jobs.pop(job.request, None)
        job.ticket.queued_seconds = job.admission_ticket.queued_seconds if error is None else 0.0
        self._dispatcher.note_answer(job.ticket, now, report, leaving=False)
        end = AttemptResult.ANSWERED if error is None else AttemptResult.REFUSED
        self._dispatcher.finish(job.ticket, now, end)
        if error is None:
            job.request.end(now, answered=True)
            return
        refusal = GatewayRefusedError(error.message, error.retry_after, error.code)
        retry_ticket = self._dispatcher.decide_retry(
            job.ticket, refusal, now, replayable=True
        ).ticket
        if retry_ticket is None:
            self._dispatcher.note_failed(job.ticket.route.name, now)
            job.request.end(now, retry_after=error.retry_after)
        else:
            self._submit(job.request, retry_ticket)
