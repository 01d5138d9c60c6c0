"""A back end of the mesh: slots, a queue, nested calls and the faults of its answers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from random import Random

import anyio
import msgspec
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
from pewtertack.lab.mesh.record import RUN, MeshRecord
from pewtertack.lab.mesh.shapes import HEALTH_PATH, MeshShape, RequestKind, ServiceShape

REQUEST_ID = "x-attempt-id"
DEADLINE = "x-deadline-milliseconds"
EXPECTED_BACKEND = "x-expected-instance"
NOT_EXECUTED = "x-not-executed"
MADE_FOR = "x-made-for"
"""Header of a back end's own answer: the id of the request that it was made for."""
LONG_BODY_BYTES = 8000
"""Only requests with a longer body are answered before all of it is read."""
MAX_READ_DELAY_SECONDS = 0.2
"""A back end that has answered early reads the rest of the body after at most this long."""
GARBLE = b"\x00\x17 no response\r\n\r\n"

SendNested = Callable[[RequestKind, float], Awaitable[bool]]
"""Sends a nested request with its time in seconds; returns whether it succeeded."""


class AnswerFaults(msgspec.Struct, frozen=True):
    """Shares of the answers, 0 to 1, that are affected; none by default."""

    refused: float = 0.0
    """Requests that are refused though slots are free."""
    anonymous: float = 0.0
    """Refusals without the id of their request."""
    repeated_late: float = 0.0
    """Answers that are sent again in place of the connection's next one."""
    repeated_at_once: float = 0.0
    early: float = 0.0
    """Requests with a long body that are refused before all of it is read."""
    garbled: float = 0.0
    lost: float = 0.0
    """Requests that run and whose connection is reset in place of an answer."""
    slowdown: float = 1.0
    """Factor by which work times are multiplied."""


class _ConnectionEndsError(Exception):
    """The back end ends the connection."""


