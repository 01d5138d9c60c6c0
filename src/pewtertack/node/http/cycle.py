"""One request of a caller and its response, as an ASGI application sees them.

Parts of the response are held back while responses to earlier requests of the connection are due.
"""

from __future__ import annotations

import asyncio
import http
import logging
from collections.abc import Callable, MutableMapping
from typing import Any, Protocol

from pewtertack.node.http.caller_resources import FREE_BYTES, REQUEST_BYTES
from pewtertack.node.http.framing import LAST_CHUNK, NO_BODY_STATUSES, RawHeaders, encode_chunk

Scope = MutableMapping[str, Any]
"""ASGI connection scope."""
Message = MutableMapping[str, Any]
"""ASGI event."""

CALLER_EXTENSION = "pewtertack.caller"
"""ASGI extension: the request's ``RequestCycle``, which reports when its caller disconnects."""
WHOLE_BODY = "pewtertack.whole"
"""In an ``http.response.start`` message: the whole body, so that the response is checked and
written at once. Without it the head is handled separately, by a callback in an iteration of the
event loop of its own."""
USUAL_HEAD_BYTES = FREE_BYTES - REQUEST_BYTES
"""Memory of the head of a request that is always accepted."""
BODY_BUFFER_LIMIT = 64 * 1024
"""Received bytes of a body that may wait to be read before reading from the caller is paused."""
HELD_RESPONSE_LIMIT = 256 * 1024
"""Bytes of a response that may wait for earlier responses of its connection."""
LOGGER_NAME = "pewtertack.http"
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
PROCESSING = 102
"""Status of a provisional response: the request may never be answered."""
CLOSE_HEADER = b"connection: close\r\n"

logger = logging.getLogger(LOGGER_NAME)


class _StatusLines(dict[int, bytes]):
    """Status lines by status code; those of unregistered codes are created on first use."""

    def __missing__(self, status: int) -> bytes:
        if status not in range(100, 600):
            raise KeyError(status)
        line = self[status] = b"HTTP/1.1 %d \r\n" % status
        return line


STATUS_LINES = _StatusLines(
    (int(status), b"HTTP/1.1 %d %s\r\n" % (status, status.phrase.encode()))
    for status in http.HTTPStatus
)


class CallerConnection(Protocol):
    """Interface of a caller's connection, as a cycle uses it."""

    write_paused: bool

    def write(self, data: bytes) -> None:
        """Send bytes."""

    def default_headers(self) -> list[tuple[bytes, bytes]]:
        """Return the headers that every response has."""

    def resume_reading(self) -> None:
        """Resume reading unless something else prevents it."""

    async def wait_writable(self) -> None:
        """Wait until the caller has read enough."""

    def is_leaving(self) -> bool:
        """Return whether the node is shutting down and callers should reconnect elsewhere."""

    def closes_after(self, cycle: RequestCycle) -> bool:
        """Return whether the connection ends with this cycle's response."""

    def close_after_responses(self) -> None:
        """Close the connection after all responses, including those to requests still arriving."""

    def response_written(self, cycle: RequestCycle) -> None:
        """Handle the end of a response: all of it was written."""

    def close_broken(self) -> None:
        """Close the connection because a response cannot be completed."""


