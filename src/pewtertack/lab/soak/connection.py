"""Persistent connection of a caller, which is used until the node closes it."""

from __future__ import annotations

import select
import time
from collections.abc import Sequence

import anyio
import anyio.abc
import httptools
from anyio.abc import SocketAttribute

from pewtertack.lab.load.caller import (
    CONNECT_TIMEOUT_SECONDS,
    ExchangeResult,
    Target,
    interpret_response,
    make_call_result,
    request_headers,
)
from pewtertack.lab.load.mix import CallKind
from pewtertack.lab.records import CallOutcome, CallResult
from pewtertack.lab.soak.lag import LagMeter
from pewtertack.lab.soak.responses import CompleteResponse, ResponseReader

CHUNK_BYTES = 65536
SEND_TIMEOUT_SECONDS = 5.0
EXTRA_TIMEOUT_SECONDS = 5.0
"""Time that callers wait beyond their timeouts, so that a busy machine causes no timeouts."""
STREAM_ERRORS = (anyio.BrokenResourceError, anyio.ClosedResourceError, anyio.EndOfStream, OSError)


class Call:
    """One request on a connection. Times are in monotonic seconds."""

    __slots__ = ("created_at", "first_byte_sent_at", "kind", "request_id", "sent_completely_at")

    def __init__(self, kind: CallKind, request_id: str) -> None:
        self.kind = kind
        self.request_id = request_id
        self.created_at = time.monotonic()
        self.first_byte_sent_at: float | None = None
        """When the first byte was handed to the system; ``None`` before."""
        self.sent_completely_at: float | None = None
        """When the last byte had been handed to the system; ``None`` before."""

    def encode(self) -> bytes:
        """Return the request as bytes."""
        lines = [f"{self.kind.method} {self.kind.path} HTTP/1.1".encode()]
        headers = request_headers(self.kind, self.request_id)
        lines += [name + b": " + value for name, value in headers]
        return b"\r\n".join([*lines, b"", b""]) + bytes(self.kind.body_bytes)


class PersistentConnection:
    """One open connection to a node, created by `connect`."""

    __slots__ = ("_lag", "_read_pause", "_reader", "_stream", "_target", "usable")

    def __init__(
        self, target: Target, stream: anyio.abc.SocketStream, lag: LagMeter, read_pause: float
    ) -> None:
        self._target = target
        self._stream = stream
        self._lag = lag
        self._read_pause = read_pause
        self._reader = ResponseReader()
        self.usable = True
        """Whether another request may be sent."""

    @property
    def is_stale(self) -> bool:
        """Whether the node has closed the connection or sent unexpected bytes."""
        descriptor = self._stream.extra(SocketAttribute.raw_socket).fileno()
        return bool(select.select([descriptor], [], [], 0)[0])

    async def close(self) -> None:
        """Close the connection."""
        self.usable = False
        await anyio.aclose_forcefully(self._stream)

    async def send_calls(self, calls: Sequence[Call]) -> list[CallResult]:
        """Send requests without waiting for responses in between, and return the result of each."""
        results: list[CallResult] = []
        timeout = EXTRA_TIMEOUT_SECONDS + sum(call.kind.client_timeout for call in calls)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send, calls)
            for call in calls:
                exchange = await self._receive_result(call, timeout)
                results.append(self._make_result(call, exchange))
            tasks.cancel_scope.deadline = anyio.current_time() + self._send_grace_seconds
        if any(call.sent_completely_at is None for call in calls):
            self.usable = False
        return results

    @property
    def _send_grace_seconds(self) -> float:
        """Seconds for sending the rest of requests whose responses came before they were sent."""
        return SEND_TIMEOUT_SECONDS if self.usable else 0.0

    async def _send(self, calls: Sequence[Call]) -> None:
        try:
            for call in calls:
                await self._send_call(call)
        except STREAM_ERRORS:
            self.usable = False

    async def _send_call(self, call: Call) -> None:
        request_bytes = call.encode()
        call.first_byte_sent_at = time.monotonic()
        for start in range(0, len(request_bytes), CHUNK_BYTES):
            await self._stream.send(request_bytes[start : start + CHUNK_BYTES])
        call.sent_completely_at = time.monotonic()

    async def _receive_result(self, call: Call, timeout: float) -> ExchangeResult:
        """Wait for the response to a call."""
        try:
            with anyio.fail_after(timeout):
                response = await self._next_response()
        except TimeoutError:
            self.usable = False
            return self._interrupted_result(CallOutcome.TIMED_OUT)
        except httptools.HttpParserError:
            self.usable = False
            return ExchangeResult(CallOutcome.ANSWERED, checksum_ok=False, own_answer=False)
        except STREAM_ERRORS:
            self.usable = False
            return self._interrupted_result(CallOutcome.CUT)
        if response.closes:
            self.usable = False
        return interpret_response(
            call.kind, call.request_id, response.status, response.headers, response.body
        )

    def _interrupted_result(self, outcome: CallOutcome) -> ExchangeResult:
        return ExchangeResult(outcome, broken_off_after=self._reader.partial_body_bytes)

    async def _next_response(self) -> CompleteResponse:
        while not self._reader.complete:
            self._reader.feed(await self._stream.receive(CHUNK_BYTES))
            if self._read_pause and self._reader.partial_body_bytes:
                await anyio.sleep(self._read_pause)
        return self._reader.complete.popleft()

    def _make_result(self, call: Call, exchange: ExchangeResult) -> CallResult:
        now = time.monotonic()
        whole_for = None
        if call.sent_completely_at is not None:
            lag = self._lag.worst_since(call.sent_completely_at)
            whole_for = max(0.0, now - call.sent_completely_at - lag)
        begun_for = None if call.first_byte_sent_at is None else now - call.first_byte_sent_at
        latency = now - call.created_at
        return make_call_result(
            self._target, call.kind, call.request_id, exchange, latency, whole_for, begun_for
        )


async def connect(
    target: Target, lag: LagMeter, read_pause: float = 0.0
) -> PersistentConnection | None:
    """Connect to a node; return ``None`` if the connection fails.

    Args:
        target: the node.
        lag: measures the lag of this process's event loop.
        read_pause: seconds between two reads of one response.
    """
    try:
        with anyio.fail_after(CONNECT_TIMEOUT_SECONDS):
            stream = await anyio.connect_tcp(target.proxy.host, target.proxy.port)
    except (OSError, TimeoutError):
        return None
    return PersistentConnection(target, stream, lag, read_pause)
