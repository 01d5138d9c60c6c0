"""Headers that two nodes of a fleet add to a request and its answer between them.

A proxy sends the request's head and body as its caller gave them, with
``NODE_EDGE``'s names for id and deadline and the names below. A gateway answers with the
back end's answer, or with its own failure: only the latter carries ``FAILURE``.
"""

from __future__ import annotations

import math
from collections.abc import Sequence

import msgspec

from pewtertack.core.configuration.resolved import DEFAULT_CRASH_LIMIT, ResolvedRoute, WorkClass
from pewtertack.node.http.messages import OutgoingRequest
from pewtertack.node.proxy.edge import NODE_EDGE
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
from pewtertack.routing.patience import Lateness
from pewtertack.routing.runs import Rank

Headers = list[tuple[bytes, bytes]]

BACKEND = b"x-pewtertack-backend"
"""Name of the back end that the proxy has chosen."""
SERVICE = b"x-pewtertack-service"
ROUTE = b"x-pewtertack-route"
RANK = b"x-pewtertack-rank"
"""``<class>.<priority>``: the place in the gateway's queue; smaller goes first."""
OBJECTIVE = b"x-pewtertack-objective-ms"
"""Milliseconds left of the time within which an answer is wanted."""
WAIT_POLICY = b"x-pewtertack-lateness"
"""``Lateness``: what to do with the request if it would have to wait."""
CALLER_SERVICE = b"x-pewtertack-caller-service"
CRASH_LIMIT = b"x-pewtertack-crash-limit"
"""The route's ``crash_limit``, where it is not the usual one."""
REPORT_HANGS = b"x-pewtertack-elsewhere"
"""There when the request may be sent to another back end should this one hang on it: the sender
wants to be told (``102 Processing``), and then decides anew."""
NESTED = b"x-pewtertack-within"
"""There when the proxy takes the request for one that a back end makes while it runs another;
its rank is then that of the run."""
INCARNATION = b"x-pewtertack-life"
"""``Machine.started_at`` of the back end as the proxy knows it, where the platform tells it. A
gateway that knows only a life before must not say of this one that it has left."""
SENDER_STOPS_IN = b"x-pewtertack-gone-in-ms"
"""There when the proxy's node stops: in how many milliseconds it will carry answers no longer."""
BUFFERS_START = b"x-pewtertack-holds-back"
"""There when the proxy holds the beginning of a long answer back (``Exchange.holds_back``): should
it break off there, it asks another gateway, or its caller is told so; it is not cut."""
NO_ALTERNATIVE = b"x-pewtertack-only-here"
"""There beside it when the proxy would not ask another gateway for the answer: no other back end
may take the request, its body can't be sent again, or it has no retry left. Then it is not given
back for this node's own stop, at whose end the system is given what the link has not carried."""
FAILURE = b"x-pewtertack-failure"
"""In an answer: ``<code> <outcome> <offered>`` of the gateway's own failure."""
QUEUED = b"x-pewtertack-queued-ms"
"""In an answer: how long the request waited at the gateway."""

ORIGIN = b"x-pewtertack-origin"
"""In an answer: ``Origin`` of the route's requests, where that is to be told."""

LINK = b"x-pewtertack-link-ms"
"""In an answer of a gateway that paces long ones: ``<ahead>/<own>``, how long its link's line is,
and what an answer of the route takes alone (``pewtertack.routing.link_words``). Not there where
both are 0."""

PROBE = b"x-pewtertack-probe"
"""In a request to a gateway that is for the gateway alone: does it take requests?"""
WITHDRAW = b"x-pewtertack-withdraw"
"""In a request that is for the gateway alone: the id of one of the sender's requests, to be
refused if it still waits. The refusal answers that request itself."""

FINISH_BY = b"x-pewtertack-leave-by"
"""In a request that is for the gateway alone: milliseconds and ids. The sender's node
stops, and carries answers to these of its requests for so much longer."""
MAX_IDS = 100
"""Requests named in one such word; more are told in several."""

