"""Headers in both directions: which ones are stripped, replaced and added."""

from __future__ import annotations

from collections.abc import Set

import msgspec

from pewtertack.core.configuration.resolved import ResolvedConfiguration, ResolvedRoute
from pewtertack.node.gateway import hop
from pewtertack.node.http.framing import FRAMING_NAMES, RawHeaders
from pewtertack.node.proxy.edge import DEADLINE, DEFAULT_EDGE, REQUEST_ID, EdgeHeaders
from pewtertack.routing.deadlines import format_deadline
from pewtertack.routing.outcomes import RETRIES_HEADER, InvalidRequestError, UpgradeRefusedError
from pewtertack.routing.service import LARGE_BODY_BYTES

BACKEND_LOAD = b"x-backend-load"
BACKEND_STATE = b"x-backend-state"
LEAVING_STATE = b"leaving"
RETRIES = RETRIES_HEADER.encode()
LEAVING_VALUE = "1"
"""Value of ``EdgeHeaders.leaving`` in the responses of a leaving back end."""
MAX_REQUEST_ID_LENGTH = 128
"""Characters of a caller's request id; a longer one is replaced."""

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
NOT_FORWARDED = (
    HOP_BY_HOP
    | FRAMING_NAMES  # ``OutgoingRequest`` frames the body that it sends
    | hop.REQUEST_NAMES
    | hop.GATEWAY_NAMES
    | {b"expect", REQUEST_ID, DEADLINE, BACKEND_LOAD, BACKEND_STATE}
)
ESSENTIAL_NAMES = frozenset({b"content-length", b"host"})
"""Headers that are passed on even if ``Connection`` names them: a request without a host is
rejected, and a response without its length no longer tells how long it is."""
NODE_HEADER_PREFIXES = (b"x-", b"retry-")
"""Prefixes of the response headers that are meant for the node."""
NOT_RETURNED = HOP_BY_HOP | hop.RESPONSE_NAMES | {REQUEST_ID, BACKEND_LOAD, BACKEND_STATE}


class RequestHead(msgspec.Struct):
    """What a node reads from a request's headers before it forwards anything."""

    host: str = ""
    request_id: str = ""
    deadline: str | None = None
    has_body: bool = False
    length: int | None = None
    """Announced length of the body in bytes, ``None`` without one."""
    body_bytes: int = 0
    """Announced length of the body in bytes, 0 if none is announced."""
    chunked: bool = False
    expects_continue: bool = False
    """Whether the sender waits for ``100 Continue`` before it sends the body."""
    connection_options: frozenset[bytes] = frozenset()

    @property
    def body_is_large(self) -> bool:
        """Whether the body is long or its length is unknown."""
        return self.chunked or self.body_bytes > LARGE_BODY_BYTES


def read_head(headers: RawHeaders, edge: EdgeHeaders = DEFAULT_EDGE) -> RequestHead:
    """Return what routing needs from the request's headers, whose names are in lower case.

    Raises:
        InvalidRequestError: not exactly one host, or ambiguous body framing.
        UpgradeRefusedError: the caller asks for another protocol.
    """
    head = RequestHead()
    host_count = length_count = coding_count = 0
    for name, value in _select_names(headers, edge.inspected):
        if name == b"host":
            host_count += 1
            head.host = _parse_host(value)
        elif name == b"content-length":
            length_count += 1
            head.length = head.body_bytes = _parse_length(value)
            head.has_body = head.has_body or head.body_bytes > 0
        elif name == b"transfer-encoding":
            coding_count += 1
            head.chunked = head.has_body = is_plain_chunked(value)
        elif name == edge.request_id:
            head.request_id = _usable_request_id(value)
        elif name == edge.deadline:
            head.deadline = value.decode("latin-1")
        elif name == b"expect":
            head.expects_continue = value.lower() == b"100-continue"
        elif name == b"connection":
            head.connection_options |= _parse_options(value)
    if length_count + coding_count > 1 or head.chunked != bool(coding_count):
        raise InvalidRequestError("ambiguous body length")
    _check_shape(head, host_count)
    return head


def _parse_length(value: bytes) -> int:
    text = value.strip()
    if not text.isdigit():
        raise InvalidRequestError("the content-length is no number")
    return int(text)


def _select_names(headers: RawHeaders, names: Set[bytes]) -> RawHeaders:
    return [item for item in headers if item[0] in names]


def is_plain_chunked(transfer_encoding: bytes) -> bool:
    """Tell whether the only transfer coding is "chunked"."""
    return transfer_encoding.strip().lower() == b"chunked"


def _check_shape(head: RequestHead, host_count: int) -> None:
    if host_count != 1:
        raise InvalidRequestError("a request needs exactly one host header")
    if b"upgrade" in head.connection_options:
        raise UpgradeRefusedError("no other protocol is spoken here")


def _parse_host(value: bytes) -> str:
    text = value.decode("latin-1").strip().lower()
    if text.startswith("["):
        return text.partition("]")[0] + "]"
    return text.partition(":")[0]


def _usable_request_id(value: bytes) -> str:
    """Return the caller's request id, or "" if it is not safe to repeat in logs."""
    text = value.decode("latin-1").strip()
    usable = 0 < len(text) <= MAX_REQUEST_ID_LENGTH and text.isascii() and text.isprintable()
    return text if usable else ""


def _parse_options(value: bytes) -> frozenset[bytes]:
    """Return the names in a ``Connection`` header, without those of headers passed on anyway."""
    return frozenset(option.strip().lower() for option in value.split(b",")) - ESSENTIAL_NAMES


