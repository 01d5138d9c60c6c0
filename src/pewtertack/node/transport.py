"""Exchanges frames between this node and its peers over UDP and TCP on one port."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from functools import lru_cache

import anyio
import msgspec
from anyio.abc import SocketAttribute, SocketStream, TaskGroup

from pewtertack.errors import ProtocolError
from pewtertack.node.accepting import Acceptor
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
"""Datagrams processed at one wake-up before other tasks run."""
MAX_INBOUND_BYTES = 2 * STREAM_BYTES_MAX
"""Limit on the bytes of frames being received over TCP, from unauthenticated senders too."""
ARRIVAL_INTERVAL_SECONDS = 0.1
"""Minimum seconds between two notifications of one arriving frame."""
_MAX_CACHED_ADDRESSES = 4096

EnvelopeHandler = Callable[[Envelope], None]
RefusalHandler = Callable[[ProtocolError], None]
ArrivalHandler = Callable[[str], None]
"""Called with the IP address from which a frame is arriving."""


class Sender(msgspec.Struct, frozen=True):
    """Identity and keys with which this node signs its frames. ``address`` is the advertised one.

    Frames signed with ``accepted_keys`` are accepted; nothing is signed with them.
    """

    name: str
    address: str
    incarnation: int
    key: bytes
    accepted_keys: tuple[bytes, ...] = ()


class StreamLimits(msgspec.Struct, frozen=True):
    """Limits of frames over TCP; ``timeout`` in seconds for one frame."""

    streams: int
    timeout: float


class PeerTransport:
    """Sends messages best-effort and passes authenticated ones to a handler."""

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
        self._identity = sender
        self._limits = limits
        self._traffic = traffic
        self._reader = FrameReader(sender.key, sender.accepted_keys)
        self._counter = 0
        self._inbound = StreamBudget(limits.streams, MAX_INBOUND_BYTES)
        self._outbound = StreamBudget(limits.streams, MAX_INBOUND_BYTES)
        self._tasks: TaskGroup | None = None
        self._on_message: EnvelopeHandler = lambda _: None
        self._on_refusal: RefusalHandler = lambda _: None
        self._on_arriving: ArrivalHandler = lambda _: None

    @property
    def frames_by_accepted_keys(self) -> int:
        """Frames received that were signed with another accepted key."""
        return self._reader.frames_by_accepted_keys

    async def run(
        self,
        on_message: EnvelopeHandler,
        on_refusal: RefusalHandler,
        on_arriving: ArrivalHandler | None = None,
    ) -> None:
        """Serve until cancelled; the handlers must not block."""
        self._on_message = on_message
        self._on_refusal = on_refusal
        self._on_arriving = on_arriving or self._on_arriving
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._receive_datagrams)
            await self._accept_streams(tasks)

    async def _accept_streams(self, tasks: TaskGroup) -> None:
        """Receive a frame on each connection of a peer until cancelled."""
        accepted: asyncio.Queue[socket.socket] = asyncio.Queue()
        acceptor = Acceptor(asyncio.get_running_loop(), self._streams, accepted.put_nowait)
        acceptor.start()
        try:
            while True:
                tasks.start_soon(self._receive_on, await accepted.get())
        finally:
            acceptor.stop()

    def send(self, address: str, message: Message) -> None:
        """Send ``message`` to ``address`` if possible; failures are counted."""
        remote = _parse_address(address)
        if remote is None:
            self._traffic.unsent["bad-address"] += 1
            return
        try:
            frame = self._encode(message)
        except OversizedFrameError:
            self._traffic.unsent["oversized"] += 1
            return
        if len(frame) <= DATAGRAM_BYTES_MAX:
            self._send_datagram(remote, frame, message)
        else:
            self._start_stream(remote, frame, message)

    def _encode(self, message: Message) -> bytes:
        self._counter += 1
        sender = self._identity
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
        if self._tasks is None or not self._outbound.claim_stream():
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
            self._outbound.release_stream()

    async def _receive_datagrams(self) -> None:
        while True:
            await anyio.wait_readable(self._datagrams)
            for _ in range(DATAGRAM_BATCH):
                try:
                    frame = self._datagrams.recv(DATAGRAM_BYTES_MAX + 1)
                except OSError:
                    break
                self._handle_frame(frame, DATAGRAM_BYTES_MAX, 0)

    async def _receive_on(self, accepted: socket.socket) -> None:
        try:
            stream = await SocketStream.from_socket(accepted)
        except (OSError, ValueError):
            accepted.close()
            self._count_refusal(TruncatedFrameError("the peer has reset the connection"))
            return
        await self._receive_stream(stream)

    async def _receive_stream(self, stream: SocketStream) -> None:
        async with stream:
            if not self._inbound.claim_stream():
                self._traffic.refused["streams-busy"] += 1
                return
            try:
                with anyio.fail_after(self._limits.timeout):
                    notifier = _ArrivalNotifier(stream, self._on_arriving)
                    frame = await receive_frame(stream, self._inbound, notifier.notify)
            except TimeoutError:
                self._count_refusal(TruncatedFrameError("the frame was not complete in time"))
            except ProtocolError as error:
                self._count_refusal(error)
            else:
                self._handle_frame(frame, STREAM_BYTES_MAX, LENGTH_BYTES)
            finally:
                self._inbound.release_stream()

    def _handle_frame(self, frame: bytes, size_limit: int, prefix_bytes: int) -> None:
        try:
            envelope = self._reader.read(frame, size_limit)
        except ProtocolError as error:
            self._count_refusal(error)
            return
        self._traffic.count(Direction.RECEIVED, envelope.message, len(frame) + prefix_bytes)
        self._on_message(envelope)

    def _count_refusal(self, error: ProtocolError) -> None:
        self._traffic.refused[error.code] += 1
        self._on_refusal(error)


class _ArrivalNotifier:
    """Notifies of one frame's arrival, at most once per ``ARRIVAL_INTERVAL_SECONDS``."""

    __slots__ = ("_handler", "_host", "_next_at")

    def __init__(self, stream: SocketStream, handler: ArrivalHandler) -> None:
        self._host = str(stream.extra(SocketAttribute.remote_address, ("",))[0])
        self._handler = handler
        self._next_at = 0.0

    def notify(self) -> None:
        now = anyio.current_time()
        if now >= self._next_at:
            self._next_at = now + ARRIVAL_INTERVAL_SECONDS
            self._handler(self._host)


@lru_cache(maxsize=_MAX_CACHED_ADDRESSES)
def _parse_address(text: str) -> Address | None:
    try:
        return Address.parse(text)
    except ValueProblemError:
        return None
