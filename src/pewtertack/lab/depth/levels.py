"""Nodes of one level: by the real dispatcher, and the baseline with fixed retries."""

from __future__ import annotations

from random import Random

from pewtertack.core.configuration.resolved import ResolvedRoute, ResolvedService, WorkClass
from pewtertack.core.machines import Machine, MachineList, MachineRole
from pewtertack.lab.depth.backend import BackendRun, BackendWorld
from pewtertack.lab.depth.requests import (
    BROKEN_EXCHANGE,
    LATE,
    OK_STATUS,
    SUCCESS,
    Answer,
    Reply,
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

BACKENDS = 10
SLOTS = 30
ROUTE_TIMEOUT = 2.0
FIXED_ATTEMPTS = 2
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
        timeout=ROUTE_TIMEOUT,
        repeatable=repeatable,
        retry_limit=2,
        retry_budget=0.1,
        queue_limit=50,
        header_secrets={},
    )


SETTINGS = ResolvedService(SERVICE, SLOTS, 130, 1.0, 0.0, 5, 5.0)


class DispatcherLevel:
    """A level whose node decides by ``pewtertack.routing``, as the proxy does."""

    def __init__(
        self, world: BackendWorld, chosen_route: ResolvedRoute, random: Random, deepest: bool
    ) -> None:
        self.world = world
        self.route = chosen_route
        self.deepest = deepest
        self.dispatcher = Dispatcher(random)
        self.dispatcher.use_zone(ZONE)
        names = [f"b{index}" for index in range(BACKENDS)]
        listed = (Machine(name, MachineRole.BACKEND, ZONE, name, SERVICE) for name in names)
        self.dispatcher.use_machines(MachineList(1, tuple(listed)), 0.0)

    def call(self, request: TopRequest, header: str | None, answer: Answer) -> DispatcherCall:
        """Begin a call whose ``x-deadline-ms`` is ``header``."""
        request.deepest_calls += self.deepest
        call = DispatcherCall(self, request, header, answer)
        call.begin()
        return call


class DispatcherCall:
    """One request at one node: the steps of ``node.proxy.forwarding`` in virtual time."""

    def __init__(
        self, level: DispatcherLevel, request: TopRequest, header: str | None, answer: Answer
    ) -> None:
        self._level = level
        self._time = level.world.time
        self._request = request
        self._answer = answer
        self._deadline = deadline_of(self._time.now, header, level.route.timeout)
        self._ticket = Ticket(level.route, SETTINGS, self._deadline)
        self._run: BackendRun | None = None
        self._ended = False
        self._sent = False

    def begin(self) -> None:
        """Submit the first attempt; the deadline bounds all attempts."""
        self._time.at(self._deadline, self._time_out)
        self._submit()

    def cancel(self) -> None:
        """The caller has gone."""
        if not self._ended:
            self._ended = True
            self._leave(AttemptResult.CANCELLED)

    def _time_out(self) -> None:
        if not self._ended:
            self._leave(AttemptResult.TIMED_OUT)
            self._end(Reply(504, LATE.outcome, RETRIES_SPENT))

    def _leave(self, end: AttemptResult) -> None:
        if self._ticket.backend is None:
            self._level.dispatcher.withdraw(self._ticket)
            return
        self._level.dispatcher.finish(self._ticket, self._time.now, end)
        if self._run is not None:
            self._run.cancel()

    def _end(self, reply: Reply) -> None:
        self._ended = True
        self._answer(reply)

    def _submit(self) -> None:
        try:
            self._level.dispatcher.submit(self._ticket, self._time.now)
        except RequestFailedError as error:
            self._refuse(error)
            return
        if self._ticket.backend is not None:
            self._attempt()
            return
        self._ticket.wake = lambda: self._time.at(self._time.now, self._woken)
        self._look(self._ticket)

    def _look(self, ticket: Ticket) -> None:
        if not self._ended and ticket.backend is None and ticket.refusal is None:
            look_at = self._level.dispatcher.check(ticket, self._time.now)
            self._time.at(look_at, lambda: self._look(ticket))

    def _woken(self) -> None:
        if self._ended:
            return
        if self._ticket.refusal is not None:
            self._refuse(self._ticket.refusal)
        else:
            self._attempt()

    def _refuse(self, error: RequestFailedError) -> None:
        outcome = Outcome.UNKNOWN if self._sent else error.outcome
        self._end(Reply(error.status, outcome, RETRIES_SPENT))

    def _attempt(self) -> None:
        self._request.attempts += 1
        self._request.deepest_attempts += self._level.deepest
        header = format_deadline(self._time.now, self._deadline)
        self._run = BackendRun(self._level.world, self._request, header, self._replied)

    def _replied(self, reply: Reply) -> None:
        if self._ended:
            return
        now = self._time.now
        if reply.status == BROKEN_EXCHANGE:
            self._sent = True
            self._level.dispatcher.finish(self._ticket, now, AttemptResult.BROKEN)
            self._retry(BackendFailedError("the exchange broke"))
            return
        end = result_of_response(reply.status, reply.outcome, reply.retries)
        self._level.dispatcher.note_answer(self._ticket, now, None, leaving=False)
        self._level.dispatcher.finish(self._ticket, now, end)
        if end is AttemptResult.SHED:
            self._retry(BackendShedError("shed"))
        else:
            self._end(reply)

    def _retry(self, error: RequestFailedError) -> None:
        ticket = self._level.dispatcher.retry(self._ticket, error, self._time.now, replayable=True)
        if ticket is None or not self._request.may_go_on():
            self._refuse(error)
            return
        self._ticket = ticket
        self._submit()


class FixedLevel:
    """The baseline: two attempts on any failure, a timeout of its own, no deadline passed on."""

    def __init__(self, world: BackendWorld, deepest: bool) -> None:
        self.world = world
        self.deepest = deepest

    def call(self, request: TopRequest, header: str | None, answer: Answer) -> FixedCall:
        """Begin a call."""
        request.deepest_calls += self.deepest
        return FixedCall(self, request, answer)


class FixedCall:
    """One request at one node of the baseline."""

    def __init__(self, level: FixedLevel, request: TopRequest, answer: Answer) -> None:
        self._level = level
        self._request = request
        self._answer = answer
        self._tries = 0
        self._try()

    def cancel(self) -> None:
        """The baseline does not notice."""

    def _try(self) -> None:
        self._tries += 1
        number = self._tries
        time = self._level.world.time
        self._request.attempts += 1
        self._request.deepest_attempts += self._level.deepest
        BackendRun(self._level.world, self._request, None, lambda item: self._over(number, item))
        time.at(time.now + ROUTE_TIMEOUT, lambda: self._over(number, LATE))

    def _over(self, number: int, reply: Reply) -> None:
        if number != self._tries:
            return
        if reply.status == OK_STATUS:
            self._finish(SUCCESS)
        elif number < FIXED_ATTEMPTS and self._request.may_go_on():
            self._try()
        else:
            self._finish(Reply(reply.status or 502, reply.outcome))

    def _finish(self, reply: Reply) -> None:
        self._tries = FIXED_ATTEMPTS + 1
        self._answer(reply)
