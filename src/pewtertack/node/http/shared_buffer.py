"""One buffer for the received bytes of all connections of a process.

asyncio makes room for 256 KiB at each read of an ordinary protocol and gives most of it
back, which costs more time than the read and leaves holes in the heap. Reads are worked off
one after the other, so one buffer does.
"""

from __future__ import annotations

import asyncio

BUFFER_BYTES = 64 * 1024

buffer = memoryview(bytearray(BUFFER_BYTES))
"""Holds what was received last, until the next read of any connection."""


class SharedBufferProtocol(asyncio.BufferedProtocol):
    """Hands received bytes to ``data_received``, as ``asyncio.Protocol`` does."""

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where the next bytes go."""
        return buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Take the bytes out before the next read."""
        self.data_received(buffer[:nbytes].tobytes())

    def data_received(self, data: bytes) -> None:
        """Take received bytes."""
        raise NotImplementedError
