"""One HTTP/1.1 connection of a caller: parsing, limits, and responses in order.

``pipeline`` decides when a request starts. The size of a head and the time to receive it are
limited. Malformed requests are answered with the server's ``refuse`` function (``refusals``).
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

import httptools

from pewtertack.node.http.caller_resources import (
    FREE_BYTES,
    RECEIVE_BUFFER_BYTES,
    REQUEST_BYTES,
)
from pewtertack.node.http.cycle import (
    BODY_BUFFER_LIMIT,
    LOGGER_NAME,
    USUAL_HEAD_BYTES,
    RequestCycle,
    Scope,
)
from pewtertack.node.http.heads import DEFAULT_HEAD_LIMIT, RequestReadingProtocol
from pewtertack.node.http.pipeline import Pipeline
from pewtertack.node.http.refusals import RefusalReason
from pewtertack.node.http.transport import StreamTransport

if TYPE_CHECKING:
    from pewtertack.node.http.server import HttpServer

HEAD_SECONDS = 10.0
"""A head must be complete this long after the connection was made or its first byte arrived."""
DISCARD_SECONDS = 10.0
"""How long the body of a refused request may keep arriving."""
LINGER_SECONDS = 0.5
"""Time for the caller to close the connection after the last response.

It starts over while data of a body or of further requests arrives, up to ``DISCARD_SECONDS``:
closing then would reset the connection, and the response could be lost.
"""
HEAD_LIMIT_ATTRIBUTE = "longest_head"
"""Optional attribute of an application: a head limit in bytes above ``DEFAULT_HEAD_LIMIT``."""
SLICE_BYTES = 4 * 1024
"""Received data is parsed in slices of this size, so that limits are checked in between."""
BODY_SLICE_BYTES = 16 * 1024
"""Size of a slice that starts within a body, which takes no more memory than its bytes."""
USUAL_HEADERS = 64
"""Headers of an incomplete head from which on its memory is counted."""
MAX_WAITING_BYTES = 64 * 1024
"""Memory of the requests behind the first of a connection beyond which no more data is parsed."""
REPEATABLE_METHOD = "may_run_beside"
"""Optional method of an application: whether the request of a scope is repeatable."""

LEAVING_ATTRIBUTE = "leaving"
"""Optional attribute of an application: whether it asks callers to close their connections."""

logger = logging.getLogger(LOGGER_NAME)


def _never_repeatable(_scope: Scope) -> bool:
    return False


class HttpServerProtocol(RequestReadingProtocol):
    """One connection of a caller."""

    def __init__(self, server: HttpServer, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__()
        self.loop = loop
        self.transport: asyncio.Transport
        self.write_paused = False
        self._server = server
        self._application = server.application
        self._runs_concurrently: Callable[[Scope], bool] = getattr(
            self._application, REPEATABLE_METHOD, _never_repeatable
        )
        self._closed: asyncio.Event | None = None
        """Set when the connection has ended, if somebody waits for that."""
        self._pipeline: Pipeline[RequestCycle] = Pipeline()
        self._writable = asyncio.Event()
        self._reading_paused = False
        self._deadline_timer: asyncio.TimerHandle | None = None
        self._idle_timer: asyncio.TimerHandle | None = None
        self._slow_reader_timer: asyncio.TimerHandle | None = None
        self._idle_since = 0.0
        self._head_bytes = 0
        self._overhead_bytes = 0
        """Bytes of chunk sizes and trailers received since the last part of a body."""
        self._newest: RequestCycle | None = None
        self._unparsed = b""
        """Received data that is parsed once the requests before it leave room."""
        self._parsing = False
        self._resources = server.resources
        self._memory_counted = False
        """Whether the process' memory budget counts what the connection holds, or should."""
        self._making_room = False
        """Whether the connection is being closed in favor of another."""
        self._discarding = False
        """Data that still arrives is discarded."""
        self._last_request = False
        """The newest request is the connection's last, by its own headers."""
        self._close_when_answered = False
        """The connection ends as soon as no response is due."""
        self._lingering = False
        """The last response has been sent; the caller has ``LINGER_SECONDS`` to close."""
        self._data_discarded = False
        """Data was discarded since the flag was last cleared."""

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Start waiting for the first head."""
        self.transport = transport
        self._server.connections.add(self)
        self._server.open_connections += 1
        self._start_deadline(HEAD_SECONDS, self._refuse_slow_head)

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 (interface)
        """Notify the requests in flight that their caller has disconnected."""
        self._server.connections.discard(self)
        if self._closed is not None:
            self._closed.set()
        self._stop_deadline()
        if self.write_paused:
            self._stop_slow_reader_check()
            self._writable.set()
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        self._discarding = self._pipeline.closed = True
        for cycle in self._pipeline.requests:
            cycle.note_disconnect()
        # Breaks reference cycles, which would keep this object until a garbage collection.
        self._newest = None
        self._unparsed = b""
        self._pipeline.requests.clear()
        if self._memory_counted:
            self._resources.memory.note(self, 0, 0)
        if not self._making_room:
            self._server.open_connections -= 1
        del self._parser

    def eof_received(self) -> None:
        """Close the connection: a caller that sends no more does not wait for a response."""

    def pause_writing(self) -> None:
        """Stop writing: the caller reads too slowly."""
        self.write_paused = True
        self._writable.clear()
        self._schedule_slow_reader_check(self._server.slow_readers.add(self, self.loop.time()))

    def resume_writing(self) -> None:
        """Resume writing: the caller has read what was sent."""
        self.write_paused = False
        self._writable.set()
        self._stop_slow_reader_check()

    @property
    def unsent(self) -> int:
        """Bytes that the kernel has not accepted."""
        return self.transport.get_write_buffer_size()

    @property
    def undelivered_bytes(self) -> int:
        """Bytes that the caller has not received (``unread.Connection``)."""
        transport = self.transport
        return (
            transport.undelivered_bytes if isinstance(transport, StreamTransport) else self.unsent
        )

    def disconnect(self) -> None:
        """Disconnect a caller that does not read (``unread.Connection``)."""
        logger.warning(
            "disconnecting a caller that does not read its response: %d bytes left",
            self.undelivered_bytes,
        )
        self.transport.abort()

    def _schedule_slow_reader_check(self, seconds: float | None) -> None:
        if seconds is not None:
            self._slow_reader_timer = self.loop.call_later(seconds, self._check_slow_reader)

    def _check_slow_reader(self) -> None:
        self._schedule_slow_reader_check(self._server.slow_readers.check(self, self.loop.time()))

    def _stop_slow_reader_check(self) -> None:
        self._server.slow_readers.discard(self)
        if self._slow_reader_timer is not None:
            self._slow_reader_timer.cancel()

    def data_received(self, data: bytes) -> None:
        """Parse received data as far as the limits allow."""
        if self._discarding:
            self._data_discarded = True
            return
        if self._unparsed:
            self._unparsed += data
        elif len(data) > SLICE_BYTES:
            self._unparsed = data
            self._parse_unparsed()
        else:
            self._parse(data)
            if self._is_usual():
                return
        self._update_reading()
        if self._note_memory():
            self._resources.memory.relieve()

    def _is_usual(self) -> bool:
        """Return whether no limit can be reached: there is one request at most, and a small one.

        This is the case for nearly all requests, so it makes no further calls.
        """
        newest = self._newest
        if self._memory_counted or self._reading_paused or len(self._pipeline.requests) > 1:
            return False
        return len(self._headers) < USUAL_HEADERS and (
            newest is None or len(newest.body) < BODY_BUFFER_LIMIT
        )

    def _parse_unparsed(self) -> None:
        """Parse the data that waits, until the requests it contains take too much memory."""
        if self._parsing:
            return
        data, position = self._unparsed, 0
        self._parsing = True
        try:
            while position < len(data) and not self._discarding and self._may_parse():
                end = position + (SLICE_BYTES if self._reading_head else BODY_SLICE_BYTES)
                self._parse(data[position:end])
                position = end
                if self._note_memory():
                    self._resources.memory.relieve()
        finally:
            self._parsing = False
        self._unparsed = b"" if self._discarding else data[position:]

    def _parse(self, data: bytes) -> None:
        """Parse data; limit the size and duration of an incomplete head."""
        size = self._received_bytes = len(data)
        if self._reading_head:
            self._head_bytes += size
            self._head_size_bound += size
        else:
            self._overhead_bytes += size
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._refuse(self._refusal)
        except httptools.HttpParserUpgrade:
            self._discarding = self._last_request = True  # the application refuses it
        if self._head_bytes > 0 or not self._reading_head:
            self._limit_head()

    def _may_parse(self) -> bool:
        """Return whether the connection has room for more requests and parts of bodies."""
        newest, first = self._newest, self._pipeline.first
        if (newest is not None and newest.body_full) or self._pipeline.full:
            return False
        if first is None or self._is_receiving_first():
            return True
        return self._resources.memory.has_room() and self._waiting_memory() < MAX_WAITING_BYTES

    def _is_receiving_first(self) -> bool:
        """Return whether arriving data belongs to the request whose response is due."""
        first = self._pipeline.first
        return first is not None and first is self._newest and not first.received

    def _waiting_memory(self) -> int:
        """Return the memory of the requests behind the first, also of one being received."""
        requests = self._pipeline.requests
        behind = sum(cycle.memory for cycle in requests) - requests[0].memory
        return behind + (self.head_memory if self._reading_head else 0)

    def _note_memory(self) -> bool:
        """Have the process' budget count what the connection holds; return whether it does."""
        size = len(self._unparsed) + (self.head_memory if self._reading_head else 0)
        if self._reading_paused:
            size += RECEIVE_BUFFER_BYTES
        keeps = self._discarding or self.transport.is_closing() or self._is_receiving_first()
        arriving = 0 if keeps else size
        for cycle in self._pipeline.requests:
            size += cycle.memory + (REQUEST_BYTES if cycle.started else 0)
        if size > FREE_BYTES or self._memory_counted:
            self._memory_counted = self._resources.memory.note(self, size, arriving)
        return self._memory_counted

    def discard_arriving(self) -> None:
        """Discard incomplete requests, and end after the responses due (``MemoryBudget``)."""
        self._refuse(RefusalReason.MEMORY_FULL)
        self._update_reading()
        self._note_memory()

    @property
    def is_unused(self) -> bool:
        """Whether the connection has no request (``making_room``)."""
        has_request = bool(self._pipeline.requests) and not self._lingering
        return not (has_request or self.unsent or self.transport.is_closing())

    @property
    def unused_since(self) -> tuple[bool, float]:
        """Whether it has had a request, and since when it has none (``making_room``)."""
        if self._newest is not None or self._deadline_timer is None:
            return True, self._idle_since
        return False, self._deadline_timer.when()  # set when the connection was made

    def close_unused(self) -> bool:
        """Close the connection unless it has a request by now (``making_room``)."""
        self._read_now()
        if not self.is_unused:
            return False
        self._making_room = True
        self._server.open_connections -= 1
        self.transport.abort()
        return True

    def _limit_head(self) -> None:
        if not self._reading_head:
            self._limit_overhead()
            return
        if self._discarding:
            return
        if self._head_bytes > DEFAULT_HEAD_LIMIT and self._head_bytes > self._head_limit():
            self._refuse(RefusalReason.HEAD_TOO_LARGE)
        elif self._deadline_timer is None:
            self._start_deadline(HEAD_SECONDS, self._refuse_slow_head)

    def _limit_overhead(self) -> None:
        """Limit chunk sizes and trailers as a head."""
        if self._overhead_bytes > DEFAULT_HEAD_LIMIT and self._overhead_bytes > self._head_limit():
            self._refuse(RefusalReason.HEAD_TOO_LARGE)

    def _head_limit(self) -> int:
        return max(
            DEFAULT_HEAD_LIMIT, getattr(self._application, HEAD_LIMIT_ATTRIBUTE, DEFAULT_HEAD_LIMIT)
        )

    def _start_deadline(self, seconds: float, callback: Callable[[], object]) -> None:
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()
        self._deadline_timer = self.loop.call_later(seconds, callback)

    def _stop_deadline(self) -> None:
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()
            self._deadline_timer = None

    # httptools' parser

    def on_headers_complete(self) -> None:
        """Validate the head and start the request if it may start."""
        if self._discarding:
            return
        self._check_head()
        self._reading_head = False
        self._overhead_bytes = 0
        self._stop_deadline()
        cycle = RequestCycle(
            self, self._build_scope(), self._runs_concurrently, self._expects_continue
        )
        cycle.head_memory = head_memory = self.head_memory
        memory = self._resources.memory
        cycle.memory_short = memory.held_bytes + head_memory >= memory.limit
        if head_memory > USUAL_HEAD_BYTES:
            self._memory_counted = True
        self._newest = cycle
        self._last_request = not self._parser.should_keep_alive()
        cycle.may_write = self._pipeline.add(cycle)
        self._start_requests()

    def on_body(self, body: bytes) -> None:
        """Pass a part of the body to the newest request."""
        self._overhead_bytes = 0
        if self._newest is not None and not self._discarding:
            self._newest.receive_body(body)

    def on_message_complete(self) -> None:
        """End the newest request and expect the next head."""
        if self._discarding or self._newest is None:
            return
        self._newest.receive_end()
        self._discarding = self._last_request
        self._reading_head = True
        self._head_bytes = self._head_size_bound = 0
        self._headers = []
        if not self._pipeline.requests:
            self._stop_deadline()
            self._note_idle()

    # Ordering of requests and responses

    def _start_requests(self) -> None:
        for cycle in self._pipeline.start_eligible(self._resources.may_run_another):
            cycle.start(self.loop, self._application, self._server.tasks)

    def default_headers(self) -> list[tuple[bytes, bytes]]:
        """Return the headers that every response has."""
        return self._server.default_headers

    def write(self, data: bytes) -> None:
        """Send bytes to the caller."""
        if not self.transport.is_closing():
            self.transport.write(data)

    async def wait_writable(self) -> None:
        """Wait until the caller has read enough."""
        await self._writable.wait()

    def resume_reading(self) -> None:
        """Parse waiting data and resume reading if the pipeline has capacity."""
        if self._reading_paused:
            if self._unparsed:
                self._parse_unparsed()
            self._update_reading()
        if self._memory_counted:
            self._note_memory()

    def _update_reading(self) -> None:
        should_read = self._discarding or (not self._unparsed and self._may_parse())
        if should_read == (not self._reading_paused) or self.transport.is_closing():
            return
        self._reading_paused = not should_read
        if should_read:
            self.transport.resume_reading()
        else:
            self.transport.pause_reading()

    def is_leaving(self) -> bool:
        """Return whether the application reports that its node is shutting down."""
        return getattr(self._application, LEAVING_ATTRIBUTE, False)

    def close_after_responses(self) -> None:
        """Close the connection after all responses, including those to requests still arriving."""
        self._close_when_answered = True

    def closes_after(self, cycle: RequestCycle) -> bool:
        """Return whether the connection ends with this cycle's response.

        Requests received behind it, completely or in part, are served first: if they were dropped,
        their caller could not tell whether they had run. Requests that arrive after the head of
        this response was written cross it on the wire.
        """
        if self._close_when_answered and not self._pipeline.has_following:
            self._read_now()
            self._pipeline.closed = self._pipeline.closed or not self._pipeline.has_following
        return self._pipeline.closed or (self._last_request and cycle is self._newest)

    def response_written(self, cycle: RequestCycle) -> None:
        """Handle the end of a response: the next one in order may be written."""
        following = self._pipeline.pop_answered()
        if following is not None:
            following.start_writing()
        elif self._is_last(cycle):
            self._close_gracefully()
        else:
            self._continue_after(cycle)
        self.resume_reading()

    def _is_last(self, cycle: RequestCycle) -> bool:
        if self._close_when_answered and not self._pipeline.requests:
            return True
        return self._pipeline.closed or (self._last_request and cycle is self._newest)

    def _continue_after(self, cycle: RequestCycle) -> None:
        """Start requests that waited for ``cycle``, or limit the wait for the next data."""
        waiting = self._pipeline.first
        if waiting is not None:
            waiting.may_write = True
            self._start_requests()
        elif not cycle.received:
            cycle.drop_body()
            self._start_deadline(DISCARD_SECONDS, self.transport.abort)
        else:
            self._note_idle()

    def close_broken(self) -> None:
        """Close the connection because a response cannot be completed."""
        self.transport.close()

    def _close_gracefully(self) -> None:
        """Close after the caller does; data it sent after the last response is discarded."""
        self._discarding = self._lingering = True
        self._unparsed = b""
        unanswered = sum(cycle.received for cycle in self._pipeline.requests)
        if unanswered:
            logger.warning("closing a connection with complete requests unanswered: %d", unanswered)
        if self.transport.is_closing():
            return
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self._linger(self.loop.time() + DISCARD_SECONDS)

    def _linger(self, until: float) -> None:
        self._data_discarded = False
        self._start_deadline(LINGER_SECONDS, lambda: self._finish_linger(until))

    def _finish_linger(self, until: float) -> None:
        """Close unless the caller is still sending."""
        self._read_now()
        if self._data_discarded and self.loop.time() < until:
            self._linger(until)
        else:
            self.transport.close()

    def _note_idle(self) -> None:
        self._idle_since = self.loop.time()
        if self._idle_timer is None:
            self._idle_timer = self.loop.call_later(self._server.keep_alive, self._close_idle)

    def _close_idle(self) -> None:
        self._idle_timer = None
        self._read_now()
        if self._pipeline.requests or self._head_bytes:
            return
        remaining = self._idle_since + self._server.keep_alive - self.loop.time()
        if remaining <= 0:
            self._close_idle_now()
        else:
            self._idle_timer = self.loop.call_later(remaining, self._close_idle)

    async def wait_closed(self) -> None:
        """Wait until the connection has ended."""
        if self not in self._server.connections:
            return
        if self._closed is None:
            self._closed = asyncio.Event()
        await self._closed.wait()

    def shutdown(self) -> None:
        """Close the connection after the responses to all requests received so far.

        Pending data is read first. Closing with unread data would reset the connection, and the
        caller could not tell whether its requests ran. A caller that has started to send a request,
        or has just connected to send one, may finish it.
        """
        self._close_when_answered = True
        self._read_now()
        if self._pipeline.requests or self._lingering or self._head_bytes:
            return
        if self._newest is None:
            self._start_deadline(LINGER_SECONDS, self._close_unused)
        else:
            self._close_idle_now()

    def _read_now(self) -> None:
        if self._unparsed:
            self._parse_unparsed()
        if isinstance(self.transport, StreamTransport):
            self.transport.read_now()

    def _close_unused(self) -> None:
        """Close unless a first request has started to arrive, which ``HEAD_SECONDS`` limits."""
        self._deadline_timer = None
        self._read_now()
        if self._pipeline.requests:
            return
        if not self._head_bytes:
            self._close_idle_now()
        elif self._deadline_timer is None:
            self._start_deadline(HEAD_SECONDS, self._refuse_slow_head)

    def _close_idle_now(self) -> None:
        """Close immediately after the last read; a request that arrives later is reset."""
        self._pipeline.closed = True
        self.transport.write_eof()
        self.transport.close()

    # Refusals

    def _refuse_slow_head(self) -> None:
        self._deadline_timer = None
        slow = self._head_bytes > 0
        self._read_now()
        if self._unparsed:
            self._start_deadline(HEAD_SECONDS, self._refuse_slow_head)  # more has arrived
        elif slow and self._reading_head and self._head_bytes:
            self._refuse(RefusalReason.SLOW_HEAD)
        elif not (self._head_bytes or self._pipeline.requests):
            self._close_idle_now()
        # else: the head has arrived, or started to, at the last moment

    def _refuse(self, reason: RefusalReason) -> None:
        """Send a refusal for the data received last if its response is due, and end the connection.

        If earlier responses are due, the connection just ends after them: the caller treats the
        requests it sent after those as not read.
        """
        if self.transport.is_closing() or self._discarding:
            return
        self._discarding = self._close_when_answered = True
        self.drop_head()
        self._unparsed = b""
        first, newest = self._pipeline.first, self._newest
        if first is not None and (first is not newest or first.received):
            self._pipeline.drop_incomplete()
            return
        self._pipeline.closed = True
        started = newest is not None and not newest.received
        if newest is not None and started and newest.response_started:
            self.transport.abort()
            return
        self.transport.write(self._server.refuse(reason, started))
        if newest is not None:
            newest.note_disconnect()
        self._close_gracefully()