ID_SEPARATOR = "\t"
"""Between time and ids of such a word; an id may have spaces, and nothing that is not printable."""

GATEWAY_NAMES = frozenset({PROBE, WITHDRAW, FINISH_BY})
"""Headers that make a request one for the gateway; only nodes send them."""
NEEDED_NAMES = frozenset({BACKEND, SERVICE, ROUTE, RANK, OBJECTIVE, WAIT_POLICY, CALLER_SERVICE})
REQUEST_NAMES = NEEDED_NAMES | {
    CRASH_LIMIT,
    REPORT_HANGS,
    SENDER_STOPS_IN,
    BUFFERS_START,
    INCARNATION,
    NO_ALTERNATIVE,
    NESTED,
}
RESPONSE_NAMES = frozenset({FAILURE, QUEUED, ORIGIN, LINK})
OFFERED = "offered"
NOT_OFFERED = "not-offered"
PROBE_ANSWERED = 204
"""Answers what is for the gateway alone."""
WAIT_POLICIES = {item.value: item for item in Lateness}
MAX_HEADER_LENGTH = 256
_CLASS_RANKS = {work_class: rank for rank, work_class in enumerate(WorkClass)}


class HopRequest(msgspec.Struct, frozen=True):
    """What a proxy tells the gateway of a request. ``objective`` in seconds from now."""

    backend: str
    service: str
    route: str
    rank: tuple[int, int]
    objective: float
    lateness: Lateness
    caller_service: str
    crash_limit: int = DEFAULT_CRASH_LIMIT
    started_at: int = 0
    """``Machine.started_at`` of the back end as the proxy knows it, 0 where it is not told."""
    elsewhere: bool = False
    """It may be sent to another back end should this one hang on it."""
    within: bool = False
    """The proxy takes it for one that a back end makes while it runs another request."""
    sender_stops_in: float = math.inf
    """In how many seconds the proxy's node will carry its answer no longer."""
    buffers_start: bool = False
    """Its answer may break off until the proxy passes its beginning on."""
    no_alternative: bool = False
    """Should its answer break off, it would not be had from another gateway."""
    invalid_stop_time: bool = False
    """``GONE_IN`` made no sense and is taken as not there."""


def hop_headers(
    route: ResolvedRoute,
    backend: str,
    objective: float,
    lateness: Lateness,
    caller: str,
    within: bool = False,
    run_rank: Rank | None = None,
) -> Headers:
    """Return the headers of a request to the gateway beside ``backend``.

    ``run_rank`` is the rank of the runs beside the proxy, which a call within carries.
    """
    work_class, priority = _CLASS_RANKS[route.work_class], route.priority
    if within and run_rank is not None:
        work_class, priority = run_rank
    rank = f"{work_class}.{priority}"
    unusual = route.crash_limit != DEFAULT_CRASH_LIMIT
    return [
        *([(NESTED, b"1")] if within else ()),
        *([(CRASH_LIMIT, b"%d" % route.crash_limit)] if unusual else ()),
        (BACKEND, backend.encode()),
        (SERVICE, route.service.encode()),
        (ROUTE, route.name.encode()),
        (RANK, rank.encode()),
        (OBJECTIVE, b"%d" % max(0, int(objective * 1000))),
        (WAIT_POLICY, lateness.encode()),
        (CALLER_SERVICE, caller.encode()),
    ]


