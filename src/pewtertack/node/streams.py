"""Frames too long for a datagram: one frame a TCP connection, length first."""

from __future__ import annotations

import os
import socket
from collections.abc import Callable

import anyio
from anyio.abc import ByteReceiveStream, SocketStream
from anyio.streams.buffered import BufferedByteReceiveStream

from pewtertack.settings import Address
from pewtertack.wire.errors import OversizedFrameError, TruncatedFrameError
from pewtertack.wire.frames import STREAM_BYTES_MAX

LENGTH_BYTES = 4


def _ignore() -> None:
    pass


class StreamBudget:
    """Bounds the streams under way and the bytes that they may bring together."""

    def __init__(self, streams: int, bytes_limit: int) -> None:
        self._streams = streams
        self._bytes = bytes_limit

    def take_stream(self) -> bool:
        """Claim one stream; false when all are in use."""
        if self._streams < 1:
            return False
        self._streams -= 1
        return True

    def return_stream(self) -> None:
        """Give a claimed stream back."""
        self._streams += 1

    def take_bytes(self, size: int) -> bool:
        """Claim memory for a frame; false when too much is claimed already."""
        if self._bytes < size:
            return False
        self._bytes -= size
        return True

    def return_bytes(self, size: int) -> None:
        """Give claimed memory back."""
        self._bytes += size


async def connect(local_host: str, remote: Address) -> SocketStream:
    """Connect from ``local_host``, so that the peer sees where the node listens.

    anyio's own ``connect_tcp`` resolves a local address in a worker thread.

    Raises:
        OSError: the peer cannot be reached.
    """
    family = socket.AF_INET6 if remote.is_ipv6 else socket.AF_INET
    raw = socket.socket(family, socket.SOCK_STREAM)
    try:
        raw.setblocking(False)
        raw.bind((local_host, 0))
        await _finish_connect(raw, remote)
        return await SocketStream.from_socket(raw)
    except BaseException:
        raw.close()
        raise


async def _finish_connect(raw: socket.socket, remote: Address) -> None:
    try:
        raw.connect((remote.host, remote.port))
    except BlockingIOError:
        await anyio.wait_writable(raw)
        code = raw.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise OSError(code, os.strerror(code)) from None


async def send_frame(local_host: str, remote: Address, frame: bytes) -> int:
    """Send one frame over a connection of its own and return the bytes written.

    Raises:
        OSError, anyio.BrokenResourceError: the peer cannot be reached or hung up.
    """
    async with await connect(local_host, remote) as stream:
        data = len(frame).to_bytes(LENGTH_BYTES, "big") + frame
        await stream.send(data)
        await stream.send_eof()
    return len(data)


async def receive_frame(
    stream: ByteReceiveStream, budget: StreamBudget, arriving: Callable[[], None] = _ignore
) -> bytes:
    """Return the one frame of a connection; ``arriving`` is called for each part of it.

    Raises:
        OversizedFrameError: its announced length is not allowed, or not now.
        TruncatedFrameError: the peer hung up before the end.
    """
    buffered = BufferedByteReceiveStream(stream)
    try:
        length = int.from_bytes(await buffered.receive_exactly(LENGTH_BYTES), "big")
        if length > STREAM_BYTES_MAX or not budget.take_bytes(length):
            raise OversizedFrameError(f"{length} bytes announced")
        try:
            frame = bytearray()
            while len(frame) < length:
                frame += await buffered.receive(length - len(frame))
                arriving()
            return bytes(frame)
        finally:
            budget.return_bytes(length)
    except (anyio.EndOfStream, anyio.IncompleteRead, anyio.BrokenResourceError) as error:
        raise TruncatedFrameError("the peer hung up early") from error
