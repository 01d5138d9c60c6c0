"""One connection to a back end, or to another node: a request at a time, parsed by httptools.

httpcore, which reads the source of the configuration, took 40 in 100 of a request's
processor time here (its parser, h11, is written in Python); httptools' parser is the one
that reads callers' requests as well.
"""

from __future__ import annotations

import asyncio
import errno
import select
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING

import httptools

from pewtertack.node import clock
from pewtertack.node.http.framing import LAST_CHUNK, RawHeaders, encode_chunk
from pewtertack.node.http.messages import OutgoingRequest, ResponseHead
from pewtertack.node.http.response_reading import (
    READ_BUFFER_LIMIT,
    ExchangeBrokenError,
    ResponseReadingProtocol,
    wake,
)
from pewtertack.node.http.tcp_info import seconds_since_received
from pewtertack.node.http.transport import (
    ACK_TIMEOUT_SECONDS,
    MILLISECONDS,
    StreamTransport,
    connect_socket,
)

if TYPE_CHECKING:
    from pewtertack.node.http.acknowledgement import AcknowledgementMonitor

LONG_BODY_BYTES = 32 * 1024
"""A longer body may find no room at the other end, which is no sign of a machine that is gone:
from then on that is told otherwise (``acknowledgement``). Every receiver has room for less."""
DOUBTED_AFTER_SUSPENSION = 0.3
"""A connection that stood while the machine was suspended for so long carries no further
request: the other end may have given it up, and a request sent on it, which may not be sent
again, would end as of unknown outcome. The steady clock and the one that counts suspensions
are read one after the other; being preempted between them must not look like one."""
SILENT_ERRORS = frozenset({errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH})
PROBE_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(ACK_TIMEOUT_SECONDS * MILLISECONDS)),
)
"""For a machine that falls silent while an answer is awaited. One that lost power or is cut off
ends its connections; a back end's silence does not."""


class ExchangeLeftError(ExchangeBrokenError):
    """The other end doubts that it will answer, and the request is better given up."""

    code = "exchange-left"


MayAbandon = Callable[[RawHeaders], bool]
"""Tells, by what the other end says of its doubt, whether to give the request up."""


def never_abandon(doubt: RawHeaders) -> bool:
    """Give no request up, whatever the other end doubts."""
    return False