def read_hop(headers: Headers) -> HopRequest:
    """Read what ``hop_headers`` wrote.

    Raises:
        InvalidRequestError: a header is missing or makes no sense.
    """
    found = {name: value.decode("latin-1") for name, value in headers if name in REQUEST_NAMES}
    # ``map`` of built-in functions makes no calls of Python's own; a request has 15 headers here.
    if not found.keys() >= NEEDED_NAMES or max(map(len, found.values())) > MAX_HEADER_LENGTH:
        raise InvalidRequestError("the request does not come from a node of the fleet")
    work_class, _, priority = found[RANK].partition(".")
    objective = found[OBJECTIVE]
    crash_limit = found.get(CRASH_LIMIT, str(DEFAULT_CRASH_LIMIT))
    life = found.get(INCARNATION, "0")
    sender_stops_in = (
        _parse_milliseconds_left(found[SENDER_STOPS_IN]) if SENDER_STOPS_IN in found else math.inf
    )
    numbers = (work_class, priority, objective, crash_limit, life)
    if not all(map(str.isdecimal, numbers)):
        raise InvalidRequestError("the request's rank, objective or limit is no number")
    asked = WAIT_POLICIES.get(found[WAIT_POLICY])
    if asked is None:
        raise InvalidRequestError("the request's lateness is none that is known")
    return HopRequest(
        backend=found[BACKEND],
        service=found[SERVICE],
        route=found[ROUTE],
        rank=(int(work_class), int(priority)),
        objective=int(objective) / 1000,
        lateness=asked,
        caller_service=found[CALLER_SERVICE],
        crash_limit=int(crash_limit),
        started_at=int(life),
        elsewhere=REPORT_HANGS in found,
        within=NESTED in found,
        sender_stops_in=sender_stops_in,
        buffers_start=BUFFERS_START in found,
        no_alternative=NO_ALTERNATIVE in found,
        invalid_stop_time=SENDER_STOPS_IN in found and sender_stops_in == math.inf,
    )


def format_milliseconds_left(seconds: float) -> str:
    """Return ``GONE_IN``'s value; at least 1, as 0 makes no sense and would count as no word."""
    return str(max(1, int(seconds * 1000)))


def _parse_milliseconds_left(text: str) -> float:
    """Return the seconds of ``GONE_IN``; infinite where it makes no sense."""
    if not text.isdecimal() or int(text) == 0:
        return math.inf
    return int(text) / 1000


def gateway_only_header(headers: Headers) -> tuple[bytes, bytes] | None:
    """Return the header that makes a request one for the gateway, not for its back end."""
    for item in headers:
        if item[0] in GATEWAY_NAMES:
            return item
    return None


def withdrawal_request(gateway: str, request_id: str) -> OutgoingRequest:
    """Return the request that takes another one back, if it still waits at the gateway."""
    headers = [(b"host", gateway.encode()), (WITHDRAW, request_id.encode())]
    return OutgoingRequest(b"GET", b"/", headers)


def group_request_ids(ids: Sequence[str]) -> list[Sequence[str]]:
    """Return the ids in as many groups as there are words needed to name them."""
    return [ids[start : start + MAX_IDS] for start in range(0, len(ids), MAX_IDS)]


def finish_by_request(gateway: str, seconds: float, ids: Sequence[str]) -> OutgoingRequest:
    """Return the request that tells a gateway until when answers to ``ids`` are carried."""
    text = ID_SEPARATOR.join([format_milliseconds_left(seconds), *ids])
    headers = [(b"host", gateway.encode()), (FINISH_BY, text.encode("latin-1"))]
    return OutgoingRequest(b"GET", b"/", headers)


def parse_finish_by(value: bytes) -> tuple[float, frozenset[str]]:
    """Return the seconds and the ids of such a word; infinite and none if it makes no sense."""
    milliseconds, *ids = value.decode("latin-1").split(ID_SEPARATOR)
    seconds = _parse_milliseconds_left(milliseconds)
    return seconds, frozenset(ids) if seconds < math.inf else frozenset()


def failure_header(error: RequestFailedError) -> tuple[bytes, bytes]:
    """Return the header that marks a gateway's own failure."""
    offered = OFFERED if error.offered else NOT_OFFERED
    return FAILURE, f"{error.code} {error.outcome} {offered}".encode()


def error_from_failure(text: str, status: int, retry_after: float | None) -> RequestFailedError:
    """Return the proxy's error for a gateway's own failure."""
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
