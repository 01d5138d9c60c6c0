"""Nodes of one level: one uses the real dispatcher, the baseline has fixed retries."""

from __future__ import annotations

from random import Random

from pewtertack.core.configuration.resolved import ResolvedRoute, ResolvedService, WorkClass
from pewtertack.core.machines import Machine, MachineList, MachineRole
from pewtertack.lab.depth.backend import BackendAttempt, LevelContext
from pewtertack.lab.depth.requests import (
    BROKEN_EXCHANGE,
    LATE,
    OK_STATUS,
    SUCCESS,
    Reply,
    ReplyHandler,
    TopRequest,
)
from pewtertack.routing.attempt_results import AttemptResult
from pewtertack.routing.deadlines import deadline_of, format_deadline
from pewtertack.routing.dispatcher import Dispatcher
from pewtertack.routing.outcomes import (
    RETRIES_SPENT,
    BackendFailedError,
    BackendShedError,
    Outcome,
    RequestFailedError,
)
from pewtertack.routing.queueing import Ticket
from pewtertack.routing.response_results import result_of_response

BACKEND_COUNT = 10
SLOTS_PER_BACKEND = 30
ROUTE_TIMEOUT_SECONDS = 2.0
MAX_BASELINE_ATTEMPTS = 2
SERVICE = "level"
ZONE = "zone"


def route(repeatable: bool) -> ResolvedRoute:
    """Return the route of every level, with the default retry settings."""
    return ResolvedRoute(
        name=SERVICE,
        service=SERVICE,
        hosts=(),
        path_prefix="/",
        methods=(),
        work_class=WorkClass.INTERACTIVE,
        timeout=ROUTE_TIMEOUT_SECONDS,
        repeatable=repeatable,
        retry_limit=2,
        retry_budget=0.1,
        queue_limit=50,
        header_secrets={},
    )


SERVICE_SETTINGS = ResolvedService(SERVICE, SLOTS_PER_BACKEND, 130, 1.0, 0.0, 5, 5.0)


class DispatcherLevel:
    """A level whose node uses the dispatcher of ``pewtertack.routing``, as the proxy does."""

    def __init__(
        self, context: LevelContext, route_settings: ResolvedRoute, random: Random, deepest: bool
    ) -> None:
        self.context = context
        self.route = route_settings
        self.deepest = deepest
        self.dispatcher = Dispatcher(random)
        self.dispatcher.use_zone(ZONE)
        names = [f"b{index}" for index in range(BACKEND_COUNT)]
        machines = (Machine(name, MachineRole.BACKEND, ZONE, name, SERVICE) for name in names)
        self.dispatcher.use_machines(MachineList(1, tuple(machines)), 0.0)

    def call(
        self, request: TopRequest, deadline_header: str | None, on_reply: ReplyHandler
    ) -> DispatcherCall:
        """Start a call with ``deadline_header`` as its ``x-deadline-ms``."""
        request.deepest_calls += self.deepest
        call = DispatcherCall(self, request, deadline_header, on_reply)
        call.begin()
        return call


