"""Frames too large for a datagram: one frame per TCP connection, preceded by its length."""

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
"""Bytes of the length before a frame; the length is a big-endian integer."""


def _ignore() -> None:
    pass


class StreamBudget:
    """Limits the number of open streams and the total bytes that they may bring."""

    def __init__(self, streams: int, bytes_limit: int) -> None:
        self._free_streams = streams
        self._free_bytes = bytes_limit

    def claim_stream(self) -> bool:
        """Claim one stream; return false if all are in use."""
        if self._free_streams < 1:
            return False
        self._free_streams -= 1
        return True

    def release_stream(self) -> None:
        """Release a claimed stream."""
        self._free_streams += 1

    def claim_bytes(self, size: int) -> bool:
        """Claim memory for a frame; return false if too much is claimed already."""
        if self._free_bytes < size:
            return False
        self._free_bytes -= size
        return True

    def release_bytes(self, size: int) -> None:
        """Release claimed memory."""
        self._free_bytes += size


async def connect(local_host: str, remote: Address) -> SocketStream:
    """Connect from ``local_host``, so that the peer sees where the node listens.

    anyio's own ``connect_tcp`` resolves a local address in a worker thread.

    Raises:
        OSError: the peer is unreachable.
    """
    family = socket.AF_INET6 if remote.is_ipv6 else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.bind((local_host, 0))
        await _finish_connect(sock, remote)
        return await SocketStream.from_socket(sock)
    except BaseException:
        sock.close()
        raise


async def _finish_connect(sock: socket.socket, remote: Address) -> None:
    try:
        sock.connect((remote.host, remote.port))
    except BlockingIOError:
        await anyio.wait_writable(sock)
        code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise OSError(code, os.strerror(code)) from None


async def send_frame(local_host: str, remote: Address, frame: bytes) -> int:
    """Send one frame over a connection of its own and return the bytes written.

    Raises:
        OSError, anyio.BrokenResourceError: the peer is unreachable or hung up.
    """
    async with await connect(local_host, remote) as stream:
        data = len(frame).to_bytes(LENGTH_BYTES, "big") + frame
        await stream.send(data)
        await stream.send_eof()
    return len(data)


async def receive_frame(
    stream: ByteReceiveStream, budget: StreamBudget, on_part: Callable[[], None] = _ignore
) -> bytes:
    """Return the one frame of a connection; ``on_part`` is called for each part of it.

    Raises:
        OversizedFrameError: its announced length is too large, in general or at the moment.
        TruncatedFrameError: the peer hung up before the end.
    """
    buffered = BufferedByteReceiveStream(stream)
    try:
        length = int.from_bytes(await buffered.receive_exactly(LENGTH_BYTES), "big")
        if length > STREAM_BYTES_MAX or not budget.claim_bytes(length):
            raise OversizedFrameError(f"{length} bytes announced")
        try:
            frame = bytearray()
            while len(frame) < length:
                frame += await buffered.receive(length - len(frame))
                on_part()
            return bytes(frame)
        finally:
            budget.release_bytes(length)
    except (anyio.EndOfStream, anyio.IncompleteRead, anyio.BrokenResourceError) as error:
        raise TruncatedFrameError("the peer hung up early") from error
