"""Frames between this node and its peers over UDP and TCP on one port."""

from __future__ import annotations

import socket
from collections.abc import Callable
from functools import lru_cache

import anyio
import msgspec
from anyio.abc import SocketAttribute, SocketListener, SocketStream, TaskGroup

from pewtertack.errors import ProtocolError
from pewtertack.node.sockets import address_of
from pewtertack.node.streams import LENGTH_BYTES, StreamBudget, receive_frame, send_frame
from pewtertack.node.traffic import Direction, Traffic
from pewtertack.settings import Address
from pewtertack.settings.values import ValueProblemError
from pewtertack.wire.errors import OversizedFrameError, TruncatedFrameError
from pewtertack.wire.frames import (
    DATAGRAM_BYTES_MAX,
    STREAM_BYTES_MAX,
    Envelope,
    FrameReader,
    encode_frame,
)
from pewtertack.wire.messages import Message

DATAGRAM_BATCH = 64
"""Datagrams taken at one wake-up before other tasks get their turn."""
INBOUND_BYTES_MAX = 2 * STREAM_BYTES_MAX
"""Memory for frames that are arriving over TCP, from strangers too."""
ARRIVAL_INTERVAL = 0.1
"""Seconds between two notifications of one frame that is arriving."""
_ADDRESSES_CACHED = 4096

EnvelopeHandler = Callable[[Envelope], None]
RefusalHandler = Callable[[ProtocolError], None]
ArrivalHandler = Callable[[str], None]
"""Is told the IP number from which a frame is arriving."""


class Sender(msgspec.Struct, frozen=True):
    """How this node signs its frames. ``address`` is the one it advertises.

    Frames that ``accepted_keys`` signed are accepted; nothing is signed with them.
    """

    name: str
    address: str
    incarnation: int
    key: bytes
    accepted_keys: tuple[bytes, ...] = ()


class StreamLimits(msgspec.Struct, frozen=True):
    """Bounds of frames over TCP; ``timeout`` in seconds for one frame."""

    streams: int
    timeout: float


class PeerTransport:
    """Sends messages best effort and hands authenticated ones to a handler."""

    def __init__(
        self,
        datagrams: socket.socket,
        streams: socket.socket,
        sender: Sender,
        limits: StreamLimits,
        traffic: Traffic,
    ) -> None:
        self._datagrams = datagrams
        self._streams = streams
        self._local_host = address_of(datagrams).host
        self._sender = sender
        self._limits = limits
        self._traffic = traffic
        self._reader = FrameReader(sender.key, sender.accepted_keys)
        self._counter = 0
        self._inbound = StreamBudget(limits.streams, INBOUND_BYTES_MAX)
        self._outbound = StreamBudget(limits.streams, INBOUND_BYTES_MAX)
        self._tasks: TaskGroup | None = None
        self._receive: EnvelopeHandler = lambda _: None
        self._refuse: RefusalHandler = lambda _: None
        self._arriving: ArrivalHandler = lambda _: None

    @property
    def frames_by_accepted_keys(self) -> int:
        """Frames received that another accepted key signed."""
        return self._reader.frames_by_accepted_keys

    async def run(
        self,
        receive: EnvelopeHandler,
        refuse: RefusalHandler,
        arriving: ArrivalHandler | None = None,
    ) -> None:
        """Serve until cancelled; the handlers must not block."""
        self._receive = receive
        self._refuse = refuse
        self._arriving = arriving or self._arriving
        listener = await SocketListener.from_socket(self._streams)
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._receive_datagrams)
            tasks.start_soon(listener.serve, self._receive_stream)

    def send(self, address: str, message: Message) -> None:
        """Send ``message`` to ``address`` if possible; failures are counted."""
        remote = _parse_address(address)
        if remote is None:
            self._traffic.unsent["bad-address"] += 1
            return
        try:
            frame = self._frame_of(message)
        except OversizedFrameError:
            self._traffic.unsent["oversized"] += 1
            return
        if len(frame) <= DATAGRAM_BYTES_MAX:
            self._send_datagram(remote, frame, message)
        else:
            self._start_stream(remote, frame, message)

    def _frame_of(self, message: Message) -> bytes:
        self._counter += 1
        sender = self._sender
        envelope = Envelope(sender.name, sender.address, sender.incarnation, self._counter, message)
        return encode_frame(envelope, sender.key)

    def _send_datagram(self, remote: Address, frame: bytes, message: Message) -> None:
        try:
            self._datagrams.sendto(frame, (remote.host, remote.port))
        except OSError:
            self._traffic.unsent["datagram"] += 1
            return
        self._traffic.count(Direction.SENT, message, len(frame))

    def _start_stream(self, remote: Address, frame: bytes, message: Message) -> None:
        if self._tasks is None or not self._outbound.take_stream():
            self._traffic.unsent["streams-busy"] += 1
            return
        self._tasks.start_soon(self._send_stream, remote, frame, message)

    async def _send_stream(self, remote: Address, frame: bytes, message: Message) -> None:
        try:
            with anyio.fail_after(self._limits.timeout):
                size = await send_frame(self._local_host, remote, frame)
            self._traffic.count(Direction.SENT, message, size)
        except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            self._traffic.unsent["stream"] += 1
        finally:
            self._outbound.return_stream()

    async def _receive_datagrams(self) -> None:
        while True:
            await anyio.wait_readable(self._datagrams)
            for _ in range(DATAGRAM_BATCH):
                try:
                    frame = self._datagrams.recv(DATAGRAM_BYTES_MAX + 1)
                except OSError:
                    break
                self._take(frame, DATAGRAM_BYTES_MAX, 0)

    async def _receive_stream(self, stream: SocketStream) -> None:
        async with stream:
            if not self._inbound.take_stream():
                self._traffic.refused["streams-busy"] += 1
                return
            try:
                with anyio.fail_after(self._limits.timeout):
                    notifier = _ArrivalNotifier(stream, self._arriving)
                    frame = await receive_frame(stream, self._inbound, notifier.notify)
            except TimeoutError:
                self._refused(TruncatedFrameError("the frame did not end in time"))
            except ProtocolError as error:
                self._refused(error)
            else:
                self._take(frame, STREAM_BYTES_MAX, LENGTH_BYTES)
            finally:
                self._inbound.return_stream()

    def _take(self, frame: bytes, size_limit: int, prefix_bytes: int) -> None:
        try:
            envelope = self._reader.read(frame, size_limit)
        except ProtocolError as error:
            self._refused(error)
            return
        self._traffic.count(Direction.RECEIVED, envelope.message, len(frame) + prefix_bytes)
        self._receive(envelope)

    def _refused(self, error: ProtocolError) -> None:
        self._traffic.refused[error.code] += 1
        self._refuse(error)


class _ArrivalNotifier:
    """Notifies of one frame's arrival, not more often than every ``ARRIVAL_INTERVAL``."""

    __slots__ = ("_handler", "_host", "_next_at")

    def __init__(self, stream: SocketStream, handler: ArrivalHandler) -> None:
        self._host = str(stream.extra(SocketAttribute.remote_address, ("",))[0])
        self._handler = handler
        self._next_at = 0.0

    def notify(self) -> None:
        now = anyio.current_time()
        if now >= self._next_at:
            self._next_at = now + ARRIVAL_INTERVAL
            self._handler(self._host)


@lru_cache(maxsize=_ADDRESSES_CACHED)
def _parse_address(text: str) -> Address | None:
    try:
        return Address.parse(text)
    except ValueProblemError:
        return None
