"""One client connection to a back end or another node, carrying one request at a time.

Responses are parsed by httptools, as callers' requests are. httpcore, which reads the source of the
configuration, took 40% of a request's processor time here: its parser, h11, is written in Python.
"""

from __future__ import annotations

import asyncio
import errno
import select
import socket
from collections.abc import AsyncIterator, Callable
from typing import TYPE_CHECKING

import httptools

from pewtertack.node import clock
from pewtertack.node.http.framing import LAST_CHUNK, RawHeaders, encode_chunk
from pewtertack.node.http.messages import OutgoingRequest, ResponseHead
from pewtertack.node.http.response_reading import (
    MAX_OVERHEAD_BYTES,
    READ_BUFFER_LIMIT,
    ExchangeBrokenError,
    OverheadLimitError,
    ResponseReadingProtocol,
    wake,
)
from pewtertack.node.http.tcp_info import seconds_since_received
from pewtertack.node.http.transport import (
    ACK_TIMEOUT_SECONDS,
    MILLISECONDS_PER_SECOND,
    StreamTransport,
    connect_socket,
)

if TYPE_CHECKING:
    from pewtertack.node.http.acknowledgement import AcknowledgementMonitor

LONG_BODY_BYTES = 32 * 1024
"""A longer body may fill the receiver's buffer, which does not mean that the machine is gone. Above
this size ``acknowledgement`` tells the two apart; every receiver has space for less."""
MAX_SUSPENSION_SECONDS = 0.3
"""A connection that was open while the machine was suspended for this long carries no further
request. The peer may have given it up, and a request sent on it that must not be sent again would
end with an unknown outcome. The monotonic clock and the one that includes suspensions are read one
after the other; preemption between the two readings must not look like a suspension."""
REMEMBERED_REFUSALS = 16
"""Refusals that a connection remembers. A late copy of an older one would have arrived in place of
an answer since."""
SILENT_PEER_ERRORS = frozenset({errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH})
PROBE_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        int(ACK_TIMEOUT_SECONDS * MILLISECONDS_PER_SECOND),
    ),
)
"""Detect a machine that falls silent while a response is awaited. One that lost power or is cut off
breaks its connections; a back end that is merely quiet does not."""


class ExchangeLeftError(ExchangeBrokenError):
    """The peer reported that it may never answer, and the request was abandoned."""

    code = "exchange-left"


MayAbandon = Callable[[RawHeaders], bool]
"""Decides by the headers of a 102 (Processing) response whether to abandon the request."""


def never_abandon(_headers: RawHeaders) -> bool:
    """Abandon no request, whatever the peer reports."""
    return False


