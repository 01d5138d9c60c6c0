"""Headers that nodes add to requests and responses on the hop between proxy and gateway.

A proxy forwards the head and body that its caller sent, with ``NODE_EDGE``'s names for request
id and deadline and with the headers below. A gateway responds with the back end's response or
with a failure of its own; only the latter carries ``FAILURE``.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import TYPE_CHECKING

import msgspec

from pewtertack.core.configuration.resolved import DEFAULT_CRASH_LIMIT, ResolvedRoute, WorkClass
from pewtertack.node.http.messages import OutgoingRequest
from pewtertack.node.proxy.edge import NODE_EDGE
from pewtertack.routing.executions import Rank
from pewtertack.routing.outcomes import (
    BackendCrashedError,
    BackendFailedError,
    BackendHungError,
    BackendShedError,
    BackendUnreachableError,
    DeadlineExceededError,
    GatewayRefusedError,
    InvalidRequestError,
    Outcome,
    RequestEndsBackendsError,
    RequestFailedError,
)
from pewtertack.routing.patience import WaitPolicy

if TYPE_CHECKING:
    from pewtertack.routing.rate_reports import RateReport

Headers = list[tuple[bytes, bytes]]

BACKEND = b"x-pewtertack-backend"
"""Name of the back end that the proxy has chosen."""
SERVICE = b"x-pewtertack-service"
ROUTE = b"x-pewtertack-route"
RANK = b"x-pewtertack-rank"
"""``<class>.<priority>``: the precedence in the gateway's queue; smaller goes first."""
OBJECTIVE = b"x-pewtertack-objective-ms"
"""Milliseconds left until the route's latency objective is missed."""
WAIT_POLICY = b"x-pewtertack-lateness"
"""Wait policy (``WaitPolicy``): what to do with the request if it would have to wait."""
CALLER_SERVICE = b"x-pewtertack-caller-service"
CRASH_LIMIT = b"x-pewtertack-crash-limit"
"""The route's ``crash_limit``, sent where it differs from ``DEFAULT_CRASH_LIMIT``."""
REPORT_HANGS = b"x-pewtertack-elsewhere"
"""Present if the request may be sent to another back end when this one hangs on it. The gateway
then reports a hang with ``102 Processing``, and the sender decides at that moment."""
NESTED = b"x-pewtertack-within"
"""Present if the proxy takes the request for a nested call, made by a back end while it runs
another request. The rank is then the more urgent one of its own and that of the outer request."""
INCARNATION = b"x-pewtertack-life"
"""``Machine.started_at`` of the back end as the proxy knows it, where the platform provides it. A
gateway that knows only an earlier incarnation must not report this one as having left."""
SENDER_STOPS_IN = b"x-pewtertack-gone-in-ms"
"""Present if the proxy's node is shutting down: milliseconds until it stops relaying responses."""
BUFFERS_START = b"x-pewtertack-holds-back"
"""Present if the proxy buffers the start of a long response (``Exchange.buffers_start``). If the
response breaks off within that start, the proxy tries another gateway or sends its caller a
failure; the caller's connection is not cut."""
NO_ALTERNATIVE = b"x-pewtertack-only-here"
"""Present with ``BUFFERS_START`` if the proxy would not get the response from another gateway: no
other back end may take the request, its body cannot be sent again, or no retry is left. The
gateway then does not hand the request back when its own node shuts down; at the end of that
shutdown the operating system is given whatever the link has not carried."""
KNOWN_RATE = b"x-pewtertack-known-rate"
"""Present if the proxy's node knows of a limit of requests a second that the back end has named
(``RateReport``): the limit and the milliseconds since the proxy last heard of it. A gateway that
has read no answer of the back end yet, as after a restart, uses it."""
FAILURE = b"x-pewtertack-failure"
"""In a response: ``<code> <outcome> <offered>`` of the gateway's own failure."""
QUEUED = b"x-pewtertack-queued-ms"
"""In a response: milliseconds that the request waited at the gateway."""

ORIGIN = b"x-pewtertack-origin"
"""In a response: ``Origin`` of the route's requests, if the sender needs it."""

RATE = b"x-pewtertack-rate"
"""In a response: the limit of requests a second that the back end names, if any, and the
milliseconds that one more request would wait for it (``RateReport``)."""

LINK = b"x-pewtertack-link-ms"
"""In a response of a gateway that paces long ones: ``<ahead>/<own>``, the time in which its link
drains the bytes queued now, and the time that a response of the route takes on an idle link
(``pewtertack.routing.link_words``). Absent if both are 0."""

PROBE = b"x-pewtertack-probe"
"""In a request to the gateway itself: asks whether it accepts requests."""
WITHDRAW = b"x-pewtertack-withdraw"
"""In a request to the gateway itself: the id of one of the sender's requests, to be refused if it
is still waiting. The refusal is sent as the response to that other request."""