class RequestCycle:
    """Receives one request and sends its response when its turn has come."""

    def __init__(
        self,
        connection: CallerConnection,
        scope: Scope,
        runs_concurrently: Callable[[Scope], bool],
        expects_continue: bool,
    ) -> None:
        self.scope = scope
        scope["extensions"] = {CALLER_EXTENSION: self}
        self.head_memory = 0
        """Memory of the head, in bytes."""
        self.memory_short = False
        """Whether callers have used up their memory, so that only a usual request is accepted."""
        self.started = False
        self.may_write = False
        """Whether the response may be written."""
        self.received = False
        """Whether the whole request has been received."""
        self.gone = False
        """Whether the caller has disconnected."""
        self.response_started = False
        """Whether the application has sent a part of the response."""
        self.response_complete = False
        """Whether the application has sent the whole response; it may still wait for its turn."""
        self.on_caller_gone: Callable[[], None] | None = None
        self.body = bytearray()
        self._connection = connection
        self._runs_concurrently = runs_concurrently
        self._may_run_concurrently: bool | None = None
        self._expects_continue = expects_continue
        self._body_discarded = False
        self._changed = False
        """Whether anything has changed since the application last checked."""
        self._change_waiter: asyncio.Future[None] | None = None
        self._held_messages: list[Message] = []
        self._held_bytes = 0
        self._turn_event: asyncio.Event | None = None
        self._remaining_length = 0
        self._chunked = False
        self._head = b""
        self._failed = False
        self._task: asyncio.Task[None] | None = None
        """The task that runs the application, while it does."""
        self._tasks: set[asyncio.Task[None]]

    @property
    def runs_concurrently(self) -> bool:
        """Whether it may run while another request of its connection does."""
        if self._may_run_concurrently is None:
            self._may_run_concurrently = not self._expects_continue and self._runs_concurrently(
                self.scope
            )
        return self._may_run_concurrently

    # Called by the connection

    @property
    def memory(self) -> int:
        """Approximate memory in bytes of what was received of the request and not read yet."""
        return self.head_memory + len(self.body)

    @property
    def is_usual(self) -> bool:
        """Whether the head is no larger than that of a usual request."""
        return self.head_memory <= USUAL_HEAD_BYTES

    @property
    def body_full(self) -> bool:
        """Whether reading from the caller should be paused."""
        return len(self.body) > BODY_BUFFER_LIMIT

    def receive_body(self, data: bytes) -> None:
        """Buffer a received part of the body."""
        if not self._body_discarded and not self.response_complete:
            self.body += data
        self._notify_change()

    def receive_end(self) -> None:
        """Note that the whole request has been received."""
        self.received = True
        self._notify_change()

    def note_disconnect(self) -> None:
        """Note that the connection is lost."""
        self.gone = True
        self._notify_change()
        if self._turn_event is not None:
            self._turn_event.set()
        if self.on_caller_gone is not None and not self.response_complete:
            self.on_caller_gone()

    def _notify_change(self) -> None:
        self._changed = True
        waiter = self._change_waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    async def _wait_for_change(self) -> None:
        while not self._changed:
            self._change_waiter = asyncio.get_running_loop().create_future()
            await self._change_waiter
        self._changed = False

    def start_writing(self) -> None:
        """Write the held-back parts of the response, now that earlier requests are answered."""
        self.may_write = True
        if self._failed:
            self._connection.close_broken()
            return
        held_messages, self._held_messages = self._held_messages, []
        for message in held_messages:
            self._write(message)
        if self._turn_event is not None:
            self._turn_event.set()

    # Called by the application

    def drop_body(self) -> None:
        """Discard the rest of the request's body: nobody will read it."""
        self._body_discarded = True
        self.body.clear()
        self._connection.resume_reading()

    def send_processing(self, headers: RawHeaders) -> None:
        """Send a provisional 102 (Processing) response: the request may never be answered."""
        if not self.may_write or self.response_started or self.gone:
            return
        lines = [STATUS_LINES[PROCESSING]]
        for name, value in headers:
            lines += name, b": ", value, b"\r\n"
        self._connection.write(b"".join([*lines, b"\r\n"]))

    def start(
        self,
        loop: asyncio.AbstractEventLoop,
        application: Callable[..., Any],
        tasks: set[asyncio.Task[None]],
    ) -> None:
        """Run the application in a task that is among ``tasks`` while it runs."""
        self._tasks = tasks
        self._task = loop.create_task(self.run(application))
        tasks.add(self._task)

    async def run(self, application: Callable[..., Any]) -> None:
        """Run the application; close the connection if it does not complete its response."""
        try:
            await application(self.scope, self.receive, self.send)
        except Exception as error:
            logger.error(
                "the application failed; an incomplete response ends its connection", exc_info=error
            )
        finally:
            self._release_references()
        if self.response_complete or self.gone:
            return
        self._failed = True
        if self.may_write:
            self._connection.close_broken()

    def _release_references(self) -> None:
        """Drop references to this object that would keep it until a garbage collection."""
        self.scope["extensions"] = {}
        if self._task is not None:
            self._tasks.discard(self._task)
            self._task = None

    async def receive(self) -> Message:
        """Return the next part of the request (ASGI ``receive``)."""
        if self._expects_continue and self.may_write and not self.response_started:
            self._connection.write(CONTINUE_RESPONSE)
        self._expects_continue = False
        if not self.gone and not self.response_complete:
            if not self.body and not self.received:
                self._connection.resume_reading()
            await self._wait_for_change()
        if self.gone or self.response_complete:
            return {"type": "http.disconnect"}
        body = bytes(self.body)
        self.body.clear()
        return {"type": "http.request", "body": body, "more_body": not self.received}

    async def send(self, message: Message) -> None:
        """Write a part of the response, or hold it back (ASGI ``send``)."""
        if self.gone:
            return
        if self.may_write and self._connection.write_paused:
            await self._connection.wait_writable()
            if self.gone:
                return
        self._track_response(message)
        if self.may_write:
            self._write(message)
        else:
            await self._hold_back(message)

    def _track_response(self, message: Message) -> None:
        """Validate a message and track the state of the response.

        Raises:
            RuntimeError: the application violates ASGI or its own content-length.
        """
        is_start = message["type"] == "http.response.start"
        if self.response_complete or is_start == self.response_started:
            raise RuntimeError(f"unexpected ASGI message {message['type']}")
        if is_start:
            self.response_started = True
            self._track_framing(message)
            if WHOLE_BODY in message:
                self._track_body(message[WHOLE_BODY], False)
            return
        self._track_body(message.get("body", b""), message.get("more_body", False))

    def _track_body(self, body: bytes, more: bool) -> None:
        if not self._chunked and self.scope["method"] != "HEAD":
            self._remaining_length -= len(body)
        if self._remaining_length < 0 or (self._remaining_length > 0 and not more):
            raise RuntimeError("the response body does not match its content-length")
        self.response_complete = not more
        if self.response_complete:
            self.body.clear()  # nobody will read it
            self._notify_change()

    def _track_framing(self, message: Message) -> None:
        self._chunked = self.scope["method"] != "HEAD"
        for name, value in message["headers"]:
            if b"\n" in value or b"\r" in value:
                raise RuntimeError("a header value contains a line break")
            if name == b"content-length":
                self._chunked = False
                self._remaining_length = 0 if self.scope["method"] == "HEAD" else int(value)
        if message["status"] in NO_BODY_STATUSES:
            self._chunked = False

    async def _hold_back(self, message: Message) -> None:
        self._held_messages.append(message)
        self._held_bytes += len(message.get(WHOLE_BODY) or message.get("body", b""))
        if self._held_bytes > HELD_RESPONSE_LIMIT and not self.response_complete:
            self._turn_event = asyncio.Event()
            await self._turn_event.wait()

    # Writing

    def _write(self, message: Message) -> None:
        if message["type"] == "http.response.start":
            self._head = self._build_head(message)
            if WHOLE_BODY in message:
                self._write_body(message[WHOLE_BODY], False)
            else:
                asyncio.get_running_loop().call_soon(self._write_head)
            return
        self._write_body(message.get("body", b""), message.get("more_body", False))

    def _write_body(self, body: bytes, more: bool) -> None:
        """Write a part of the body, preceded by the head if it is not written yet."""
        parts = [self._head, *self._frame(body, more)]
        self._head = b""
        self._connection.write(b"".join(parts))
        if not more:
            self._connection.response_written(self)

    def _write_head(self) -> None:
        """Write the head alone if no body has followed it."""
        if self._head and not self.gone:
            self._connection.write(self._head)
        self._head = b""

    def _build_head(self, message: Message) -> bytes:
        if self._connection.is_leaving():
            self._connection.close_after_responses()
        lines = [STATUS_LINES[message["status"]]]
        for name, value in (*self._connection.default_headers(), *message["headers"]):
            if name == b"connection":
                self._connection.close_after_responses()
            else:
                lines += name, b": ", value, b"\r\n"
        if self._chunked:
            lines.append(b"transfer-encoding: chunked\r\n")
        if self._connection.closes_after(self):
            lines.append(CLOSE_HEADER)
        lines.append(b"\r\n")
        return b"".join(lines)

    def _frame(self, body: bytes, more: bool) -> tuple[bytes, ...]:
        if self.scope["method"] == "HEAD":
            return ()
        if not self._chunked:
            return (body,)
        chunk = (encode_chunk(body),) if body else ()
        return chunk if more else (*chunk, LAST_CHUNK)