class MeshBackend:
    """One life of a back end.

    Args:
        name: its id, which no other life has.
        service: its service.
        shape: the mesh.
        record: receives its steps.
        chooser: draws the faults and work times.
        send_nested: sends a request through the node beside it.
    """

    def __init__(
        self,
        name: str,
        service: ServiceShape,
        shape: MeshShape,
        record: MeshRecord,
        chooser: Random,
        send_nested: SendNested,
    ) -> None:
        self.name = name
        self.service = service
        self.faults = AnswerFaults()
        self.refusing = False
        """Whether every request is refused."""
        self._shape = shape
        self._record = record
        self._random = chooser
        self._send_nested = send_nested
        self._slots = anyio.CapacityLimiter(service.slots)
        self._resumed = anyio.Event()
        """Set unless the back end is frozen."""
        self._resumed.set()

    def freeze(self) -> None:
        """Do nothing more until ``resume``; connections stay open and requests queue up in them."""
        self._resumed = anyio.Event()

    def resume(self) -> None:
        """Go on with all that has arrived."""
        self._resumed.set()

    async def serve(self, stream: SocketStream) -> None:
        """Answer the requests of one connection until it ends."""
        reader = BufferedByteReceiveStream(stream)
        async with stream:
            try:
                late_copy = b""
                while True:
                    late_copy = await self._answer_next(reader, stream, late_copy)
            except (_ConnectionEndsError, MalformedMessageError):
                pass  # ``async with`` closes the connection
            except (anyio.EndOfStream, anyio.IncompleteRead):
                pass  # the node has closed it
            except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                pass  # the node or the back end's crash has reset it

    async def _answer_next(
        self, reader: BufferedByteReceiveStream, stream: SocketStream, late_copy: bytes
    ) -> bytes:
        """Answer one request; return the bytes to send in place of the next answer."""
        head = await read_head(reader)
        await self._resumed.wait()
        request_id = head.value(REQUEST_ID)
        if late_copy:
            self._record.note_backend(self.name, request_id, "late copy of the answer before")
            await stream.send(late_copy)
        if self._refuses_early(head):
            return await self._refuse_early(reader, stream, head)
        message = await read_body(reader, head)
        if not message.complete:
            raise _ConnectionEndsError
        answer = await self._make_answer(message)
        await self._resumed.wait()
        if self._draws(self.faults.garbled):
            self._record.note_backend(self.name, request_id, "garbled answer")
            await stream.send(GARBLE if self._draws(0.5) else answer[: len(answer) // 2])
            raise _ConnectionEndsError
        await stream.send(answer)
        if self._draws(self.faults.repeated_at_once):
            self._record.note_backend(self.name, request_id, "answer sent twice")
            await stream.send(answer)
        return answer if self._draws(self.faults.repeated_late) else b""

    def _draws(self, share: float) -> bool:
        return self._random.random() < share

    def _refuses_early(self, head: WireMessage) -> bool:
        length = int(head.value("content-length") or 0)
        is_long = length > LONG_BODY_BYTES or bool(head.value("transfer-encoding"))
        return is_long and self._draws(self.faults.early)

    async def _refuse_early(
        self, reader: BufferedByteReceiveStream, stream: SocketStream, head: WireMessage
    ) -> bytes:
        answer = self._refuse(head.value(REQUEST_ID), "refused before its body is read")
        await stream.send(answer)
        await anyio.sleep(self._random.uniform(0.0, MAX_READ_DELAY_SECONDS))
        await read_body(reader, head)
        return answer if self._draws(self.faults.repeated_late) else b""

    async def _make_answer(self, message: WireMessage) -> bytes:
        """Run or refuse a request and return the answer."""
        request_id = message.value(REQUEST_ID)
        target = message.start_line.split(" ")[1]
        if target == HEALTH_PATH:
            return encode_message(
                "HTTP/1.1 200 OK", (("x-instance-id", self.name),), b"", Framing.LENGTH
            )
        expected = message.value(EXPECTED_BACKEND)
        if expected and expected != self.name:
            return self._refuse(request_id, f"misdirected, meant for {expected}", 421)
        if self._draws(self.faults.refused) or self.refusing:
            return self._refuse(request_id, "refused")
        if self._slots.statistics().tasks_waiting >= self.service.queue_length:
            if self.service.resets_when_full:
                self._record.note_backend(self.name, request_id, "reset as the queue is full")
                raise _ConnectionEndsError
            return self._refuse(request_id, "refused as the queue is full")
        kind = next(item for item in self._shape.kinds if target.startswith(item.path))
        return await self._wait_and_run(request_id, kind, message)

    async def _wait_and_run(
        self, request_id: str, kind: RequestKind, message: WireMessage
    ) -> bytes:
        deadline = anyio.current_time() + int(message.value(DEADLINE) or 1) / 1000
        with anyio.move_on_at(deadline) as waiting:
            await self._slots.acquire()
        if waiting.cancelled_caught:
            return self._refuse(request_id, "refused as its deadline passed in the queue")
        try:
            self._record.note_backend(self.name, request_id, RUN)
            status = await self._run(kind, deadline)
        finally:
            self._slots.release()
        self._record.note_backend(self.name, request_id, f"ends with {status}")
        if self._draws(self.faults.lost):
            self._record.note_backend(self.name, request_id, "answer lost")
            raise _ConnectionEndsError
        headers: Fields = ((REQUEST_ID, request_id), (MADE_FOR, request_id), *self._load())
        body = b"x" * kind.response_bytes
        return encode_message(f"HTTP/1.1 {status} Status", headers, body, Framing.LENGTH)

    async def _run(self, kind: RequestKind, deadline: float) -> int:
        """Do the work of a request and return the status of the answer."""
        with anyio.move_on_at(deadline):
            work = self._random.uniform(0.5, 1.5) * kind.work * self.faults.slowdown
            await anyio.sleep(work / 2)
            if kind.nested and self._draws(kind.nested_share):
                succeeded = await self._send_all_nested(kind, deadline)
                if not succeeded:
                    return 500
            await anyio.sleep(work / 2)
            return 200
        return 504

    async def _send_all_nested(self, kind: RequestKind, deadline: float) -> bool:
        nested = self._shape.kind(kind.nested)
        seconds = min(nested.deadline, deadline - anyio.current_time())
        results: list[bool] = []

        async def send_one() -> None:
            results.append(await self._send_nested(nested, seconds))

        async with anyio.create_task_group() as tasks:
            for _ in range(kind.nested_count):
                tasks.start_soon(send_one)
        return all(results)

    def _refuse(self, request_id: str, reason: str, status: int = 503) -> bytes:
        self._record.note_backend(self.name, request_id, reason)
        headers: Fields = ((NOT_EXECUTED, "1"), *self._load())
        if not self._draws(self.faults.anonymous):
            headers = ((REQUEST_ID, request_id), *headers)
        return encode_message(f"HTTP/1.1 {status} Refused", headers, b"", Framing.LENGTH)

    def _load(self) -> Fields:
        statistics = self._slots.statistics()
        running, waiting = statistics.borrowed_tokens, statistics.tasks_waiting
        return (("x-server-load", f"{running},{waiting},{self.service.slots}"),)