def forwarded_headers(
    headers: RawHeaders,
    head: RequestHead,
    configuration: ResolvedConfiguration,
    route: ResolvedRoute,
    edge: EdgeHeaders = DEFAULT_EDGE,
) -> RawHeaders:
    """Return the caller's headers that are forwarded; every attempt adds headers of its own.

    A header that carries one of the route's secrets is always set from that secret; the caller's
    header of that name is dropped.
    """
    if not route.header_secrets:
        return without_names(headers, head, edge.reserved)
    secrets = {
        name.lower().encode(): configuration.secrets[secret].encode()
        for name, secret in route.header_secrets.items()
    }
    result = without_names(headers, head, edge.reserved | secrets.keys())
    result.extend(secrets.items())
    return result


def without_names(headers: RawHeaders, head: RequestHead, names: Set[bytes]) -> RawHeaders:
    """Return ``headers`` without ``names``, framing and hop-by-hop headers."""
    options = head.connection_options
    return [
        item
        for item in headers
        if item[0] not in NOT_FORWARDED and item[0] not in names and item[0] not in options
    ]


def attempt_headers(edge: EdgeHeaders, request_id: str, now: float, deadline: float) -> RawHeaders:
    """Return the headers with the request's id and the time left until its deadline."""
    return [
        (edge.request_id, request_id.encode()),
        (edge.deadline, format_deadline(now, deadline).encode()),
    ]


def backend_headers(edge: EdgeHeaders, backend: str, caller_service: str) -> RawHeaders:
    """Return the headers with the name of the intended back end and the calling service."""
    pairs = ((edge.expected_backend, backend), (edge.caller_service, caller_service))
    return [(name, value.encode()) for name, value in pairs if name and value]


class ResponseMeta(msgspec.Struct):
    """What a node reads from the headers of a back end's or gateway's response."""

    headers: RawHeaders
    """The headers to pass on, without the request id."""
    status: int = 0
    request_id: str | None = None
    load: str | None = None
    leaving: bool = False
    rate_limits: tuple[str, ...] = ()
    """The limits that a back end names (``EdgeHeaders.rate_limit``); more than one is invalid."""
    outcome: str | None = None
    retries: str | None = None
    retry_after: str | None = None
    not_run: bool = False
    """Whether the back end states, in the edge's own header, that it did not run the request."""
    failure: str | None = None
    """A gateway's report of a failure of its own (``hop.FAILURE``)."""
    queued: float = 0.0
    """Seconds that the request waited at a gateway."""
    origin: str | None = None
    """A gateway's report of who makes the route's requests (``hop.ORIGIN``)."""
    rate: str | None = None
    """A gateway's report of the back end's limit of requests a second (``hop.RATE``)."""
    link: str | None = None
    """A gateway's report of its link queue (``hop.LINK``)."""
    length: int | None = None
    """Announced length of the body in bytes."""
    framed: bool = False
    """Whether the end of the body can be distinguished from a broken connection."""


def read_response_meta(headers: RawHeaders, edge: EdgeHeaders = DEFAULT_EDGE) -> ResponseMeta:
    """Split a response's headers into those to pass on and those meant for the node."""
    meta = ResponseMeta([])
    options: frozenset[bytes] = frozenset()
    request_id = edge.request_id
    for raw_name, value in headers:
        name = raw_name.lower()
        if name in FRAMING_NAMES:
            meta.framed = True
            if name == b"content-length" and value.strip().isdigit():
                meta.length = int(value)
        elif name in edge.reports:
            _read_report(meta, name, value, edge)
        elif name.startswith(NODE_HEADER_PREFIXES):
            _read_node_header(meta, name, value, edge)
        elif name == b"connection":
            options |= _parse_options(value)
        if name not in NOT_RETURNED and name != request_id:
            meta.headers.append((name, value))
    if options - {b"close", b"keep-alive"}:
        meta.headers = [item for item in meta.headers if item[0] not in options]
    return meta


def _read_report(meta: ResponseMeta, name: bytes, value: bytes, edge: EdgeHeaders) -> None:
    text = value.decode("latin-1")
    if name == edge.rate_limit:
        meta.rate_limits += (text,)
    else:
        meta.leaving = meta.leaving or text.strip() == LEAVING_VALUE


def _read_gateway_header(meta: ResponseMeta, name: bytes, text: str) -> None:
    if name == hop.FAILURE:
        meta.failure = text
    elif name == hop.ORIGIN:
        meta.origin = text
    elif name == hop.LINK:
        meta.link = text
    elif name == hop.RATE:
        meta.rate = text
    else:
        meta.queued = int(text) / 1000 if text.isdecimal() else 0.0


def _read_node_header(meta: ResponseMeta, name: bytes, value: bytes, edge: EdgeHeaders) -> None:
    text = value.decode("latin-1")
    if name == edge.request_id:
        meta.request_id = text
    elif name == edge.not_run:
        meta.not_run = True
    elif name in hop.RESPONSE_NAMES:
        _read_gateway_header(meta, name, text)
    elif name == BACKEND_LOAD:
        meta.load = text
    elif name == BACKEND_STATE:
        meta.leaving = meta.leaving or value.strip().lower() == LEAVING_STATE
    elif name == b"x-outcome":
        meta.outcome = text
    elif name == RETRIES:
        meta.retries = text
    elif name == b"retry-after":
        meta.retry_after = text