class DispatcherCall:
    """One request at one node, handled in virtual time as in ``node.proxy.forwarding``."""

    def __init__(
        self,
        level: DispatcherLevel,
        request: TopRequest,
        deadline_header: str | None,
        on_reply: ReplyHandler,
    ) -> None:
        self._level = level
        self._time = level.context.time
        self._request = request
        self._on_reply = on_reply
        self._deadline = deadline_of(self._time.now, deadline_header, level.route.timeout)
        self._ticket = Ticket(level.route, SERVICE_SETTINGS, self._deadline)
        self._attempt_in_progress: BackendAttempt | None = None
        self._finished = False
        self._may_have_run = False

    def begin(self) -> None:
        """Submit the first attempt and start the timer of the deadline for all attempts."""
        self._time.at(self._deadline, self._time_out)
        self._submit()

    def cancel(self) -> None:
        """Cancel the request: its caller has left."""
        if not self._finished:
            self._finished = True
            self._release(AttemptResult.CANCELLED)

    def _time_out(self) -> None:
        if not self._finished:
            self._release(AttemptResult.TIMED_OUT)
            self._finish(Reply(504, LATE.outcome, RETRIES_SPENT))

    def _release(self, attempt_result: AttemptResult) -> None:
        if self._ticket.backend is None:
            self._level.dispatcher.withdraw(self._ticket)
            return
        self._level.dispatcher.finish(self._ticket, self._time.now, attempt_result)
        if self._attempt_in_progress is not None:
            self._attempt_in_progress.cancel()

    def _finish(self, reply: Reply) -> None:
        self._finished = True
        self._on_reply(reply)

    def _submit(self) -> None:
        try:
            self._level.dispatcher.submit(self._ticket, self._time.now)
        except RequestFailedError as error:
            self._refuse(error)
            return
        if self._ticket.backend is not None:
            self._attempt()
            return
        self._ticket.wake = lambda: self._time.at(self._time.now, self._handle_wake)
        self._check_waiting(self._ticket)

    def _check_waiting(self, ticket: Ticket) -> None:
        if not self._finished and ticket.backend is None and ticket.refusal is None:
            check_at = self._level.dispatcher.check(ticket, self._time.now)
            self._time.at(check_at, lambda: self._check_waiting(ticket))

    def _handle_wake(self) -> None:
        if self._finished:
            return
        if self._ticket.refusal is not None:
            self._refuse(self._ticket.refusal)
        else:
            self._attempt()

    def _refuse(self, error: RequestFailedError) -> None:
        outcome = Outcome.UNKNOWN if self._may_have_run else error.outcome
        self._finish(Reply(error.status, outcome, RETRIES_SPENT))

    def _attempt(self) -> None:
        self._request.attempts += 1
        self._request.deepest_attempts += self._level.deepest
        deadline_header = format_deadline(self._time.now, self._deadline)
        self._attempt_in_progress = BackendAttempt(
            self._level.context, self._request, deadline_header, self._handle_reply
        )

    def _handle_reply(self, reply: Reply) -> None:
        if self._finished:
            return
        now = self._time.now
        if reply.status == BROKEN_EXCHANGE:
            self._may_have_run = True
            self._level.dispatcher.finish(self._ticket, now, AttemptResult.BROKEN)
            self._retry(BackendFailedError("the exchange was interrupted"))
            return
        attempt_result = result_of_response(reply.status, reply.outcome, reply.retries)
        self._level.dispatcher.note_answer(self._ticket, now, None, leaving=False)
        self._level.dispatcher.finish(self._ticket, now, attempt_result)
        if attempt_result is AttemptResult.SHED:
            self._retry(BackendShedError("shed"))
        else:
            self._finish(reply)

    def _retry(self, error: RequestFailedError) -> None:
        ticket = self._level.dispatcher.retry(self._ticket, error, self._time.now, replayable=True)
        if ticket is None or not self._request.allow_attempt():
            self._refuse(error)
            return
        self._ticket = ticket
        self._submit()


class FixedRetryLevel:
    """The baseline: two attempts on any failure, its own timeout, and no deadline header."""

    def __init__(self, context: LevelContext, deepest: bool) -> None:
        self.context = context
        self.deepest = deepest

    def call(
        self,
        request: TopRequest,
        deadline_header: str | None,  # noqa: ARG002 (interface)
        on_reply: ReplyHandler,
    ) -> FixedRetryCall:
        """Start a call; ``deadline_header`` is ignored."""
        request.deepest_calls += self.deepest
        return FixedRetryCall(self, request, on_reply)


class FixedRetryCall:
    """One request at one node of the baseline."""

    def __init__(self, level: FixedRetryLevel, request: TopRequest, on_reply: ReplyHandler) -> None:
        self._level = level
        self._request = request
        self._on_reply = on_reply
        self._attempts = 0
        self._attempt()

    def cancel(self) -> None:
        """Do nothing: the baseline does not detect that its caller has left."""

    def _attempt(self) -> None:
        self._attempts += 1
        attempt_number = self._attempts
        time = self._level.context.time
        self._request.attempts += 1
        self._request.deepest_attempts += self._level.deepest
        BackendAttempt(
            self._level.context,
            self._request,
            None,
            lambda item: self._handle_end(attempt_number, item),
        )
        time.at(time.now + ROUTE_TIMEOUT_SECONDS, lambda: self._handle_end(attempt_number, LATE))

    def _handle_end(self, attempt_number: int, reply: Reply) -> None:
        if attempt_number != self._attempts:
            return
        if reply.status == OK_STATUS:
            self._finish(SUCCESS)
        elif attempt_number < MAX_BASELINE_ATTEMPTS and self._request.allow_attempt():
            self._attempt()
        else:
            self._finish(Reply(reply.status or 502, reply.outcome))

    def _finish(self, reply: Reply) -> None:
        self._attempts = MAX_BASELINE_ATTEMPTS + 1
        self._on_reply(reply)
