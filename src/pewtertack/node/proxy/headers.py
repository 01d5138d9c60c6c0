"""Headers of both directions: what is stripped, replaced and added."""

from __future__ import annotations

from collections.abc import Set

import msgspec

from pewtertack.core.configuration.resolved import ResolvedConfiguration, ResolvedRoute
from pewtertack.node.gateway import hop
from pewtertack.node.http.framing import RawHeaders
from pewtertack.node.proxy.edge import DEADLINE, DEFAULT_EDGE, REQUEST_ID, EdgeHeaders
from pewtertack.routing.deadlines import header_for
from pewtertack.routing.outcomes import RETRIES_HEADER, InvalidRequestError, UpgradeRefusedError
from pewtertack.routing.service import LARGE_BODY

BACKEND_LOAD = b"x-backend-load"
BACKEND_STATE = b"x-backend-state"
RETRIES = RETRIES_HEADER.encode()
MAX_REQUEST_ID_LENGTH = 128

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
    | hop.REQUEST_NAMES
    | hop.GATEWAY_NAMES
    | {b"expect", REQUEST_ID, DEADLINE, BACKEND_LOAD, BACKEND_STATE}
)
FRAMING_NAMES = frozenset({b"content-length", b"transfer-encoding"})
NODE_HEADER_PREFIXES = (b"x-", b"retry-")
"""Of the names in an answer that say something to the node."""
NOT_RETURNED = HOP_BY_HOP | hop.RESPONSE_NAMES | {REQUEST_ID, BACKEND_LOAD, BACKEND_STATE}


class RequestHead(msgspec.Struct):
    """What the proxy reads from a caller's headers before it forwards anything."""

    host: str = ""
    request_id: str = ""
    deadline: str | None = None
    has_body: bool = False
    body_bytes: int = 0
    """Announced length of the body, 0 without one."""
    chunked: bool = False
    expects_continue: bool = False
    """The sender waits with the body until it is asked for."""
    connection_options: frozenset[bytes] = frozenset()

    @property
    def body_is_large(self) -> bool:
        """Whether the body is long, or its length unknown."""
        return self.chunked or self.body_bytes > LARGE_BODY


def read_head(headers: RawHeaders, edge: EdgeHeaders = DEFAULT_EDGE) -> RequestHead:
    """Return what routing needs of the caller's headers (names in lower case).

    Raises:
        InvalidRequestError: not exactly one host, or ambiguous body framing.
        UpgradeRefusedError: the caller asks for another protocol.
    """
    head = RequestHead()
    hosts = lengths = codings = 0
    for name, value in _select_names(headers, edge.read):
        if name == b"host":
            hosts += 1
            head.host = _host_name(value)
        elif name == b"content-length":
            lengths += 1
            head.has_body = head.has_body or value.strip() != b"0"
            head.body_bytes = int(value) if value.strip().isdigit() else 0
        elif name == b"transfer-encoding":
            codings += 1
            head.chunked = head.has_body = is_plain_chunked(value)
        elif name == edge.request_id:
            head.request_id = _usable_request_id(value)
        elif name == edge.deadline:
            head.deadline = value.decode("latin-1")
        elif name == b"expect":
            head.expects_continue = value.lower() == b"100-continue"
        elif name == b"connection":
            head.connection_options |= _options(value)
    if lengths + codings > 1 or head.chunked != bool(codings):
        raise InvalidRequestError("ambiguous body length")
    _check_shape(head, hosts)
    return head


def _select_names(headers: RawHeaders, names: Set[bytes]) -> RawHeaders:
    return [item for item in headers if item[0] in names]


def is_plain_chunked(transfer_encoding: bytes) -> bool:
    """Tell whether the only transfer coding is "chunked"."""
    return transfer_encoding.strip().lower() == b"chunked"


def _check_shape(head: RequestHead, hosts: int) -> None:
    if hosts != 1:
        raise InvalidRequestError("a request needs exactly one host header")
    if b"upgrade" in head.connection_options:
        raise UpgradeRefusedError("no other protocol is spoken here")


def _host_name(value: bytes) -> str:
    text = value.decode("latin-1").strip().lower()
    if text.startswith("["):
        return text.partition("]")[0] + "]"
    return text.partition(":")[0]


def _usable_request_id(value: bytes) -> str:
    """Return the caller's id, or "" for one that is not safe to repeat in logs."""
    text = value.decode("latin-1").strip()
    usable = 0 < len(text) <= MAX_REQUEST_ID_LENGTH and text.isascii() and text.isprintable()
    return text if usable else ""


def _options(value: bytes) -> frozenset[bytes]:
    return frozenset(option.strip().lower() for option in value.split(b","))


