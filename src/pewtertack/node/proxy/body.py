"""The caller's request body: streamed, and replayable while it is small."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from typing import Protocol

import anyio

from pewtertack.core.crashes.fingerprint import BODY_PREFIX_BYTES
from pewtertack.node.http.framing import RawHeaders
from pewtertack.node.proxy.failure_responses import Receive
from pewtertack.routing.outcomes import BodiesFullError, Outcome, SlowRequestError

MAX_REPLAY_BYTES = 512 * 1024
"""A longer body cannot be sent a second time: to another gateway, or as a retry."""
READ_AHEAD_BYTES = MAX_REPLAY_BYTES - 64 * 1024
"""So much of a long body is received before another node is asked for room: as long as its
caller sends, nobody need wait for it, and that a caller has gone is seen only while reading."""
TOTAL_BODY_BUFFER_BYTES = 16 * 1024 * 1024
"""What is kept of all requests' bodies together. Back ends that read nothing would have copies of
hundreds kept; a node has 20 MB at rest, and 200 where it has least."""
IDLE_SECONDS = 10.0
"""A caller that sends nothing of its body for this long is refused."""


class Caller(Protocol):
    """The sender of a request, who may leave before its answer (``node.http.cycle``)."""

    gone: bool
    on_caller_gone: Callable[[], None] | None
    """Called once when the caller leaves before its answer is complete."""

    def drop_body(self) -> None:
        """Nobody will read the rest of the request's body."""

    def send_processing(self, headers: RawHeaders) -> None:
        """Tell it, ahead of any answer, that its request may never be answered."""


class CallerGoneError(Exception):
    """The caller closed its connection before its request was read."""


class BufferedBodies:
    """How many bytes of all requests' bodies one application keeps."""

    __slots__ = ("byte_count",)

    def __init__(self) -> None:
        self.byte_count = 0

    @property
    def full(self) -> bool:
        """Whether no more should be kept."""
        return self.byte_count >= TOTAL_BODY_BUFFER_BYTES

    def check(self) -> None:
        """Refuse a long body at once while there is no room to keep it.

        Raises:
            BodiesFullError: nothing of the request has run.
        """
        if self.full:
            raise BodiesFullError("too many request bodies wait to be read")


class RequestBody:
    """Reads the body on demand, so that the caller is slowed to the back end's pace.

    Args:
        receive: gives the next part (ASGI).
        expected: whether there is a body.
        bodies: what is kept of all of them; the request's own share until ``forget``.
    """

    def __init__(self, receive: Receive, expected: bool, bodies: BufferedBodies) -> None:
        self.complete = not expected
        """Whether all of it has been received."""
        self._receive = receive
        self._bodies = bodies
        self._chunks: list[bytes] | None = []
        self._received_bytes = 0
        self._buffered_bytes = 0
        self._beginning: bytes | None = None
        """What counts of a body that is kept no longer."""

    @property
    def beginning(self) -> bytes | None:
        """The first ``BODY_PREFIX_BYTES``, or all of a shorter body; ``None`` until it has come."""
        if self._chunks is None:
            return self._beginning
        beginning = b"".join(self._chunks)[:BODY_PREFIX_BYTES]
        return beginning if self.complete or len(beginning) == BODY_PREFIX_BYTES else None

    @property
    def replayable(self) -> bool:
        """Whether everything received so far can be sent again."""
        return self._chunks is not None

    async def read_ahead(self, size: int = READ_AHEAD_BYTES) -> None:
        """Receive the body, or the first ``size`` bytes of it, before it is streamed.

        Less where no more may be kept of all bodies: the rest comes at the back end's pace.

        Raises:
            CallerGoneError: the caller has gone.
            SlowRequestError: the caller sent nothing for ``IDLE_SECONDS``; nothing has run.
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
            SlowRequestError: the caller sent nothing for ``IDLE_SECONDS``.
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
        """Whether to keep more; the beginning, which tells requests apart, is kept in any case."""
        return self._received_bytes < BODY_PREFIX_BYTES or not self._bodies.full

    def release(self) -> None:
        """The request has ended: nothing of its body is kept any longer."""
        self._bodies.byte_count -= self._buffered_bytes
        self._buffered_bytes = 0
        self._chunks = None

    async def _next_chunk(self) -> bytes:
        with anyio.move_on_after(IDLE_SECONDS) as scope:
            message = await self._receive()
        if scope.cancelled_caught:
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
        """Keep nothing but what counts of it: it can't be sent a second time any more."""
        if self._chunks is not None:
            self._beginning = b"".join(self._chunks)[:BODY_PREFIX_BYTES]
        self.release()
