"""How many requests an application has under way, and when a stop may go on."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from enum import StrEnum
from typing import Protocol

import anyio


class Progress(StrEnum):
    """How far a request has come at this node."""

    WAITING = "waiting"
    """Nobody else has been offered it: it waits in a queue of this node, or for its body."""
    OFFERED = "offered"
    """It was sent on, to a back end or another node, and no answer has begun."""
    ANSWERING = "answering"
    """The head of its answer has gone back."""


class RequestUnderWay(Protocol):
    """One request that is being served."""

    def log_unfinished(self) -> None:
        """Log how far it has come: the time to stop is over."""


class RequestsInFlight:
    """Counts requests; after ``start_draining`` it tells when none is left."""

    def __init__(self) -> None:
        self.count = 0
        self.draining = False
        self.under_way: set[RequestUnderWay] = set()
        """Those of the counted that are being served."""
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

    @contextlib.contextmanager
    def serving(self, request: RequestUnderWay) -> Iterator[None]:
        """Keep ``request`` among those under way."""
        self.under_way.add(request)
        try:
            yield
        finally:
            self.under_way.discard(request)

    def start_draining(self) -> None:
        """Note that the node stops once nothing is in flight."""
        self.draining = True
        self._notice_idle()

    def log_unfinished(self) -> None:
        """Log what is still under way."""
        for request in self.under_way:
            request.log_unfinished()

    async def wait_drained(self) -> None:
        """Return when draining has begun and nothing is in flight."""
        await self._idle.wait()

    def _notice_idle(self) -> None:
        if self.draining and self.count == 0:
            self._idle.set()