def forwarded_headers(
    headers: RawHeaders,
    head: RequestHead,
    configuration: ResolvedConfiguration,
    route: ResolvedRoute,
    edge: EdgeHeaders = DEFAULT_EDGE,
) -> RawHeaders:
    """Return what is forwarded of a caller's headers; every attempt adds its own.

    A header that carries one of the route's secrets is taken from the secret
    alone: the caller's is dropped.
    """
    if not route.header_secrets:
        return without_names(headers, head, edge.own)
    secrets = {
        name.lower().encode(): configuration.secrets[secret].encode()
        for name, secret in route.header_secrets.items()
    }
    result = without_names(headers, head, edge.own | secrets.keys())
    result.extend(secrets.items())
    return result


def without_names(headers: RawHeaders, head: RequestHead, names: Set[bytes]) -> RawHeaders:
    """Return ``headers`` without ``names`` and without those of one connection only."""
    options = head.connection_options
    result = [
        item
        for item in headers
        if item[0] not in NOT_FORWARDED and item[0] not in names and item[0] not in options
    ]
    if head.chunked:
        result.append((b"transfer-encoding", b"chunked"))
    return result


def attempt_headers(edge: EdgeHeaders, request_id: str, now: float, deadline: float) -> RawHeaders:
    """Return the headers that tell the request's id and the time left."""
    return [
        (edge.request_id, request_id.encode()),
        (edge.deadline, header_for(now, deadline).encode()),
    ]


def backend_headers(edge: EdgeHeaders, backend: str, caller_service: str) -> RawHeaders:
    """Return the headers that tell a back end whom the request is for and who asks."""
    named = ((edge.expected_backend, backend), (edge.caller_service, caller_service))
    return [(name, value.encode()) for name, value in named if name and value]


class ResponseMeta(msgspec.Struct):
    """What the proxy reads from a back end's headers."""

    headers: RawHeaders
    """To be sent to the caller, without ``x-request-id``."""
    request_id: str | None = None
    load: str | None = None
    leaving: bool = False
    outcome: str | None = None
    retries: str | None = None
    retry_after: str | None = None
    not_run: bool = False
    """The back end says that it did not run the request, in the edge's own header."""
    failure: str | None = None
    """What a gateway says of a failure of its own."""
    queued: float = 0.0
    """Seconds that the request waited at a gateway."""
    origin: str | None = None
    """Who makes the route's requests, as a gateway knows it."""
    link: str | None = None
    """What a gateway tells of its link."""
    length: int | None = None
    """Announced length of the body."""
    framed: bool = False
    """Whether the end of the body can be told from a broken connection."""


def read_response_meta(headers: RawHeaders, edge: EdgeHeaders = DEFAULT_EDGE) -> ResponseMeta:
    """Sort a back end's headers into what is passed on and what is for the node."""
    answer = ResponseMeta([])
    options: frozenset[bytes] = frozenset()
    request_id = edge.request_id
    for raw_name, value in headers:
        name = raw_name.lower()
        if name in FRAMING_NAMES:
            answer.framed = True
            if name == b"content-length" and value.strip().isdigit():
                answer.length = int(value)
        elif name.startswith(NODE_HEADER_PREFIXES):
            _read_node_header(answer, name, value, edge)
        elif name == b"connection":
            options |= _options(value)
        if name not in NOT_RETURNED and name != request_id:
            answer.headers.append((name, value))
    if options - {b"close", b"keep-alive"}:
        answer.headers = [item for item in answer.headers if item[0] not in options]
    return answer


def _read_gateway_header(answer: ResponseMeta, name: bytes, text: str) -> None:
    if name == hop.FAILURE:
        answer.failure = text
    elif name == hop.ORIGIN:
        answer.origin = text
    elif name == hop.LINK:
        answer.link = text
    else:
        answer.queued = int(text) / 1000 if text.isdecimal() else 0.0


def _read_node_header(answer: ResponseMeta, name: bytes, value: bytes, edge: EdgeHeaders) -> None:
    text = value.decode("latin-1")
    if name == edge.request_id:
        answer.request_id = text
    elif name == edge.not_run:
        answer.not_run = True
    elif name in hop.RESPONSE_NAMES:
        _read_gateway_header(answer, name, text)
    elif name == BACKEND_LOAD:
        answer.load = text
    elif name == BACKEND_STATE:
        answer.leaving = text.strip().lower() == "leaving"
    elif name == b"x-outcome":
        answer.outcome = text
    elif name == RETRIES:
        answer.retries = text
    elif name == b"retry-after":
        answer.retry_after = text
