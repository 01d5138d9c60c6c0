"""One caller's exchange with a node, and what it concludes from it."""

from __future__ import annotations

import time
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import httpcore

from pewtertack.lab.backend.response_body import checksum, expected_body
from pewtertack.lab.load.mix import CallKind
from pewtertack.lab.records import CallOutcome, CallResult
from pewtertack.settings import Address

CONNECT_SECONDS = 2.0
OUTCOME_HEADER = "x-outcome"
CONNECTIONS_PER_NODE = 200
STATUS_OK = 200


@dataclass(frozen=True, slots=True)
class Target:
    """A node that callers may ask."""

    name: str
    proxy: Address


@dataclass(frozen=True, slots=True)
class ExchangeResult:
    """What one exchange came to."""

    outcome: CallOutcome
    status: int = 0
    checksum_ok: bool = True
    own_answer: bool = True
    retry_after: float | None = None
    broken_off_after: int | None = None
    """Bytes of the answer's body that had come; None where no answer had begun."""


class Caller:
    """Asks one node over pooled connections; never repeats a request."""

    def __init__(self, target: Target) -> None:
        self._target = target
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=CONNECTIONS_PER_NODE, keepalive_expiry=2.0
        )

    async def close(self) -> None:
        """Close the connections."""
        await self._pool.aclose()

    async def call(self, kind: CallKind, request_id: str) -> CallResult:
        """Send one request and return what the caller was told."""
        began = time.monotonic()
        conclusion = await self._exchange(kind, request_id)
        return make_call_result(
            self._target, kind, request_id, conclusion, time.monotonic() - began
        )

    async def _exchange(self, kind: CallKind, request_id: str) -> ExchangeResult:
        try:
            answer = await self._send(kind, request_id)
        except (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout):
            return ExchangeResult(CallOutcome.NOT_CONNECTED)
        except httpcore.TimeoutException:
            return ExchangeResult(CallOutcome.TIMED_OUT)
        except (httpcore.NetworkError, httpcore.ProtocolError):
            return ExchangeResult(CallOutcome.CUT)
        return interpret_response(kind, request_id, answer.status, answer.headers, answer.content)

    async def _send(self, kind: CallKind, request_id: str) -> httpcore.Response:
        timeouts = {
            "connect": CONNECT_SECONDS,
            "pool": CONNECT_SECONDS,
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
    """Return the headers that tell a back end stand-in what to do."""
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
    conclusion: ExchangeResult,
    latency: float,
    whole_for: float | None = None,
    begun_for: float | None = None,
) -> CallResult:
    """Return the record of an exchange that ends now."""
    return CallResult(
        time=time.time(),
        request_id=request_id,
        node=target.name,
        route=kind.route,
        status=conclusion.status,
        outcome=conclusion.outcome,
        checksum_ok=conclusion.checksum_ok,
        own_answer=conclusion.own_answer,
        repeatable=kind.repeatable,
        latency=latency,
        retry_after=conclusion.retry_after,
        whole_for=whole_for,
        begun_for=begun_for,
        broken_off_after=conclusion.broken_off_after,
    )


def interpret_response(
    kind: CallKind,
    request_id: str,
    status: int,
    raw_headers: Iterable[tuple[bytes, bytes]],
    body: bytes,
) -> ExchangeResult:
    """Return what a whole answer to a request comes to."""
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