class BackendConnection(ResponseReadingProtocol):
    """Carries one exchange after the other. The timeout of a request is set by the caller."""

    def __init__(self, address: str = "") -> None:
        super().__init__()
        self.address = address
        self.sent = False
        """Whether the peer may have started on the current exchange."""
        self.exchange_count = 0
        """Exchanges begun, including the current one. Late responses to earlier ones may arrive."""
        self.refused_ids: tuple[str, ...] = ()
        """Ids of the requests that the peer refused last. A peer may send a refusal twice, and all
        attempts of a request have the same id: a later attempt needs another connection."""
        self._suspended_at_start = clock.suspended_seconds()
        """``clock.suspended_seconds()`` at the start of the last exchange."""
        self._write_waiter: asyncio.Future[None] | None = None
        self._writing_paused = False
        self._monitor: AcknowledgementMonitor | None = None
        """Created for the first long body."""
        self._unread_poll: select.poll | None = None
        """Created for the second exchange."""
        # The current exchange
        self._sent_bytes = 0
        """Bytes of head and body sent."""
        self._unsent_head = b""
        """The request's head, until it is written."""
        self._request_sent = True

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set its socket options."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        sock = transport.get_extra_info("socket")
        for level, option, value in PROBE_OPTIONS:
            sock.setsockopt(level, option, value)

    def data_received(self, data: bytes) -> None:
        """Parse received data; none may arrive while no response is awaited."""
        if self._complete:
            self.abort()
            return
        self._progressed = False
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._end(None)
        if not self._progressed:
            self._count_overhead(len(data))
        if self._buffered > READ_BUFFER_LIMIT and not self._reading_paused:
            self._reading_paused = True
            self._transport.pause_reading()
        wake(self._waiter)
        if self._write_waiter is not None and self._head is not None:
            wake(self._write_waiter)  # the peer does not need the rest of the body

    def _count_overhead(self, size: int) -> None:
        """Count bytes that were neither the end of a head nor part of a body; limit their sum."""
        self._overhead_bytes += size
        if self._overhead_bytes > MAX_OVERHEAD_BYTES:
            self._end(OverheadLimitError("the response has too long headers or trailers"))
            self._transport.abort()

    def eof_received(self) -> bool:
        """Handle the peer's end of stream, which may be the end of the response."""
        head = self._head
        if head is not None and not head.framed:
            self._complete = True
        self._end(None)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle the loss of the connection."""
        self._end(exc)
        if self._monitor is not None:
            self._monitor.stop()
            self._monitor = None  # breaks a reference cycle
        del self._parser  # breaks a reference cycle

    def _end(self, failure: Exception | None) -> None:
        self._ended = True
        self._reusable = False
        self._failure = self._failure or failure
        for waiter in (self._waiter, self._write_waiter):
            if waiter is not None:
                wake(waiter)

    def pause_writing(self) -> None:
        """Block the sender until ``resume_writing``."""
        self._writing_paused = True

    def resume_writing(self) -> None:
        """Unblock the sender."""
        self._writing_paused = False
        wake(self._write_waiter)

    # The exchange

    async def exchange(
        self, request: OutgoingRequest, may_abandon: MayAbandon = never_abandon
    ) -> ResponseHead:
        """Send the request and return the head of its response.

        ``may_abandon`` is called whenever the peer reports that it may never answer.

        Raises:
            ExchangeLeftError: the request was abandoned after such a report.
            ExchangeBrokenError: no response came; ``sent`` tells whether the request may have run.
        """
        self.sent = False
        self._suspended_at_start = clock.suspended_seconds()
        self.exchange_count += 1
        self._head = None
        self._chunks.clear()
        self._buffered = self._overhead_bytes = 0
        self._head_only = request.method == b"HEAD"
        self._complete = self._request_sent = self._continue_received = False
        self._processing_headers = None
        self._sent_bytes = 0
        if request.body is None:
            await self._send_without_body(request)
        else:
            await self._send(request, request.body)
        while self._head is None:
            await self._wait()
            if self._processing_headers is not None:
                self._maybe_abandon(may_abandon)
        return self._head

    def note_refusal(self, request_id: str | None) -> None:
        """Note that the response of the current exchange refuses the request that it names.

        After a refusal that names none (``None``) the connection carries no further request: a late
        copy of it could not be told from the next request's response.
        """
        if request_id is None:
            self._reusable = False
            return
        self.refused_ids = (*self.refused_ids[1 - REMEMBERED_REFUSALS :], request_id)

    def read_pending(self) -> bool:
        """Read pending data; return whether the response has begun or no longer can.

        An event loop that was held up may run a timer before it polls the socket.
        """
        if self._head is None and isinstance(self._transport, StreamTransport):
            self._transport.read_now()
        return self._head is not None or self._ended

    def _maybe_abandon(self, may_abandon: MayAbandon) -> None:
        headers, self._processing_headers = self._processing_headers, None
        if headers is not None and self._head is None and may_abandon(headers):
            raise ExchangeLeftError("the peer reported that it may never answer")

    async def _send_without_body(self, request: OutgoingRequest) -> None:
        if not self._ended:
            self.sent = True
            self._transport.write(request.head())
            if self._writing_paused:
                await self._wait_to_write()
        self._request_sent = True

    async def _send(self, request: OutgoingRequest, body: AsyncIterator[bytes]) -> None:
        """Send head and body; an early response stops the body."""
        self._unsent_head = request.head()
        chunked = request.chunked
        if request.body_on_demand and not await self._wait_for_continue():
            return
        if not request.head_with_body:
            asyncio.get_running_loop().call_soon(self._send_head)
        async for chunk in body:
            if self._head is not None or self._ended:
                return
            await self._write(encode_chunk(chunk) if chunked else chunk)
        await self._write(LAST_CHUNK if chunked else b"")
        self._request_sent = True

    async def _wait_for_continue(self) -> bool:
        """Send the head and wait; return whether the peer asked for the body.

        It may respond without having asked for it.
        """
        self._transport.write(self._unsent_head)
        self._unsent_head = b""
        while not self._continue_received and self._head is None:
            await self._wait()
        return self._head is None

    def _send_head(self) -> None:
        """Send the head alone if no part of the body was available to go with it."""
        if self._unsent_head and not self._ended:
            self.sent = True
            self._transport.write(self._unsent_head)
        self._unsent_head = b""

    async def _write(self, data: bytes) -> None:
        data, self._unsent_head = self._unsent_head + data, b""
        if self._ended or not data:
            return
        self.sent = True
        self._sent_bytes += len(data)
        if self._sent_bytes > LONG_BODY_BYTES:
            self._monitor_acknowledgements()
        self._transport.write(data)
        if self._writing_paused:
            await self._wait_to_write()

    def _monitor_acknowledgements(self) -> None:
        if self._monitor is None:
            # Imported for the first long body: a node that sends none need not hold the module.
            from pewtertack.node.http.acknowledgement import AcknowledgementMonitor

            sock = self._transport.get_extra_info("socket")
            self._monitor = AcknowledgementMonitor(sock, self._end_silent)
        self._monitor.begin()

    def _end_silent(self, failure: OSError) -> None:
        """Close the connection: the peer machine acknowledges nothing."""
        self._end(failure)
        self._transport.abort()

    async def _wait_to_write(self) -> None:
        self._write_waiter = asyncio.get_running_loop().create_future()
        await self._write_waiter

    @property
    def ended_cleanly(self) -> bool:
        """Whether the last exchange ended cleanly.

        If the response's reader has gone, reading may still be paused, and the next response would
        never be received.
        """
        ended_cleanly = self._reusable and self._complete and self._request_sent and not self._ended
        return ended_cleanly and not self._reading_paused and not self._chunks

    @property
    def reusable(self) -> bool:
        """Whether the last exchange ended cleanly and no long suspension has followed it."""
        suspended = clock.suspended_seconds() - self._suspended_at_start
        return self.ended_cleanly and suspended < MAX_SUSPENSION_SECONDS

    def seconds_since_received(self) -> float:
        """Return how long ago the last response bytes reached this machine, 0 if unknown.

        A process that was held up reads a response later than it arrived.
        """
        try:
            return seconds_since_received(self._transport.get_extra_info("socket"))
        except OSError:  # closed
            return 0.0

    def has_unread(self) -> bool:
        """Return whether data, or the end of the stream, waits to be read by the event loop."""
        if self._unread_poll is None:
            self._unread_poll = select.poll()
            self._unread_poll.register(self._transport.get_extra_info("socket"), select.POLLIN)
        return bool(self._unread_poll.poll(0))

    @property
    def peer_silent(self) -> bool:
        """Whether the connection ended because the peer machine acknowledged nothing."""
        return isinstance(self._failure, OSError) and self._failure.errno in SILENT_PEER_ERRORS

    def abort(self) -> None:
        """Close the connection at once; unsent bytes are dropped."""
        self._end(None)
        self._transport.abort()


async def connect(address: str, timeout: float, local_host: str | None = None) -> BackendConnection:
    """Return a new connection to ``ip:port``, established within ``timeout`` seconds.

    It is made from ``local_host``, an IP address, if one is given.

    Raises:
        OSError: no connection was made, or not in time.
        ValueError: ``address`` is not valid.
    """
    host, port = _split_address(address)
    sock = await connect_socket(host, port, timeout, local_host)
    connection = BackendConnection(address)
    StreamTransport(asyncio.get_running_loop(), sock, connection)
    return connection


def _split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``ip:port``; an IPv6 address stands in brackets."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