FINISH_BY = b"x-pewtertack-leave-by"
"""In a request to the gateway itself: milliseconds and request ids. The sender's node is shutting
down and relays the responses to these requests for that much longer."""
MAX_IDS = 100
"""Request ids in one ``FINISH_BY`` header; further ids are sent in further requests."""

ID_SEPARATOR = "\t"
"""Separates the time and the ids in ``FINISH_BY``. An id may contain spaces, but only printable
characters."""

GATEWAY_NAMES = frozenset({PROBE, WITHDRAW, FINISH_BY})
"""Headers that address a request to the gateway itself; only nodes send them."""
NEEDED_NAMES = frozenset({BACKEND, SERVICE, ROUTE, RANK, OBJECTIVE, WAIT_POLICY, CALLER_SERVICE})
REQUEST_NAMES = NEEDED_NAMES | {
    CRASH_LIMIT,
    REPORT_HANGS,
    SENDER_STOPS_IN,
    BUFFERS_START,
    INCARNATION,
    NO_ALTERNATIVE,
    NESTED,
    KNOWN_RATE,
}
RESPONSE_NAMES = frozenset({FAILURE, QUEUED, ORIGIN, LINK, RATE})
OFFERED = "offered"
NOT_OFFERED = "not-offered"
PROBE_ANSWERED = 204
"""Status of the response to a request that is addressed to the gateway itself."""
WAIT_POLICIES = {item.value: item for item in WaitPolicy}
MAX_HEADER_LENGTH = 256
"""Characters in the value of a hop header."""
_CLASS_RANKS = {work_class: rank for rank, work_class in enumerate(WorkClass)}


class HopRequest(msgspec.Struct, frozen=True):
    """What a proxy sends the gateway about a request. ``objective`` is in seconds from now."""

    backend: str
    service: str
    route: str
    rank: tuple[int, int]
    objective: float
    wait_policy: WaitPolicy
    caller_service: str
    crash_limit: int = DEFAULT_CRASH_LIMIT
    started_at: int = 0
    """``Machine.started_at`` of the back end as the proxy knows it, 0 if it was not sent."""
    report_hangs: bool = False
    """Whether the sender wants to know if the back end hangs on the request."""
    nested: bool = False
    """Whether the proxy takes it for a call that a back end makes while it runs another request."""
    sender_stops_in: float = math.inf
    """Seconds until the proxy's node stops relaying responses; infinite if it is not stopping."""
    buffers_start: bool = False
    """Whether the proxy buffers the start of the response, which may break off until then."""
    no_alternative: bool = False
    """Whether the proxy could not get the response from another gateway if this one broke off."""
    known_rate: RateReport | None = None
    """What the proxy's node knows of the back end's limit of requests a second."""
    invalid_stop_time: bool = False
    """Whether ``SENDER_STOPS_IN`` was invalid and therefore ignored."""


def hop_headers(
    route: ResolvedRoute,
    backend: str,
    objective: float,
    wait_policy: WaitPolicy,
    caller: str,
    nested: bool = False,
    local_rank: Rank | None = None,
) -> Headers:
    """Return the hop headers of a request to the gateway of ``backend``.

    ``local_rank`` is the rank of the requests that the proxy's local back end runs; a nested call
    carries it if it is more urgent than the route's own.
    """
    work_class, priority = _CLASS_RANKS[route.work_class], route.priority
    if nested and local_rank is not None:
        work_class, priority = min((work_class, priority), local_rank)
    rank = f"{work_class}.{priority}"
    custom_limit = route.crash_limit != DEFAULT_CRASH_LIMIT
    return [
        *([(NESTED, b"1")] if nested else ()),
        *([(CRASH_LIMIT, b"%d" % route.crash_limit)] if custom_limit else ()),
        (BACKEND, backend.encode()),
        (SERVICE, route.service.encode()),
        (ROUTE, route.name.encode()),
        (RANK, rank.encode()),
        (OBJECTIVE, b"%d" % max(0, int(objective * 1000))),
        (WAIT_POLICY, wait_policy.encode()),
        (CALLER_SERVICE, caller.encode()),
    ]


