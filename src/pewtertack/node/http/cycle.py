"""One request of a caller and its answer, as an ASGI application sees them.

The answer's parts are kept while answers to earlier requests of the connection are due.
"""

from __future__ import annotations

import asyncio
import http
import logging
from collections.abc import Callable, MutableMapping
from typing import Any, Protocol

from pewtertack.node.http.framing import LAST_CHUNK, NO_BODY_STATUSES, RawHeaders, encode_chunk

Scope = MutableMapping[str, Any]
"""ASGI connection scope."""
Message = MutableMapping[str, Any]
"""ASGI event."""

CALLER_EXTENSION = "pewtertack.caller"
"""ASGI extension: the request's cycle, which tells when its caller leaves."""
WHOLE_BODY = "pewtertack.whole"
"""In a ``http.response.start``: the whole body, so that the answer is looked at and written once.
Otherwise the head has to be seen to by itself, by a callback in a round of its own."""
BODY_BYTES = 64 * 1024
"""Received bytes of a body that wait to be read before the caller is slowed down."""
HELD_RESPONSE_LIMIT = 256 * 1024
"""Bytes of an answer that may wait for earlier answers of its connection."""
LOGGER_NAME = "pewtertack.http"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
PROCESSING = 102
"""Status of a provisional answer: the request may never be answered."""
CLOSE_HEADER = b"connection: close\r\n"

logger = logging.getLogger(LOGGER_NAME)


class _StatusLines(dict[int, bytes]):
    """The status lines of the known statuses; those of others are made when first asked for."""

    def __missing__(self, status: int) -> bytes:
        if status not in range(100, 600):
            raise KeyError(status)
        line = self[status] = b"HTTP/1.1 %d \r\n" % status
        return line


STATUS_LINES = _StatusLines(
    (int(known), b"HTTP/1.1 %d %s\r\n" % (known, known.phrase.encode()))
    for known in http.HTTPStatus
)


class CallerConnection(Protocol):
    """What a cycle needs of its connection."""

    write_paused: bool

    def write(self, data: bytes) -> None:
        """Send bytes."""

    def default_headers(self) -> list[tuple[bytes, bytes]]:
        """Return the headers that every answer has."""

    def resume_reading(self) -> None:
        """Receive more, as far as nothing else speaks against it."""

    async def wait_writable(self) -> None:
        """Wait until the caller has read enough."""

    def leaving(self) -> bool:
        """Tell whether the node stops and callers should go elsewhere."""

    def close_after(self, cycle: RequestCycle) -> bool:
        """Tell whether the connection ends with this cycle's answer."""

    def end_after_answers(self) -> None:
        """End the connection after the answers that are due, those to come included."""

    def finish(self, cycle: RequestCycle) -> None:
        """The whole answer was written."""

    def cut(self) -> None:
        """End the connection, since an answer cannot be completed."""


