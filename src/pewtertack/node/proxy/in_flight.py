"""How many requests an application has under way, and when a stop may go on."""

from __future__ import annotations

import contextlib
from collections.abc import Iterable, Iterator
from enum import StrEnum
from typing import Protocol

import anyio

from pewtertack.node.proxy.upstream import ConnectionStore


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

    @property
    def request_id(self) -> str:
        """The caller's id, or the one that this node gave it."""

    def log_unfinished(self) -> None:
        """Log how far it has come: the time to stop is over."""

    async def withdraw(self) -> None:
        """Refuse it as not run if no back end has it, here or at the node it was sent to."""

    def stop(self) -> None:
        """End it now, with a failure that tells what is known of it."""


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

    async def withdraw(self) -> None:
        """Have those that no back end works on refused; the others go on."""
        await self._withdraw(tuple(self.under_way))

    async def withdraw_one(self, request_id: str) -> None:
        """Have the request of that id refused, if no back end works on it."""
        await self._withdraw(
            [request for request in self.under_way if request.request_id == request_id]
        )

    async def _withdraw(self, requests: Iterable[RequestUnderWay]) -> None:
        async with anyio.create_task_group() as tasks:
            for request in requests:
                tasks.start_soon(self._withdraw_one, request)

    async def _withdraw_one(self, request: RequestUnderWay) -> None:
        if request in self.under_way:  # it may have ended since
            await request.withdraw()

    def stop(self) -> None:
        """End what is still under way."""
        for request in tuple(self.under_way):
            request.stop()

    async def wait_drained(self) -> None:
        """Return when draining has begun and nothing is in flight."""
        await self._idle.wait()

    def _notice_idle(self) -> None:
        if self.draining and self.count == 0:
            self._idle.set()


class RequestHolder:
    """An application that serves requests and sees to their ends at a planned stop.

    Args:
        connections: to those that it sends requests on to.
    """

    def __init__(self, connections: ConnectionStore) -> None:
        self.connections = connections
        self.requests = RequestsInFlight()
        self.leaving = False
        """Whether callers are asked to close their connections after each answer."""

    @property
    def in_flight(self) -> int:
        """Requests that have been accepted and are not finished."""
        return self.requests.count

    def start_draining(self) -> None:
        """Refuse new requests from now on; those in flight are finished."""
        self.requests.start_draining()

    async def withdraw_waiting(self) -> None:
        """Refuse what no back end works on: there is no time left for it at this node."""
        await self.requests.withdraw()

    def log_unfinished(self) -> None:
        """Log the requests that the time to stop has not sufficed for."""
        self.requests.log_unfinished()

    def stop_requests(self) -> None:
        """End what is still under way, with an answer that tells what is known of it."""
        self.requests.stop()

    async def wait_drained(self) -> None:
        """Return when draining has begun and nothing is in flight."""
        await self.requests.wait_drained()
        self.connections.keep_only(())
