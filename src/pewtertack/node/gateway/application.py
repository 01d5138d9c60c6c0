"""The gateway's ASGI application: requests of other nodes for the back end beside this one."""

from __future__ import annotations

import math
from collections.abc import Callable

import msgspec

from pewtertack.core.machines import Machine, MachineList, MachineRole, MachineState
from pewtertack.node.counting import MetricsRegistry
from pewtertack.node.crash_reporter import CrashReporter
from pewtertack.node.crash_watch import (
    BrokenExchange,
    CrashWatch,
    fingerprints_of,
    nobody_listens,
)
from pewtertack.node.gateway.forwarding import GatewayForwarding, GatewayParts, load_headers
from pewtertack.node.gateway.hop import (
    PROBE_ANSWERED,
    WITHDRAW,
    HopRequest,
    failure_header,
    for_gateway_alone,
    read_hop,
)
from pewtertack.node.gateway.metrics import GatewayMetrics
from pewtertack.node.http.cycle import Scope
from pewtertack.node.http.framing import RawHeaders
from pewtertack.node.proxy.answers import Receive, Send, send_failure
from pewtertack.node.proxy.body import CallerGoneError
from pewtertack.node.proxy.edge import NODE_EDGE, EdgeHeaders
from pewtertack.node.proxy.exchange import TruncatedAnswerError
from pewtertack.node.proxy.headers import RequestHead, read_head
from pewtertack.node.proxy.in_flight import RequestHolder
from pewtertack.node.proxy.request_log import GatewayLog, RecordEvent, ignore_event
from pewtertack.node.proxy.upstream import ConnectionStore
from pewtertack.routing.admission import Admission
from pewtertack.routing.deadlines import deadline_of
from pewtertack.routing.outcomes import (
    BackendGoneError,
    BackendUnreachableError,
    DrainingError,
    InternalError,
    NotRunError,
    RequestFailedError,
)
from pewtertack.settings import Settings

DEFAULT_SLOTS = 6
"""Slots of a back end of which the machine list does not tell them yet."""
STOP_MARGIN = 2.0
"""A stopping gateway takes requests whose mean time fits so often before the stop."""
LONGEST_TIME = 3600.0
"""Seconds that a request without a deadline may take; proxies always send one."""


class _Incarnation(msgspec.Struct):
    """One back end that has lived at the address beside this node."""

    admission: Admission
    leaving: bool = False
    """Said to leave, or replaced at its address; for good."""
    listed: bool = True

    @property
    def takes_work(self) -> bool:
        """Whether requests may still be sent to it."""
        return self.listed and not self.leaving

    def hand_back_waiting(self) -> None:
        """Have what waits for a back end that takes no more work served elsewhere."""
        if not self.takes_work:
            self.admission.refuse_all(_gone)


