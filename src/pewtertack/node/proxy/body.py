"""The caller's request body: streamed, and kept for a replay while it is small."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from typing import Protocol

import anyio

from pewtertack.core.crashes.fingerprint import BODY_PREFIX_BYTES
from pewtertack.node.http.framing import RawHeaders
from pewtertack.node.proxy.failure_responses import Receive
from pewtertack.routing.outcomes import BodiesFullError, Outcome, SlowRequestError

MAX_REPLAY_BYTES = 512 * 1024
"""A longer body cannot be sent a second time, neither to another gateway nor as a retry."""
READ_AHEAD_BYTES = MAX_REPLAY_BYTES - 64 * 1024
"""This much of a long body is received before the request is sent to a gateway: a gateway should
not wait while the caller is still sending, and a caller's disconnect is noticed only while its body
is being read."""
TOTAL_BODY_BUFFER_BYTES = 16 * 1024 * 1024
"""Limit on the buffered bytes of all requests' bodies together. Without it, back ends that do not
read could cause hundreds of bodies to be buffered. An idle node takes 20 MB of memory, and the
smallest nodes have 200 MB."""
BODY_IDLE_SECONDS = 10.0
"""A request is refused when its caller sends nothing of the body for this long."""


class Caller(Protocol):
    """The sender of a request, which may disconnect before its response (``node.http.cycle``)."""

    gone: bool
    on_caller_gone: Callable[[], None] | None
    """Called once if the caller disconnects before its response is complete."""

    memory_short: bool
    """Whether callers have used up their memory, so that only a usual request is accepted."""

    @property
    def is_usual(self) -> bool:
        """Whether the head is no larger than that of a usual request."""

    def drop_body(self) -> None:
        """Discard the rest of the request's body, which nobody will read."""

    def send_processing(self, headers: RawHeaders) -> None:
        """Send ``102 Processing``, which reports that the request may never be answered."""


class CallerGoneError(Exception):
    """The caller closed its connection before the request was complete."""


class BufferedBodies:
    """The number of request body bytes that one application has buffered."""

    __slots__ = ("byte_count",)

    def __init__(self) -> None:
        self.byte_count = 0

    @property
    def full(self) -> bool:
        """Whether the limit is reached."""
        return self.byte_count >= TOTAL_BODY_BUFFER_BYTES

    def check(self) -> None:
        """Refuse a long body if there is no buffer space for it.

        Raises:
            BodiesFullError: the limit is reached; the request has not run.
        """
        if self.full:
            raise BodiesFullError("too many request bodies wait to be read")


class RequestBody:
    """Reads the body on demand, so that the caller sends at the pace of the back end.

    Args:
        receive: returns the next part (ASGI).
        expected: whether there is a body.
        bodies: counts the buffered bytes of all bodies; this body's are counted until ``release``.
    """

    def __init__(self, receive: Receive, expected: bool, bodies: BufferedBodies) -> None:
        self.complete = not expected
        """Whether all of it has been received."""
        self.awaits_caller = False
        """Whether the next part has been asked for, and the caller has not sent it."""
        self._receive = receive
        self._bodies = bodies
        self._chunks: list[bytes] | None = []
        self._received_bytes = 0
        self._buffered_bytes = 0
        self._beginning: bytes | None = None
        """The beginning of a body whose chunks have been discarded."""

    @property
    def beginning(self) -> bytes | None:
        """The first ``BODY_PREFIX_BYTES``, or all of a shorter body; ``None`` until received."""
        if self._chunks is None:
            return self._beginning
        beginning = b"".join(self._chunks)[:BODY_PREFIX_BYTES]
        return beginning if self.complete or len(beginning) == BODY_PREFIX_BYTES else None

    @property
    def replayable(self) -> bool:
        """Whether everything received so far can be sent again."""
        return self._chunks is not None

    async def read_ahead(self, size: int = READ_AHEAD_BYTES) -> None:
        """Receive the body, or its first ``size`` bytes, before it is streamed.

        Less is received when the buffer limit of all bodies is reached; the rest is then received
        at the pace of the back end.

        Raises:
            CallerGoneError: the caller has gone.
            SlowRequestError: the caller sent nothing for ``BODY_IDLE_SECONDS``; nothing has run.
        """
        try:
            while not self.complete and self._received_bytes < size and self._may_buffer:
                self._append(await self._next_chunk())
        except SlowRequestError as error:
            raise error.with_outcome(Outcome.NOT_RUN) from None

    async def stream(self) -> AsyncIterator[bytes]:
        """Yield the body from its beginning.

        Raises:
            CallerGoneError: the caller has gone.
            SlowRequestError: the caller sent nothing for ``BODY_IDLE_SECONDS``.
        """
        assert self._chunks is not None
        for chunk in tuple(self._chunks):
            yield chunk
        while not self.complete:
            chunk = await self._next_chunk()
            self._append(chunk)
            if not self._may_buffer:
                self._discard_chunks()
            if chunk:
                yield chunk

    @property
    def _may_buffer(self) -> bool:
        """Whether to buffer more; the beginning, which the fingerprint needs, always is."""
        return self._received_bytes < BODY_PREFIX_BYTES or not self._bodies.full

    def release(self) -> None:
        """Free the buffered chunks: the request has ended, or its body cannot be replayed."""
        self._bodies.byte_count -= self._buffered_bytes
        self._buffered_bytes = 0
        self._chunks = None

    async def _next_chunk(self) -> bytes:
        self.awaits_caller = True
        with anyio.move_on_after(BODY_IDLE_SECONDS) as timeout:
            message = await self._receive()
            self.awaits_caller = False
        if timeout.cancelled_caught:
            raise SlowRequestError("the request body came too slowly")
        if message["type"] == "http.disconnect":
            raise CallerGoneError
        self.complete = not message.get("more_body", False)
        return bytes(message.get("body", b""))

    def _append(self, chunk: bytes) -> None:
        self._received_bytes += len(chunk)
        if self._chunks is None or not chunk:
            return
        self._chunks.append(chunk)
        self._buffered_bytes += len(chunk)
        self._bodies.byte_count += len(chunk)
        if self._received_bytes > MAX_REPLAY_BYTES:
            self._discard_chunks()

    def _discard_chunks(self) -> None:
        """Discard the chunks except the beginning; the body can no longer be replayed."""
        if self._chunks is not None:
            self._beginning = b"".join(self._chunks)[:BODY_PREFIX_BYTES]
        self.release()