class RequestCycle:
    """Receives one request and sends its answer, in its turn."""

    def __init__(
        self,
        connection: CallerConnection,
        scope: Scope,
        runs_concurrently: Callable[[Scope], bool],
        expects_continue: bool,
    ) -> None:
        self.scope = scope
        scope["extensions"] = {CALLER_EXTENSION: self}
        self.started = False
        self.first = False
        """Whether the answer may be written."""
        self.received = False
        """Whether the whole request has come."""
        self.gone = False
        """Whether the caller has left."""
        self.answer_begun = False
        """Whether a part of the answer was given."""
        self.answered = False
        """Whether the whole answer was given; it may still wait for its turn."""
        self.on_caller_gone: Callable[[], None] | None = None
        self.body = bytearray()
        self._connection = connection
        self._runs_beside_others = runs_concurrently
        self._beside: bool | None = None
        self._expects_continue = expects_continue
        self._body_dropped = False
        self._news = False
        """Whether something has come since the application last looked."""
        self._news_awaited: asyncio.Future[None] | None = None
        self._held: list[Message] = []
        self._held_bytes = 0
        self._turn: asyncio.Event | None = None
        self._length_left = 0
        self._chunked = False
        self._head = b""
        self._broken = False
        self._task: asyncio.Task[None] | None = None
        """What runs the application, while it does."""
        self._tasks: set[asyncio.Task[None]]

    @property
    def runs_concurrently(self) -> bool:
        """Whether it may run while another request of its connection does."""
        if self._beside is None:
            self._beside = not self._expects_continue and self._runs_beside_others(self.scope)
        return self._beside

    # The connection's side

    @property
    def body_full(self) -> bool:
        """Whether the caller should be slowed down."""
        return len(self.body) > BODY_BYTES

    def receive_body(self, data: bytes) -> None:
        """A part of the body has come."""
        if not self._body_dropped and not self.answered:
            self.body += data
        self._tell_news()

    def receive_end(self) -> None:
        """The whole request has come."""
        self.received = True
        self._tell_news()

    def lose_caller(self) -> None:
        """The connection has ended."""
        self.gone = True
        self._tell_news()
        if self._turn is not None:
            self._turn.set()
        if self.on_caller_gone is not None and not self.answered:
            self.on_caller_gone()

    def _tell_news(self) -> None:
        self._news = True
        awaited = self._news_awaited
        if awaited is not None and not awaited.done():
            awaited.set_result(None)

    async def _wait_for_news(self) -> None:
        while not self._news:
            self._news_awaited = asyncio.get_running_loop().create_future()
            await self._news_awaited
        self._news = False

    def take_turn(self) -> None:
        """Earlier requests are answered: write what was kept, and the rest as it comes."""
        self.first = True
        if self._broken:
            self._connection.cut()
            return
        held, self._held = self._held, []
        for message in held:
            self._write(message)
        if self._turn is not None:
            self._turn.set()

    # The application's side

    def drop_body(self) -> None:
        """Nobody will read the rest of the request's body."""
        self._body_dropped = True
        self.body.clear()
        self._connection.resume_reading()

    def send_processing(self, headers: RawHeaders) -> None:
        """Tell the caller, ahead of any answer, that its request may never be answered."""
        if not self.first or self.answer_begun or self.gone:
            return
        lines = [STATUS_LINES[PROCESSING]]
        for name, value in headers:
            lines += name, b": ", value, b"\r\n"
        self._connection.write(b"".join([*lines, b"\r\n"]))

    def begin(
        self,
        loop: asyncio.AbstractEventLoop,
        application: Callable[..., Any],
        tasks: set[asyncio.Task[None]],
    ) -> None:
        """Let the application answer by a task that is among ``tasks`` while it runs."""
        self._tasks = tasks
        self._task = loop.create_task(self.run(application))
        tasks.add(self._task)

    async def run(self, application: Callable[..., Any]) -> None:
        """Let the application answer the request; what it leaves open cuts the connection."""
        try:
            await application(self.scope, self.receive, self.send)
        except Exception as error:
            logger.error("the application failed", exc_info=error)
        finally:
            self._forget()
        if self.answered or self.gone:
            return
        self._broken = True
        if self.first:
            self._connection.cut()

    def _forget(self) -> None:
        """Drop what refers to this object, which would wait for the collector with it."""
        self.scope["extensions"] = {}
        if self._task is not None:
            self._tasks.discard(self._task)
            self._task = None

    async def receive(self) -> Message:
        """Return the next part of the request (ASGI)."""
        if self._expects_continue and self.first and not self.answer_begun:
            self._connection.write(CONTINUE)
        self._expects_continue = False
        if not self.gone and not self.answered:
            if not self.body and not self.received:
                self._connection.resume_reading()
            await self._wait_for_news()
        if self.gone or self.answered:
            return {"type": "http.disconnect"}
        body = bytes(self.body)
        self.body.clear()
        return {"type": "http.request", "body": body, "more_body": not self.received}

    async def send(self, message: Message) -> None:
        """Write, or keep, a part of the answer (ASGI)."""
        if self.gone:
            return
        if self.first and self._connection.write_paused:
            await self._connection.wait_writable()
            if self.gone:
                return
        self._check(message)
        if self.first:
            self._write(message)
        else:
            await self._hold(message)

    def _check(self, message: Message) -> None:
        """Note how the answer goes on.

        Raises:
            RuntimeError: the application breaks the protocol or its own announcement.
        """
        starts = message["type"] == "http.response.start"
        if self.answered or starts == self.answer_begun:
            raise RuntimeError(f"unexpected ASGI message {message['type']}")
        if starts:
            self.answer_begun = True
            self._note_framing(message)
            if WHOLE_BODY in message:
                self._note_body(message[WHOLE_BODY], False)
            return
        self._note_body(message.get("body", b""), message.get("more_body", False))

    def _note_body(self, body: bytes, more: bool) -> None:
        if not self._chunked and self.scope["method"] != "HEAD":
            self._length_left -= len(body)
        if self._length_left < 0 or (self._length_left > 0 and not more):
            raise RuntimeError("the answer's body has not the announced length")
        self.answered = not more
        if self.answered:
            self.body.clear()  # nobody reads it any more
            self._tell_news()

    def _note_framing(self, message: Message) -> None:
        self._chunked = self.scope["method"] != "HEAD"
        for name, value in message["headers"]:
            if b"\n" in value or b"\r" in value:
                raise RuntimeError("a header's value ends its line")
            if name == b"content-length":
                self._chunked = False
                self._length_left = 0 if self.scope["method"] == "HEAD" else int(value)
        if message["status"] in NO_BODY_STATUSES:
            self._chunked = False

    async def _hold(self, message: Message) -> None:
        self._held.append(message)
        self._held_bytes += len(message.get(WHOLE_BODY) or message.get("body", b""))
        if self._held_bytes > HELD_RESPONSE_LIMIT and not self.answered:
            self._turn = asyncio.Event()
            await self._turn.wait()

    # Writing

    def _write(self, message: Message) -> None:
        if message["type"] == "http.response.start":
            self._head = self._head_of(message)
            if WHOLE_BODY in message:
                self._write_body(message[WHOLE_BODY], False)
            else:
                asyncio.get_running_loop().call_soon(self._write_head)
            return
        self._write_body(message.get("body", b""), message.get("more_body", False))

    def _write_body(self, body: bytes, more: bool) -> None:
        """Write a part of the body, and the head before the first one."""
        parts = [self._head, *self._framed(body, more)]
        self._head = b""
        self._connection.write(b"".join(parts))
        if not more:
            self._connection.finish(self)

    def _write_head(self) -> None:
        """Write the head by itself, when no body has come along with it."""
        if self._head and not self.gone:
            self._connection.write(self._head)
        self._head = b""

    def _head_of(self, message: Message) -> bytes:
        if self._connection.leaving():
            self._connection.end_after_answers()
        lines = [STATUS_LINES[message["status"]]]
        for name, value in (*self._connection.default_headers(), *message["headers"]):
            if name == b"connection":
                self._connection.end_after_answers()
            else:
                lines += name, b": ", value, b"\r\n"
        if self._chunked:
            lines.append(b"transfer-encoding: chunked\r\n")
        if self._connection.close_after(self):
            lines.append(CLOSE_HEADER)
        lines.append(b"\r\n")
        return b"".join(lines)

    def _framed(self, body: bytes, more: bool) -> tuple[bytes, ...]:
        if self.scope["method"] == "HEAD":
            return ()
        if not self._chunked:
            return (body,)
        chunk = (encode_chunk(body),) if body else ()
        return chunk if more else (*chunk, LAST_CHUNK)
