"""One receive buffer shared by all connections of a process.

For each read of an ordinary protocol, asyncio allocates 256 KiB and then frees most of it, which
costs more time than the read itself and fragments the heap. Reads are processed one after another,
so one buffer is enough.
"""

from __future__ import annotations

import asyncio

BUFFER_BYTES = 64 * 1024

buffer = memoryview(bytearray(BUFFER_BYTES))
"""Holds the data received last, until the next read of any connection."""


class SharedBufferProtocol(asyncio.BufferedProtocol):
    """Passes received bytes to ``data_received``, as ``asyncio.Protocol`` does."""

    def get_buffer(self, sizehint: int) -> memoryview:  # noqa: ARG002 (interface)
        """Return the shared buffer."""
        return buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Copy the received bytes out of the buffer before the next read."""
        self.data_received(buffer[:nbytes].tobytes())

    def data_received(self, data: bytes) -> None:
        """Handle received bytes."""
        raise NotImplementedError