class GatewayApplication(RequestHolder):
    """Admits requests for one address, whichever incarnation of a back end lives there.

    An ASGI 3 application. All methods are called in the event loop's thread.

    Args:
        clock: monotonic time in seconds.
        address: ``ip:port`` of the back end beside this node.
        edge: header names of the back end.
        log: receives events of the 6xx numbers.
        registry: where the metrics are registered; ``None`` keeps none.
        reporter: what the node knows of requests that end back ends.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        address: str,
        edge: EdgeHeaders,
        log: RecordEvent = ignore_event,
        registry: MetricsRegistry | None = None,
        reporter: CrashReporter | None = None,
    ) -> None:
        self._clock = clock
        self._address = address
        self._log = GatewayLog(log, clock)
        self._metrics = GatewayMetrics(registry or MetricsRegistry())
        super().__init__(ConnectionStore(clock))
        self._reporter = reporter or CrashReporter()
        self._backend_down = False
        """Whether nobody listened at the back end's address when it was last needed."""
        self._parts = GatewayParts(
            clock,
            self.connections,
            edge,
            address,
            self._log,
            self._metrics,
            CrashWatch(self._note_crash),
            self._reporter,
            self.requests,
        )
        self._incarnations: dict[str, _Incarnation] = {}
        self._stops_at = math.inf

    def use_settings(self, settings: Settings) -> None:
        """Serve another address from now on, if the settings name another."""
        address = str(settings.backend.address)
        if settings.backend.address is None or address == self._address:
            return
        self._address = address
        self._parts = msgspec.structs.replace(self._parts, address=address)

    def use_machines(self, machines: MachineList) -> None:
        """Learn which back ends live, leave or have gone at the address."""
        listed = {
            machine.name: machine
            for machine in machines.machines
            if machine.role is MachineRole.BACKEND and machine.address == self._address
        }
        for name, incarnation in list(self._incarnations.items()):
            incarnation.listed = name in listed
        for name, machine in listed.items():
            self._learn(name, machine)
        for incarnation in self._incarnations.values():
            incarnation.hand_back_waiting()

    def _learn(self, name: str, machine: Machine) -> None:
        incarnation = self._incarnation(name)
        incarnation.admission.slots = machine.slots or DEFAULT_SLOTS
        incarnation.leaving |= machine.state is MachineState.LEAVING

    def _incarnation(self, name: str) -> _Incarnation:
        found = self._incarnations.get(name)
        if found is None:
            found = self._incarnations[name] = _Incarnation(Admission(DEFAULT_SLOTS))
        return found

    def start_leaving(self, seconds: float) -> None:
        """Take only requests that end well before the stop; others find another gateway."""
        self.leaving = True
        self._stops_at = self._clock() + seconds

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request (ASGI entry point)."""
        own = for_gateway_alone(scope["headers"])
        if own is not None:
            await self._answer_own(send, *own)
            return
        with self.requests.one():
            await self._serve(scope, receive, send)

    def _note_crash(self, backend: str, broken: tuple[BrokenExchange, ...]) -> None:
        """The back end has ended; one that was leaving may have done so by plan."""
        self._backend_down = True
        if not self._incarnation(backend).takes_work:
            return
        self._log.crashed(backend, broken)
        self._metrics.note_crashed()
        self._reporter.report_crash(fingerprints_of(broken))

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        head = RequestHead()
        request: HopRequest | None = None
        try:
            head = read_head(scope["headers"], NODE_EDGE)
            request = read_hop(scope["headers"])
            await self._forward(scope, receive, send, head, request)
        except RequestFailedError as error:
            load = self._load_of(request)
            backend = request.backend if request is not None else ""
            told = load[0][1].decode() if load else ""
            self._log.refused(head.request_id, backend, error, told)
            self._metrics.note_refused(error.code, error.offered)
            await _refuse(send, error, head, load)

    async def _answer_own(self, send: Send, name: bytes, value: bytes) -> None:
        """Do what another node asks of the gateway itself."""
        if name == WITHDRAW:
            await self.requests.withdraw_one(value.decode("latin-1"))
        elif self.leaving or self.requests.draining:
            error: NotRunError = DrainingError("the node beside the back end is stopping")
            await _refuse(send, error, RequestHead(), [])
            return
        elif await self._is_backend_down():
            error = BackendUnreachableError("nobody listens at the back end's address")
            await _refuse(send, error, RequestHead(), [])
            return
        await send({"type": "http.response.start", "status": PROBE_ANSWERED, "headers": []})
        await send({"type": "http.response.body", "body": b""})

    async def _is_backend_down(self) -> bool:
        """Ask for a back end that had ended whether it is back, so that no request need to."""
        self._backend_down = self._backend_down and await nobody_listens(self._address)
        return self._backend_down

    def _load_of(self, request: HopRequest | None) -> RawHeaders:
        found = self._incarnations.get(request.backend) if request is not None else None
        return load_headers(found.admission) if found is not None else []

    async def _forward(
        self, scope: Scope, receive: Receive, send: Send, head: RequestHead, request: HopRequest
    ) -> None:
        incarnation = self._admit(request)
        now = self._clock()
        deadline = deadline_of(now, head.deadline, LONGEST_TIME)
        forwarding = GatewayForwarding(
            self._parts, incarnation.admission, scope, receive, send, head, request, deadline
        )
        try:
            await forwarding.run()
        except BackendGoneError:
            incarnation.leaving = True
            incarnation.hand_back_waiting()
            raise
        except BackendUnreachableError:
            self._backend_down = True
            raise
        except RequestFailedError:
            raise
        except (CallerGoneError, TruncatedAnswerError):
            pass  # the server cuts a connection whose answer was left incomplete
        except Exception:
            if forwarding.status == 0:
                await _refuse(send, InternalError("unexpected error"), head, [])
            raise  # the server logs it and closes the connection

    def _admit(self, request: HopRequest) -> _Incarnation:
        incarnation = self._incarnation(request.backend)
        if self.requests.draining or not self._ends_in_time(incarnation, request):
            raise _not_offered(DrainingError("the node beside the back end is stopping"))
        if not incarnation.takes_work:
            raise _gone()
        return incarnation

    def _ends_in_time(self, incarnation: _Incarnation, request: HopRequest) -> bool:
        """Tell whether the request will most likely have ended when the node stops."""
        needed = incarnation.admission.expected_time(request.route) or request.objective
        return self._clock() + needed * STOP_MARGIN < self._stops_at


def _gone() -> BackendGoneError:
    error = BackendGoneError("the back end is leaving or gone")
    error.offered = False
    return error


def _not_offered(error: RequestFailedError) -> RequestFailedError:
    error.offered = False
    return error


async def _refuse(
    send: Send, error: RequestFailedError, head: RequestHead, load: RawHeaders
) -> None:
    headers = [failure_header(error), *load]
    await send_failure(send, error, head.request_id, NODE_EDGE, headers)