class BackendConnection(ResponseReadingProtocol):
    """Carries one exchange after the other. The whole request has one timeout, set outside."""

    def __init__(self, address: str = "") -> None:
        super().__init__()
        self.address = address
        self.sent = False
        """Whether the other end may have begun with the current exchange."""
        self._suspended = clock.suspended_seconds()
        """What the clock of suspensions said when the last exchange began."""
        self._writer: asyncio.Future[None] | None = None
        self._writing_paused = False
        self._watch: AcknowledgementMonitor | None = None
        """Made for the first long body."""
        self._idle_look: select.poll | None = None
        """Made for the second exchange."""
        # The current exchange
        self._body_bytes = 0
        """Sent of the body, with the head."""
        self._unsent = b""
        """The request's head, until it is written."""
        self._request_sent = True

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        connected = transport.get_extra_info("socket")
        for level, option, value in PROBE_OPTIONS:
            connected.setsockopt(level, option, value)

    def data_received(self, data: bytes) -> None:
        """Parse what came; nothing may come while no answer is awaited."""
        if self._complete:
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._end(None)
        if self._buffered > READ_BUFFER_LIMIT and not self._reading_paused:
            self._reading_paused = True
            self._transport.pause_reading()
        wake(self._waiter)
        if self._writer is not None and self._answer is not None:
            wake(self._writer)  # the rest of the body is not needed

    def eof_received(self) -> bool:
        """Note the back end's end of stream, which may be the answer's end."""
        answer = self._answer
        if answer is not None and not answer.framed:
            self._complete = True
        self._end(None)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Note that the connection is gone."""
        self._end(exc)
        if self._watch is not None:
            self._watch.stop()
            self._watch = None  # refers to this object
        del self._parser  # refers to this object

    def _end(self, failure: Exception | None) -> None:
        self._ended = True
        self._keep = False
        self._failure = self._failure or failure
        for awaited in (self._waiter, self._writer):
            if awaited is not None:
                wake(awaited)

    def pause_writing(self) -> None:
        """Make the sender wait."""
        self._writing_paused = True

    def resume_writing(self) -> None:
        """Let the sender go on."""
        self._writing_paused = False
        wake(self._writer)

    # The exchange

    async def exchange(
        self, request: OutgoingRequest, may_leave: MayAbandon = never_abandon
    ) -> ResponseHead:
        """Send the request and return the head of its answer.

        ``may_leave`` is asked whenever the other end doubts that it will answer.

        Raises:
            ExchangeLeftError: the exchange was left for such a doubt.
            ExchangeBrokenError: no answer came; ``sent`` tells whether it may have run.
        """
        self.sent = False
        self._suspended = clock.suspended_seconds()
        self._answer = None
        self._chunks.clear()
        self._buffered = 0
        self._bodiless = request.method == b"HEAD"
        self._complete = self._request_sent = self._body_asked_for = False
        self._doubt = None
        self._body_bytes = 0
        if request.body is None and not request.chunked:
            await self._send_bodiless(request)
        else:
            await self._send(request)
        while self._answer is None:
            await self._wait()
            if self._doubt is not None:
                self._leave_in_doubt(may_leave)
        return self._answer

    def look(self) -> bool:
        """Read what has come; tell whether the answer has begun, or can't any more.

        A loop that was held up may come to a timer before it looks at the socket.
        """
        if self._answer is None and isinstance(self._transport, StreamTransport):
            self._transport.read_now()
        return self._answer is not None or self._ended

    def _leave_in_doubt(self, may_leave: MayAbandon) -> None:
        doubt, self._doubt = self._doubt, None
        if doubt is not None and self._answer is None and may_leave(doubt):
            raise ExchangeLeftError("the other end doubts that it will answer")

    async def _send_bodiless(self, request: OutgoingRequest) -> None:
        if not self._ended:
            self.sent = True
            self._transport.write(request.head())
            if self._writing_paused:
                await self._wait_to_write()
        self._request_sent = True

    async def _send(self, request: OutgoingRequest) -> None:
        """Send head and body; an early answer ends it before the end of the body."""
        self._unsent = request.head()
        if request.body is not None:
            if request.body_on_demand and not await self._wait_for_demand():
                return
            if not request.head_with_body:
                asyncio.get_running_loop().call_soon(self._send_head)
            async for chunk in request.body:
                if self._answer is not None or self._ended:
                    return
                await self._write(encode_chunk(chunk) if request.chunked else chunk)
        await self._write(LAST_CHUNK if request.chunked else b"")
        self._request_sent = True

    async def _wait_for_demand(self) -> bool:
        """Send the head; tell whether its body was asked for, and not answered without it."""
        self._transport.write(self._unsent)
        self._unsent = b""
        while not self._body_asked_for and self._answer is None:
            await self._wait()
        return self._answer is None

    def _send_head(self) -> None:
        """Send the head by itself, when no part of the body was there to go along with it."""
        if self._unsent and not self._ended:
            self.sent = True
            self._transport.write(self._unsent)
        self._unsent = b""

    async def _write(self, data: bytes) -> None:
        data, self._unsent = self._unsent + data, b""
        if self._ended or not data:
            return
        self.sent = True
        self._body_bytes += len(data)
        if self._body_bytes > LONG_BODY_BYTES:
            self._watch_acknowledgements()
        self._transport.write(data)
        if self._writing_paused:
            await self._wait_to_write()

    def _watch_acknowledgements(self) -> None:
        if self._watch is None:
            # Loaded for the first long body: a node that carries none need not hold it.
            from pewtertack.node.http.acknowledgement import AcknowledgementMonitor

            connected = self._transport.get_extra_info("socket")
            self._watch = AcknowledgementMonitor(connected, self._end_silent)
        self._watch.begin()

    def _end_silent(self, failure: OSError) -> None:
        """The other machine acknowledges nothing."""
        self._end(failure)
        self._transport.abort()

    async def _wait_to_write(self) -> None:
        self._writer = asyncio.get_running_loop().create_future()
        await self._writer

    @property
    def ended_cleanly(self) -> bool:
        """Whether the last exchange ended cleanly.

        Where an answer's reader has gone, reading may still be paused, and the next answer would
        never come in.
        """
        ended_cleanly = self._keep and self._complete and self._request_sent and not self._ended
        return ended_cleanly and not self._reading_paused and not self._chunks

    @property
    def reusable(self) -> bool:
        """Whether the last exchange ended cleanly and no long suspension has followed it."""
        slept = clock.suspended_seconds() - self._suspended
        return self.ended_cleanly and slept < DOUBTED_AFTER_SUSPENSION

    def seconds_since_received(self) -> float:
        """Return how long ago the last of the answer reached this machine, 0 while unknown.

        A process that was held up reads an answer later than it came.
        """
        try:
            return seconds_since_received(self._transport.get_extra_info("socket"))
        except OSError:  # closed
            return 0.0

    def has_unread(self) -> bool:
        """Tell whether something came, or the end, that the loop has not read yet."""
        if self._idle_look is None:
            self._idle_look = select.poll()
            self._idle_look.register(self._transport.get_extra_info("socket"), select.POLLIN)
        return bool(self._idle_look.poll(0))

    @property
    def peer_silent(self) -> bool:
        """Whether the connection ended since the other machine acknowledged nothing."""
        return isinstance(self._failure, OSError) and self._failure.errno in SILENT_ERRORS

    def abort(self) -> None:
        """Close the connection at once; unsent bytes are dropped."""
        self._end(None)
        self._transport.abort()


async def connect(address: str, timeout: float, local_host: str | None = None) -> BackendConnection:
    """Return a new connection to ``ip:port``, made within ``timeout`` seconds.

    It comes from ``local_host``, an IP number, where one is given.

    Raises:
        OSError: no connection was made, or not in time.
        ValueError: the address is none.
    """
    host, port = _split(address)
    connected = await connect_socket(host, port, timeout, local_host)
    connection = BackendConnection(address)
    StreamTransport(asyncio.get_running_loop(), connected, connection)
    return connection


def _split(address: str) -> tuple[str, int]:
    """Return host and port of ``ip:port``; an IPv6 number stands in brackets."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
