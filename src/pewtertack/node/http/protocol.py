"""One connection of a caller: httptools' parser, guards, and answers in order.

A request begins as the ``pipeline`` says; its head is bounded in size and time; what is no
request is refused in words that the server knows (``refusals``).
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

import httptools

from pewtertack.node.http.cycle import LOGGER_NAME, RequestCycle, Scope
from pewtertack.node.http.heads import DEFAULT_HEAD_LIMIT, RequestReadingProtocol
from pewtertack.node.http.pipeline import Pipeline
from pewtertack.node.http.refusals import RefusalReason
from pewtertack.node.http.transport import StreamTransport

if TYPE_CHECKING:
    from pewtertack.node.http.server import HttpServer

HEAD_SECONDS = 10.0
"""A head must be complete this long after the connection, or its first byte, came."""
DISCARD_SECONDS = 10.0
"""A refused request's body may go on arriving for this long."""
LINGER_SECONDS = 0.5
"""After the last answer the caller may take so long to close, from the last that came of it, at
most ``DISCARD_SECONDS``: closing while bytes of its body or of next requests arrive would reset
the connection, and the answer could be lost."""
LONGEST_HEAD = "longest_head"
"""Optional attribute of an application: the largest head in bytes, above ``DEFAULT_HEAD_LIMIT``."""
MAY_RUN_BESIDE = "may_run_beside"
"""Method of an application that tells, by its scope, whether a request may be repeated."""

LEAVING = "leaving"
"""Attribute of an application: whether it asks callers to close their connections."""

logger = logging.getLogger(LOGGER_NAME)