def read_hop(headers: Headers) -> HopRequest:
    """Parse the headers that ``hop_headers`` returned.

    Raises:
        InvalidRequestError: a header is missing or invalid.
    """
    values = {name: value.decode("latin-1") for name, value in headers if name in REQUEST_NAMES}
    # ``map`` with built-in functions makes no Python-level calls; a request has 15 headers here.
    if not values.keys() >= NEEDED_NAMES or max(map(len, values.values())) > MAX_HEADER_LENGTH:
        raise InvalidRequestError("the request does not come from a node of the fleet")
    work_class, _, priority = values[RANK].partition(".")
    objective = values[OBJECTIVE]
    crash_limit = values.get(CRASH_LIMIT, str(DEFAULT_CRASH_LIMIT))
    incarnation = values.get(INCARNATION, "0")
    sender_stops_in = (
        _parse_milliseconds_left(values[SENDER_STOPS_IN]) if SENDER_STOPS_IN in values else math.inf
    )
    numbers = (work_class, priority, objective, crash_limit, incarnation)
    if not all(map(str.isdecimal, numbers)):
        raise InvalidRequestError("the request's rank, objective or limit is no number")
    wait_policy = WAIT_POLICIES.get(values[WAIT_POLICY])
    if wait_policy is None:
        raise InvalidRequestError("the request's lateness is none that is known")
    return HopRequest(
        backend=values[BACKEND],
        service=values[SERVICE],
        route=values[ROUTE],
        rank=(int(work_class), int(priority)),
        objective=int(objective) / 1000,
        wait_policy=wait_policy,
        caller_service=values[CALLER_SERVICE],
        crash_limit=int(crash_limit),
        started_at=int(incarnation),
        report_hangs=REPORT_HANGS in values,
        nested=NESTED in values,
        sender_stops_in=sender_stops_in,
        buffers_start=BUFFERS_START in values,
        no_alternative=NO_ALTERNATIVE in values,
        known_rate=_parse_known_rate(values[KNOWN_RATE]) if KNOWN_RATE in values else None,
        invalid_stop_time=SENDER_STOPS_IN in values and sender_stops_in == math.inf,
    )


def _parse_known_rate(text: str) -> RateReport | None:
    from pewtertack.routing.rate_reports import parse_rate_report

    return parse_rate_report(text)


def format_milliseconds_left(seconds: float) -> str:
    """Return the value of ``SENDER_STOPS_IN``: at least 1, as receivers ignore 0 as invalid."""
    return str(max(1, int(seconds * 1000)))


def _parse_milliseconds_left(text: str) -> float:
    """Return a number of milliseconds in seconds, or infinity if the text is invalid."""
    if not text.isdecimal() or int(text) == 0:
        return math.inf
    return int(text) / 1000


def gateway_only_header(headers: Headers) -> tuple[bytes, bytes] | None:
    """Return the header that addresses a request to the gateway itself, if there is one."""
    for item in headers:
        if item[0] in GATEWAY_NAMES:
            return item
    return None


def withdrawal_request(gateway: str, request_id: str) -> OutgoingRequest:
    """Return the request that withdraws another one if that still waits at the gateway."""
    headers = [(b"host", gateway.encode()), (WITHDRAW, request_id.encode())]
    return OutgoingRequest(b"GET", b"/", headers)


def group_request_ids(ids: Sequence[str]) -> list[Sequence[str]]:
    """Split the ids into groups that fit into one ``FINISH_BY`` header each."""
    return [ids[start : start + MAX_IDS] for start in range(0, len(ids), MAX_IDS)]


def finish_by_request(gateway: str, seconds: float, ids: Sequence[str]) -> OutgoingRequest:
    """Return the request that tells a gateway how long responses to ``ids`` are still relayed."""
    text = ID_SEPARATOR.join([format_milliseconds_left(seconds), *ids])
    headers = [(b"host", gateway.encode()), (FINISH_BY, text.encode("latin-1"))]
    return OutgoingRequest(b"GET", b"/", headers)


def parse_finish_by(value: bytes) -> tuple[float, frozenset[str]]:
    """Return the seconds and ids of a ``FINISH_BY`` header; infinity and none if invalid."""
    milliseconds, *ids = value.decode("latin-1").split(ID_SEPARATOR)
    seconds = _parse_milliseconds_left(milliseconds)
    return seconds, frozenset(ids) if seconds < math.inf else frozenset()


def failure_header(error: RequestFailedError) -> tuple[bytes, bytes]:
    """Return the header that marks a response as the gateway's own failure."""
    offered = OFFERED if error.reached_backend else NOT_OFFERED
    return FAILURE, f"{error.code} {error.outcome} {offered}".encode()


def error_from_failure(text: str, status: int, retry_after: float | None) -> RequestFailedError:
    """Return the proxy's error for the ``FAILURE`` header of a gateway."""
    code, _, rest = text.partition(" ")
    outcome, _, offered = rest.partition(" ")
    message = f"the gateway failed: {code}"
    if outcome != Outcome.NOT_RUN:
        if status == DeadlineExceededError.status:
            return DeadlineExceededError(message)
        if code == BackendHungError.code:
            return BackendHungError(message)
        if code == BackendCrashedError.code:
            return BackendCrashedError(message)
        return BackendFailedError(message)
    if offered == OFFERED:
        return BackendShedError(message, retry_after)
    if code == RequestEndsBackendsError.code:
        return RequestEndsBackendsError(message)
    if code == BackendUnreachableError.code:
        return BackendUnreachableError(message, retry_after)
    return GatewayRefusedError(message, retry_after, code)


__all__ = [
    "NODE_EDGE",
    "HopRequest",
    "failure_header",
    "error_from_failure",
    "hop_headers",
    "read_hop",
]
