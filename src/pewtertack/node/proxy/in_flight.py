"""How many requests an application has under way, and when a stop may go on."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

import anyio


class RequestsInFlight:
    """Counts requests; after ``start_draining`` it tells when none is left."""

    def __init__(self) -> None:
        self.count = 0
        self.draining = False
        self._idle = anyio.Event()

    @contextlib.contextmanager
    def one(self) -> Iterator[None]:
        """Count one request while it is served."""
        self.count += 1
        try:
            yield
        finally:
            self.count -= 1
            self._notice_idle()

    def start_draining(self) -> None:
        """Note that the node stops once nothing is in flight."""
        self.draining = True
        self._notice_idle()

    async def wait_drained(self) -> None:
        """Return when draining has begun and nothing is in flight."""
        await self._idle.wait()

    def _notice_idle(self) -> None:
        if self.draining and self.count == 0:
            self._idle.set()
