"""Callers of one node: new requests at random times, retries, kept connections."""

from __future__ import annotations

import contextlib
from random import Random

import anyio
from anyio.abc import SocketStream
from anyio.streams.buffered import BufferedByteReceiveStream

from pewtertack.lab.exchanges.plan import Fields, Framing
from pewtertack.lab.exchanges.wire import (
    MalformedMessageError,
    WireMessage,
    encode_message,
    read_body,
    read_head,
)
from pewtertack.lab.mesh.backend import DEADLINE, MADE_FOR, REQUEST_ID
from pewtertack.lab.mesh.record import NOT_RUN_STATUSES, CallerAttempt, MeshRecord
from pewtertack.lab.mesh.shapes import SAFE, RequestKind
from pewtertack.settings import Address

HOST = "mesh.example"
CONNECT_SECONDS = 1.0
GRACE_SECONDS = 0.3
"""A caller waits for an answer this much longer than its deadline."""
MAX_WAIT_SHARE = 1 / 3
"""A caller obeys ``Retry-After`` up to this share of the remaining time."""
IMPATIENT_SHARE = 0.1
"""Share of the requests whose caller tries again at once."""
CHUNKED_SHARE = 0.5
LEAVING_SHARE = 0.03
"""Share of the attempts whose caller leaves before its deadline."""
FIRST_FINAL_STATUS = 200
FIRST_ERROR_STATUS = 300

_BROKEN = (
    anyio.EndOfStream,
    anyio.IncompleteRead,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    MalformedMessageError,
)


class _Connection:
    """A caller's connection to its node."""

    def __init__(self, stream: SocketStream) -> None:
        self.stream = stream
        self.reader = BufferedByteReceiveStream(stream)


class NodeCallers:
    """The callers at one node, among them the back end beside it.

    Args:
        name: the node's name.
        address: its address for callers.
        record: receives all attempts.
        chooser: draws ids, lengths and waiting times.
    """

    def __init__(self, name: str, address: Address, record: MeshRecord, chooser: Random) -> None:
        self._name = name
        self._address = address
        self._record = record
        self._random = chooser
        self._idle: list[_Connection] = []

    async def close(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            await anyio.aclose_forcefully(connection.stream)
        self._idle.clear()

    async def call(self, kind: RequestKind) -> None:
        """Send one request, and again after failures as its kind allows."""
        deadline = anyio.current_time() + kind.deadline
        for retry in range(kind.caller_retries + 1):
            remaining = deadline - anyio.current_time()
            if remaining <= 0:
                return
            attempt, retry_after = await self._attempt(kind, remaining, new_connection=retry > 0)
            refused = attempt.status in NOT_RUN_STATUSES and not attempt.answered_by_backend
            is_final = FIRST_FINAL_STATUS <= attempt.status < FIRST_ERROR_STATUS
            if is_final or not (refused or kind.repeatable):
                return
            if self._random.random() >= IMPATIENT_SHARE:
                longest = max(0.0, (deadline - anyio.current_time()) * MAX_WAIT_SHARE)
                await anyio.sleep(min(retry_after, longest))

    async def call_nested(self, kind: RequestKind, seconds: float) -> bool:
        """Send a nested request once; return whether it succeeded."""
        if seconds <= 0:
            return False
        attempt, _ = await self._attempt(kind, seconds)
        return FIRST_FINAL_STATUS <= attempt.status < FIRST_ERROR_STATUS

    async def _attempt(
        self, kind: RequestKind, seconds: float, new_connection: bool = False
    ) -> tuple[CallerAttempt, float]:
        """Send the request once; return the attempt and the seconds of ``Retry-After``."""
        request_id = f"{self._random.getrandbits(64):016x}"
        sent_at = anyio.current_time()
        answer: WireMessage | None = None
        leaves = self._random.random() < LEAVING_SHARE
        patience = self._random.uniform(0.0, seconds) if leaves else seconds + GRACE_SECONDS
        with anyio.move_on_after(patience):
            answer = await self._try_exchange(kind, request_id, seconds, new_connection)
        attempt = CallerAttempt(
            request_id,
            kind.name,
            self._name,
            sent_at,
            anyio.current_time(),
            answer.status if answer is not None and answer.complete else 0,
            answer is not None and bool(answer.value(MADE_FOR)),
            kind.repeatable,
        )
        self._record.attempts.append(attempt)
        return attempt, _retry_after(answer)

    async def _try_exchange(
        self, kind: RequestKind, request_id: str, seconds: float, new_connection: bool
    ) -> WireMessage | None:
        """Return the answer, ``None`` if the connection ends without one."""
        try:
            connection = await self._connect(new_connection)
        except (OSError, TimeoutError):
            return None
        kept = False
        try:
            answer = await self._exchange(connection, kind, request_id, seconds)
            kept = answer is not None and answer.complete and answer.value("connection") != "close"
            return answer
        finally:
            if kept:
                self._idle.append(connection)
            else:
                await anyio.aclose_forcefully(connection.stream)

    async def _connect(self, new_connection: bool) -> _Connection:
        if self._idle and not new_connection:
            return self._idle.pop()
        with anyio.fail_after(CONNECT_SECONDS):
            return _Connection(await anyio.connect_tcp(self._address.host, self._address.port))

    async def _exchange(
        self, connection: _Connection, kind: RequestKind, request_id: str, seconds: float
    ) -> WireMessage | None:
        request = self._encode(kind, request_id, seconds)
        answer = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_send, connection.stream, request)
            with contextlib.suppress(*_BROKEN):
                answer = await _read_answer(connection.reader)
            tasks.cancel_scope.cancel()
        return answer

    def _encode(self, kind: RequestKind, request_id: str, seconds: float) -> bytes:
        headers: Fields = (
            ("Host", HOST),
            (REQUEST_ID, request_id),
            (DEADLINE, str(max(1, int(seconds * 1000)))),
        )
        start_line = f"{kind.method} {kind.path}{request_id} HTTP/1.1"
        if kind.kind == SAFE:
            return encode_message(start_line, headers, b"", Framing.NONE)
        body = b"b" * int(self._random.uniform(0.5, 1.5) * kind.body_bytes)
        chunked = self._random.random() < CHUNKED_SHARE
        framing = Framing.CHUNKS if chunked else Framing.LENGTH
        return encode_message(start_line, headers, body, framing)


async def _send(stream: SocketStream, data: bytes) -> None:
    # The node may have closed the connection; its answer may still come.
    with contextlib.suppress(anyio.BrokenResourceError, anyio.ClosedResourceError):
        await stream.send(data)


async def _read_answer(reader: BufferedByteReceiveStream) -> WireMessage:
    head = await read_head(reader)
    while head.status < FIRST_FINAL_STATUS:
        head = await read_head(reader)
    return await read_body(reader, head)


def _retry_after(answer: WireMessage | None) -> float:
    """Return the seconds of ``Retry-After``, 0 without one."""
    value = answer.value("retry-after") if answer is not None else ""
    try:
        return float(value)
    except ValueError:
        return 0.0
