"""Headers of both directions: what is stripped, replaced and added."""

from __future__ import annotations

from dataclasses import dataclass

from pewtertack.core.configuration.resolved import ResolvedConfiguration, ResolvedRoute
from pewtertack.routing.deadlines import DEADLINE_HEADER, header_for
from pewtertack.routing.outcomes import RETRIES_HEADER, InvalidRequestError, UpgradeRefusedError

RawHeaders = list[tuple[bytes, bytes]]

REQUEST_ID = b"x-request-id"
DEADLINE = DEADLINE_HEADER.encode()
BACKEND_LOAD = b"x-backend-load"
BACKEND_STATE = b"x-backend-state"
RETRIES = RETRIES_HEADER.encode()
MAXIMUM_REQUEST_ID = 128

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
NOT_FORWARDED = HOP_BY_HOP | {b"expect", REQUEST_ID, DEADLINE, BACKEND_LOAD, BACKEND_STATE}
NOT_RETURNED = HOP_BY_HOP | {REQUEST_ID, BACKEND_LOAD, BACKEND_STATE}


@dataclass(slots=True)
class RequestHead:
    """What the proxy reads from a caller's headers before it forwards anything."""

    host: str = ""
    request_id: str = ""
    deadline: str | None = None
    has_body: bool = False
    chunked: bool = False
    connection_options: frozenset[bytes] = frozenset()


def read_head(headers: RawHeaders) -> RequestHead:
    """Return what routing needs of the caller's headers (names in lower case).

    Raises:
        InvalidRequestError: not exactly one host, or ambiguous body framing.
        UpgradeRefusedError: the caller asks for another protocol.
    """
    head = RequestHead()
    hosts = lengths = codings = 0
    for name, value in headers:
        if name == b"host":
            hosts += 1
            head.host = _host_name(value)
        elif name == b"content-length":
            lengths += 1
            head.has_body = head.has_body or value.strip() != b"0"
        elif name == b"transfer-encoding":
            codings += 1
            head.chunked = head.has_body = is_plain_chunked(value)
        elif name == REQUEST_ID:
            head.request_id = _usable_request_id(value)
        elif name == DEADLINE:
            head.deadline = value.decode("latin-1")
        elif name == b"connection":
            head.connection_options |= _options(value)
    if lengths + codings > 1 or head.chunked != bool(codings):
        raise InvalidRequestError("ambiguous body length")
    _check_shape(head, hosts)
    return head


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
    usable = 0 < len(text) <= MAXIMUM_REQUEST_ID and text.isascii() and text.isprintable()
    return text if usable else ""


def _options(value: bytes) -> frozenset[bytes]:
    return frozenset(option.strip().lower() for option in value.split(b","))


def forwarded_headers(
    headers: RawHeaders,
    head: RequestHead,
    configuration: ResolvedConfiguration,
    route: ResolvedRoute,
) -> RawHeaders:
    """Return the back end's headers, all but the deadline, which every attempt adds.

    A header that carries one of the route's secrets is taken from the secret
    alone: the caller's is dropped.
    """
    secrets = {
        name.lower().encode(): configuration.secrets[secret].encode()
        for name, secret in route.header_secrets.items()
    }
    dropped = NOT_FORWARDED | head.connection_options
    result = [
        (name, value) for name, value in headers if name not in dropped and name not in secrets
    ]
    if head.chunked:
        result.append((b"transfer-encoding", b"chunked"))
    result.append((REQUEST_ID, head.request_id.encode()))
    result.extend(secrets.items())
    return result


def deadline_header(now: float, deadline: float) -> tuple[bytes, bytes]:
    """Return the header that passes the time left to a back end."""
    return DEADLINE, header_for(now, deadline).encode()


@dataclass(slots=True)
class AnswerHead:
    """What the proxy reads from a back end's headers."""

    headers: RawHeaders
    """To be sent to the caller, without ``x-request-id``."""
    request_id: str | None = None
    load: str | None = None
    leaving: bool = False
    outcome: str | None = None
    retries: str | None = None
    retry_after: str | None = None
    framed: bool = False
    """Whether the end of the body can be told from a broken connection."""


def read_answer(headers: RawHeaders) -> AnswerHead:
    """Sort a back end's headers into what is passed on and what is for the node."""
    answer = AnswerHead([])
    options: frozenset[bytes] = frozenset()
    for raw_name, value in headers:
        name = raw_name.lower()
        if name == b"connection":
            options |= _options(value)
        elif name in (b"content-length", b"transfer-encoding"):
            answer.framed = True
        _note(answer, name, value)
        if name not in NOT_RETURNED:
            answer.headers.append((name, value))
    if options - {b"close", b"keep-alive"}:
        answer.headers = [item for item in answer.headers if item[0] not in options]
    return answer


def _note(answer: AnswerHead, name: bytes, value: bytes) -> None:
    if not name.startswith((b"x-", b"retry-")):
        return
    text = value.decode("latin-1")
    if name == REQUEST_ID:
        answer.request_id = text
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