def _never(scope: Scope) -> bool:
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
        self._runs_beside: Callable[[Scope], bool] = getattr(
            self._application, MAY_RUN_BESIDE, _never
        )
        self._closed = asyncio.Event()
        self._pipeline: Pipeline[RequestCycle] = Pipeline()
        self._writable = asyncio.Event()
        self._reading_paused = False
        self._guard: asyncio.TimerHandle | None = None
        self._idle_timer: asyncio.TimerHandle | None = None
        self._unread_timer: asyncio.TimerHandle | None = None
        self._idle_since = 0.0
        self._head_bytes = 0
        self._reading_head = True
        self._newest: RequestCycle | None = None
        self._discarding = False
        """Nothing that still comes is served."""
        self._last_received = False
        """The newest request is the connection's last, as the caller says."""
        self._end_wanted = False
        """The connection ends as soon as no answer is due."""
        self._lingering = False
        """The last answer has gone; the caller has ``LINGER_SECONDS`` to close."""
        self._discarded = False
        """Something that is not served has come since it was last asked."""

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Begin to wait for the first head."""
        self.transport = transport
        self._server.connections.add(self)
        self._start_guard(HEAD_SECONDS, self._refuse_slow_head)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the requests under way that their caller has gone."""
        self._server.connections.discard(self)
        self._closed.set()
        self._stop_guard()
        if self.write_paused:
            self._stop_unread()
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        self._writable.set()
        self._discarding = self._pipeline.closed = True
        for cycle in self._pipeline.requests:
            cycle.lose_caller()
        # What refers to this object would wait for the collector with it.
        self._newest = None
        self._pipeline.requests.clear()
        del self._parser

    def eof_received(self) -> None:
        """Close the connection: a caller that sends no more waits for no answer."""

    def pause_writing(self) -> None:
        """The caller reads too slowly."""
        self.write_paused = True
        self._writable.clear()
        self._look_in(self._server.slow_readers.add(self, self.loop.time()))

    def resume_writing(self) -> None:
        """The caller has read what was sent."""
        self.write_paused = False
        self._writable.set()
        self._stop_unread()

    @property
    def unsent(self) -> int:
        """Bytes that the system has not taken."""
        return self.transport.get_write_buffer_size()

    @property
    def undelivered_bytes(self) -> int:
        """Bytes that the caller has not taken (``unread.Connection``)."""
        transport = self.transport
        return (
            transport.undelivered_bytes if isinstance(transport, StreamTransport) else self.unsent
        )

    def disconnect(self) -> None:
        """End the connection of a caller that does not read (``unread.Connection``)."""
        logger.warning("a caller does not read its answer: %d bytes left", self.undelivered_bytes)
        self.transport.abort()

    def _look_in(self, seconds: float | None) -> None:
        if seconds is not None:
            self._unread_timer = self.loop.call_later(seconds, self._look_at_unread)

    def _look_at_unread(self) -> None:
        self._look_in(self._server.slow_readers.check(self, self.loop.time()))

    def _stop_unread(self) -> None:
        self._server.slow_readers.discard(self)
        if self._unread_timer is not None:
            self._unread_timer.cancel()

    def data_received(self, data: bytes) -> None:
        """Parse, and bound the head while it is incomplete."""
        if self._discarding:
            self._discarded = True
            return
        size = self._chunk_bytes = len(data)
        if self._reading_head:
            self._head_bytes += size
            self._head_most += size
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._refuse(self._refusal)
        except httptools.HttpParserUpgrade:
            self._discarding = self._last_received = True  # the application refuses it
        self._bound_head()
        self._update_reading()

    def _bound_head(self) -> None:
        if not self._reading_head or self._head_bytes == 0 or self._discarding:
            return
        if self._head_bytes > DEFAULT_HEAD_LIMIT and self._head_bytes > self._longest_head():
            self._refuse(RefusalReason.HEAD_TOO_LARGE)
        elif self._guard is None:
            self._start_guard(HEAD_SECONDS, self._refuse_slow_head)

    def _longest_head(self) -> int:
        return max(DEFAULT_HEAD_LIMIT, getattr(self._application, LONGEST_HEAD, DEFAULT_HEAD_LIMIT))

    def _start_guard(self, seconds: float, callback: Callable[[], object]) -> None:
        if self._guard is not None:
            self._guard.cancel()
        self._guard = self.loop.call_later(seconds, callback)

    def _stop_guard(self) -> None:
        if self._guard is not None:
            self._guard.cancel()
            self._guard = None

    # httptools' parser

    def on_headers_complete(self) -> None:
        """Check what httptools leaves unchecked, then start the request if it may begin."""
        if self._discarding:
            return
        self._check_head()
        self._reading_head = False
        self._stop_guard()
        cycle = RequestCycle(self, self._scope(), self._runs_beside, self._expects_continue)
        self._newest = cycle
        self._last_received = not self._parser.should_keep_alive()
        self._pipeline.add(cycle)
        cycle.first = self._pipeline.first is cycle
        self._start_requests()

    def on_body(self, body: bytes) -> None:
        """Take a part of the newest request's body."""
        if self._newest is not None and not self._discarding:
            self._newest.receive_body(body)

    def on_message_complete(self) -> None:
        """Expect the next head."""
        if self._discarding or self._newest is None:
            return
        self._newest.receive_end()
        self._discarding = self._last_received
        self._reading_head = True
        self._head_bytes = 0
        if not self._pipeline.requests:
            self._stop_guard()
            self._note_idle()

    # The order of requests and answers

    def _start_requests(self) -> None:
        for cycle in self._pipeline.start_eligible():
            cycle.begin(self.loop, self._application, self._server.tasks)

    def default_headers(self) -> list[tuple[bytes, bytes]]:
        """Return the headers that every answer has."""
        return self._server.default_headers

    def write(self, data: bytes) -> None:
        """Send bytes to the caller."""
        if not self.transport.is_closing():
            self.transport.write(data)

    async def wait_writable(self) -> None:
        """Wait until the caller has read enough."""
        await self._writable.wait()

    def resume_reading(self) -> None:
        """Receive more, as far as the pipeline has room."""
        if self._reading_paused:
            self._update_reading()

    def _update_reading(self) -> None:
        newest = self._newest
        body_full = newest is not None and newest.body_full
        wanted = self._discarding or not (body_full or self._pipeline.full)
        if wanted == (not self._reading_paused) or self.transport.is_closing():
            return
        self._reading_paused = not wanted
        if wanted:
            self.transport.resume_reading()
        else:
            self.transport.pause_reading()

    def leaving(self) -> bool:
        """Tell whether the application says that its node stops."""
        return getattr(self._application, LEAVING, False)

    def end_after_answers(self) -> None:
        """End the connection after the answers that are due, those to come included."""
        self._end_wanted = True

    def close_after(self, cycle: RequestCycle) -> bool:
        """Tell whether the connection ends with this cycle's answer.

        What has come behind it, or is coming, is served first: dropped, its caller could not tell
        whether it has run. What comes after the answer's head crosses it.
        """
        if self._end_wanted and not self._pipeline.has_following:
            self._read_now()
            self._pipeline.closed = self._pipeline.closed or not self._pipeline.has_following
        return self._pipeline.closed or (self._last_received and cycle is self._newest)

    def finish(self, cycle: RequestCycle) -> None:
        """An answer is complete: the next in order may be written."""
        following = self._pipeline.answered()
        if following is not None:
            following.take_turn()
        elif self._ends_with(cycle):
            self._end_gently()
        else:
            self._go_on(cycle)
        self.resume_reading()

    def _ends_with(self, cycle: RequestCycle) -> bool:
        if self._end_wanted and not self._pipeline.requests:
            return True
        return self._pipeline.closed or (self._last_received and cycle is self._newest)

    def _go_on(self, cycle: RequestCycle) -> None:
        """Begin what waited for ``cycle``; bound the time that its body or silence may take."""
        waiting = self._pipeline.first
        if waiting is not None:
            waiting.first = True
            self._start_requests()
        elif not cycle.received:
            cycle.drop_body()
            self._start_guard(DISCARD_SECONDS, self.transport.abort)
        else:
            self._note_idle()

    def cut(self) -> None:
        """End the connection, since an answer cannot be completed."""
        self.transport.close()

    def _end_gently(self) -> None:
        """Close once the caller has; what it has sent behind the last answer is not read."""
        self._discarding = self._lingering = True
        dropped = sum(cycle.received for cycle in self._pipeline.requests)
        if dropped:
            logger.warning("a connection ends with whole requests unanswered: %d", dropped)
        if self.transport.is_closing():
            return
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self._linger(self.loop.time() + DISCARD_SECONDS)

    def _linger(self, until: float) -> None:
        self._discarded = False
        self._start_guard(LINGER_SECONDS, lambda: self._end_linger(until))

    def _end_linger(self, until: float) -> None:
        """Close, unless the caller still sends."""
        self._read_now()
        if self._discarded and self.loop.time() < until:
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
        left = self._idle_since + self._server.keep_alive - self.loop.time()
        if left <= 0:
            self._close_idle_now()
        else:
            self._idle_timer = self.loop.call_later(left, self._close_idle)

    async def wait_closed(self) -> None:
        """Return when the connection has ended."""
        await self._closed.wait()

    def shutdown(self) -> None:
        """End the connection, after the answers to what has been read, or has come by now.

        Closed with bytes unread, it would be reset: its caller could not tell whether they ran.
        Who has begun a request, or has just connected to send one, may do so.
        """
        self._end_wanted = True
        self._read_now()
        if self._pipeline.requests or self._lingering or self._head_bytes:
            return
        if self._newest is None:
            self._start_guard(LINGER_SECONDS, self._close_unused)
        else:
            self._close_idle_now()

    def _read_now(self) -> None:
        if isinstance(self.transport, StreamTransport):
            self.transport.read_now()

    def _close_unused(self) -> None:
        """Close unless a first request has begun to come, which ``HEAD_SECONDS`` bounds."""
        self._guard = None
        self._read_now()
        if self._pipeline.requests:
            return
        if not self._head_bytes:
            self._close_idle_now()
        elif self._guard is None:
            self._start_guard(HEAD_SECONDS, self._refuse_slow_head)

    def _close_idle_now(self) -> None:
        """Tell the end in the same moment as the last look was made: what comes later is reset."""
        self._pipeline.closed = True
        self.transport.write_eof()
        self.transport.close()

    # Refusals

    def _refuse_slow_head(self) -> None:
        self._guard = None
        slow = self._head_bytes > 0
        self._read_now()
        if slow and self._reading_head and self._head_bytes:
            self._refuse(RefusalReason.SLOW_HEAD)
        elif not (self._head_bytes or self._pipeline.requests):
            self._close_idle_now()
        # else the head has come at the last moment, or has begun to

    def _refuse(self, reason: RefusalReason) -> None:
        """Answer what was received last, if that is due, and end the connection.

        Behind answers that are due the connection just ends after them: its caller takes
        what it has sent behind them as not read.
        """
        if self.transport.is_closing() or self._discarding:
            return
        self._discarding = self._end_wanted = True
        first, newest = self._pipeline.first, self._newest
        if first is not None and (first is not newest or first.received):
            self._pipeline.drop_incomplete()
            return
        self._pipeline.closed = True
        begun = newest is not None and not newest.received
        if newest is not None and begun and newest.answer_begun:
            self.transport.abort()
            return
        self.transport.write(self._server.refuse(reason, begun))
        if newest is not None:
            newest.lose_caller()
        self._end_gently()
