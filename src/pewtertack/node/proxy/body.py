"""The caller's request body: streamed, and replayable while it is small."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from typing import Protocol

import anyio

from pewtertack.core.crashes.fingerprint import BEGINNING_BYTES
from pewtertack.node.http.framing import RawHeaders
from pewtertack.node.proxy.answers import Receive
from pewtertack.routing.outcomes import Outcome, SlowRequestError

REPLAY_BYTES = 512 * 1024
"""A longer body cannot be sent a second time: to another gateway, or as a retry."""
AHEAD_BYTES = REPLAY_BYTES - 64 * 1024
"""So much of a long body is received before another node is asked for room: as long as its
caller sends, nobody need wait for it, and that a caller has gone is seen only while reading."""
IDLE_SECONDS = 10.0
"""A caller that sends nothing of its body for this long is refused."""


class Caller(Protocol):
    """The sender of a request, who may leave before its answer (``node.http.cycle``)."""

    gone: bool
    on_gone: Callable[[], None] | None
    """Called once when the caller leaves before its answer is complete."""

    def drop_body(self) -> None:
        """Nobody will read the rest of the request's body."""

    def doubt(self, headers: RawHeaders) -> None:
        """Tell it, ahead of any answer, that its request may never be answered."""


class CallerGoneError(Exception):
    """The caller closed its connection before its request was read."""


class RequestBody:
    """Reads the body on demand, so that the caller is slowed to the back end's pace."""

    def __init__(self, receive: Receive, expected: bool) -> None:
        self.complete = not expected
        """Whether all of it has been received."""
        self._receive = receive
        self._kept: list[bytes] | None = []
        self._kept_bytes = 0
        self._beginning: bytes | None = None
        """What counts of a body that is kept no longer."""

    @property
    def beginning(self) -> bytes | None:
        """The first ``BEGINNING_BYTES``, or all of a shorter body; ``None`` until it has come."""
        if self._kept is None:
            return self._beginning
        beginning = b"".join(self._kept)[:BEGINNING_BYTES]
        return beginning if self.complete or len(beginning) == BEGINNING_BYTES else None

    @property
    def replayable(self) -> bool:
        """Whether everything received so far can be sent again."""
        return self._kept is not None

    async def read_ahead(self, size: int = AHEAD_BYTES) -> None:
        """Receive the body, or the first ``size`` bytes of it, before it is streamed.

        Raises:
            CallerGoneError: the caller has gone.
            SlowRequestError: the caller sent nothing for ``IDLE_SECONDS``; nothing has run.
        """
        try:
            while not self.complete and self._kept_bytes < size:
                self._keep(await self._next_chunk())
        except SlowRequestError as error:
            raise error.with_outcome(Outcome.NOT_RUN) from None

    async def stream(self) -> AsyncIterator[bytes]:
        """Yield the body from its beginning.

        Raises:
            CallerGoneError: the caller has gone.
            SlowRequestError: the caller sent nothing for ``IDLE_SECONDS``.
        """
        assert self._kept is not None
        for chunk in tuple(self._kept):
            yield chunk
        while not self.complete:
            chunk = await self._next_chunk()
            self._keep(chunk)
            if chunk:
                yield chunk

    async def _next_chunk(self) -> bytes:
        with anyio.move_on_after(IDLE_SECONDS) as scope:
            message = await self._receive()
        if scope.cancelled_caught:
            raise SlowRequestError("the request body came too slowly")
        if message["type"] == "http.disconnect":
            raise CallerGoneError
        self.complete = not message.get("more_body", False)
        return bytes(message.get("body", b""))

    def _keep(self, chunk: bytes) -> None:
        self._kept_bytes += len(chunk)
        if self._kept_bytes > REPLAY_BYTES:
            if self._kept is not None:
                self._beginning = b"".join((*self._kept, chunk))[:BEGINNING_BYTES]
            self._kept = None
        elif self._kept is not None and chunk:
            self._kept.append(chunk)
