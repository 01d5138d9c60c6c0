"""A caller's connection that is kept until the node ends it, and what each request came to."""

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
SEND_SECONDS = 5.0
EXTRA_SECONDS = 5.0
"""Callers wait so much longer, also for a node on a busy machine."""
STREAM_ERRORS = (anyio.BrokenResourceError, anyio.ClosedResourceError, anyio.EndOfStream, OSError)


class Call:
    """One request of a connection."""

    __slots__ = ("began", "kind", "request_id", "sent_at", "whole_at")

    def __init__(self, kind: CallKind, request_id: str) -> None:
        self.kind = kind
        self.request_id = request_id
        self.began = time.monotonic()
        self.sent_at: float | None = None
        """When its first byte was handed to the system."""
        self.whole_at: float | None = None
        """When its last byte had been handed to the system."""

    def encode(self) -> bytes:
        """Return the request's bytes."""
        lines = [f"{self.kind.method} {self.kind.path} HTTP/1.1".encode()]
        headers = request_headers(self.kind, self.request_id)
        lines += [name + b": " + value for name, value in headers]
        return b"\r\n".join([*lines, b"", b""]) + bytes(self.kind.body_bytes)


class PersistentConnection:
    """One open connection to a node; `connect` makes it."""

    __slots__ = ("_answers", "_lag", "_pause", "_stream", "_target", "usable")

    def __init__(
        self, target: Target, stream: anyio.abc.SocketStream, lag: LagMeter, pause: float
    ) -> None:
        self._target = target
        self._stream = stream
        self._lag = lag
        self._pause = pause
        self._answers = ResponseReader()
        self.usable = True
        """Whether it may take a further request."""

    @property
    def ended(self) -> bool:
        """Whether the node has ended the connection, or sent what nobody asked for."""
        descriptor = self._stream.extra(SocketAttribute.raw_socket).fileno()
        return bool(select.select([descriptor], [], [], 0)[0])

    async def close(self) -> None:
        """Close the connection."""
        self.usable = False
        await anyio.aclose_forcefully(self._stream)

    async def ask(self, calls: Sequence[Call]) -> list[CallResult]:
        """Send requests one behind the other, and return what each came to."""
        told: list[CallResult] = []
        patience = EXTRA_SECONDS + sum(call.kind.client_timeout for call in calls)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send, calls)
            for call in calls:
                conclusion = await self._conclude(call, patience)
                told.append(self._told(call, conclusion))
            tasks.cancel_scope.deadline = anyio.current_time() + self._time_to_send
        if any(call.whole_at is None for call in calls):
            self.usable = False
        return told

    @property
    def _time_to_send(self) -> float:
        """How long the rest of requests may take that are answered before they are whole."""
        return SEND_SECONDS if self.usable else 0.0

    async def _send(self, calls: Sequence[Call]) -> None:
        try:
            for call in calls:
                await self._send_one(call)
        except STREAM_ERRORS:
            self.usable = False

    async def _send_one(self, call: Call) -> None:
        raw = call.encode()
        call.sent_at = time.monotonic()
        for start in range(0, len(raw), CHUNK_BYTES):
            await self._stream.send(raw[start : start + CHUNK_BYTES])
        call.whole_at = time.monotonic()

    async def _conclude(self, call: Call, patience: float) -> ExchangeResult:
        """Wait for the answer that is due."""
        try:
            with anyio.fail_after(patience):
                answer = await self._next_answer()
        except TimeoutError:
            self.usable = False
            return self._broken_off(CallOutcome.TIMED_OUT)
        except httptools.HttpParserError:
            self.usable = False
            return ExchangeResult(CallOutcome.ANSWERED, checksum_ok=False, own_answer=False)
        except STREAM_ERRORS:
            self.usable = False
            return self._broken_off(CallOutcome.CUT)
        if answer.closes:
            self.usable = False
        return interpret_response(
            call.kind, call.request_id, answer.status, answer.headers, answer.body
        )

    def _broken_off(self, outcome: CallOutcome) -> ExchangeResult:
        return ExchangeResult(outcome, broken_off_after=self._answers.part_bytes)

    async def _next_answer(self) -> CompleteResponse:
        while not self._answers.whole:
            self._answers.feed(await self._stream.receive(CHUNK_BYTES))
            if self._pause and self._answers.part_bytes:
                await anyio.sleep(self._pause)
        return self._answers.whole.popleft()

    def _told(self, call: Call, conclusion: ExchangeResult) -> CallResult:
        now = time.monotonic()
        whole_for = None
        if call.whole_at is not None:
            lag = self._lag.worst_since(call.whole_at)
            whole_for = max(0.0, now - call.whole_at - lag)
        begun_for = None if call.sent_at is None else now - call.sent_at
        latency = now - call.began
        return make_call_result(
            self._target, call.kind, call.request_id, conclusion, latency, whole_for, begun_for
        )


async def connect(target: Target, lag: LagMeter, pause: float = 0.0) -> PersistentConnection | None:
    """Connect to a node; None when it does not take the connection.

    Args:
        target: the node.
        lag: measures this process's delays.
        pause: seconds between two reads of one answer.
    """
    try:
        with anyio.fail_after(CONNECT_TIMEOUT_SECONDS):
            stream = await anyio.connect_tcp(target.proxy.host, target.proxy.port)
    except (OSError, TimeoutError):
        return None
    return PersistentConnection(target, stream, lag, pause)
