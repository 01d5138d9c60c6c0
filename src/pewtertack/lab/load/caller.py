"""A caller's exchange with a node, and the interpretation of its result."""

from __future__ import annotations

import time
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import httpcore

from pewtertack.lab.backend.response_body import checksum, expected_body
from pewtertack.lab.load.mix import CallKind
from pewtertack.lab.records import CallOutcome, CallResult
from pewtertack.settings import Address

CONNECT_TIMEOUT_SECONDS = 2.0
OUTCOME_HEADER = "x-outcome"
CONNECTIONS_PER_NODE = 200
STATUS_OK = 200


@dataclass(frozen=True, slots=True)
class Target:
    """A node that callers send requests to."""

    name: str
    proxy: Address


@dataclass(frozen=True, slots=True)
class ExchangeResult:
    """The result of one exchange."""

    outcome: CallOutcome
    status: int = 0
    checksum_ok: bool = True
    own_answer: bool = True
    retry_after: float | None = None
    broken_off_after: int | None = None
    """Body bytes received of a response that broke off; None if no response had started."""


class Caller:
    """Sends requests to one node over pooled connections; never retries a request."""

    def __init__(self, target: Target) -> None:
        self._target = target
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=CONNECTIONS_PER_NODE, keepalive_expiry=2.0
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def call(self, kind: CallKind, request_id: str) -> CallResult:
        """Send one request and return its result."""
        started_at = time.monotonic()
        result = await self._exchange(kind, request_id)
        return make_call_result(
            self._target, kind, request_id, result, time.monotonic() - started_at
        )

    async def _exchange(self, kind: CallKind, request_id: str) -> ExchangeResult:
        try:
            response = await self._send(kind, request_id)
        except (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout):
            return ExchangeResult(CallOutcome.NOT_CONNECTED)
        except httpcore.TimeoutException:
            return ExchangeResult(CallOutcome.TIMED_OUT)
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return ExchangeResult(CallOutcome.CUT)
        return interpret_response(
            kind, request_id, response.status, response.headers, response.content
        )

    async def _send(self, kind: CallKind, request_id: str) -> httpcore.Response:
        timeouts = {
            "connect": CONNECT_TIMEOUT_SECONDS,
            "pool": CONNECT_TIMEOUT_SECONDS,
            "read": kind.client_timeout,
            "write": kind.client_timeout,
        }
        return await self._pool.request(
            kind.method,
            f"http://{self._target.proxy}{kind.path}",
            headers=request_headers(kind, request_id),
            content=bytes(kind.body_bytes),
            extensions={"timeout": timeouts},
        )


def request_headers(kind: CallKind, request_id: str) -> list[tuple[bytes, bytes]]:
    """Return the headers that tell a stand-in back end how to process the request."""
    return [
        (b"host", kind.host.encode()),
        (b"x-request-id", request_id.encode()),
        (b"x-work-ms", str(kind.work_milliseconds).encode()),
        (b"x-answer-bytes", str(kind.answer_bytes).encode()),
        (b"content-length", str(kind.body_bytes).encode()),
    ]


def make_call_result(
    target: Target,
    kind: CallKind,
    request_id: str,
    result: ExchangeResult,
    latency: float,
    whole_for: float | None = None,
    begun_for: float | None = None,
) -> CallResult:
    """Return the record of an exchange that has just ended."""
    return CallResult(
        time=time.time(),
        request_id=request_id,
        node=target.name,
        route=kind.route,
        status=result.status,
        outcome=result.outcome,
        checksum_ok=result.checksum_ok,
        own_answer=result.own_answer,
        repeatable=kind.repeatable,
        latency=latency,
        retry_after=result.retry_after,
        whole_for=whole_for,
        begun_for=begun_for,
        broken_off_after=result.broken_off_after,
    )


def interpret_response(
    kind: CallKind,
    request_id: str,
    status: int,
    raw_headers: Iterable[tuple[bytes, bytes]],
    body: bytes,
) -> ExchangeResult:
    """Interpret a complete response to a request."""
    headers = {
        name.decode("latin-1").lower(): value.decode("latin-1") for name, value in raw_headers
    }
    if OUTCOME_HEADER in headers:
        outcome = CallOutcome(headers[OUTCOME_HEADER])
        return ExchangeResult(outcome, status, retry_after=_retry_after(headers))
    expected = expected_body(request_id, kind.answer_bytes) if status == STATUS_OK else b""
    return ExchangeResult(
        CallOutcome.ANSWERED,
        status,
        checksum_ok=headers.get("x-checksum") == checksum(body),
        own_answer=headers.get("x-request-id") == request_id and body == expected,
    )


def _retry_after(headers: Mapping[str, str]) -> float | None:
    try:
        return float(headers["retry-after"])
    except (KeyError, ValueError):
        return None
