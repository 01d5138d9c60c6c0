"""Tracks the active requests of an application, and when a graceful shutdown may proceed."""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum
from types import TracebackType
from typing import Protocol

import anyio

from pewtertack.node.http.cycle import CALLER_EXTENSION, Scope
from pewtertack.node.proxy.body import Caller
from pewtertack.node.proxy.upstream import ConnectionPool
from pewtertack.routing.outcomes import MemoryFullError


class Progress(StrEnum):
    """How far a request has progressed at this node."""

    WAITING = "waiting"
    """It has not been forwarded: it waits in a queue of this node, or for its body."""
    OFFERED = "offered"
    """It was forwarded to a back end or another node, and no response has started."""
    ANSWERING = "answering"
    """The head of its response has been sent to the caller."""


def check_memory(scope: Scope, body_is_large: bool) -> None:
    """Refuse a request larger than usual: callers have used up their memory.

    Raises:
        MemoryFullError: there is no room for the request; it has not run.
    """
    caller: Caller = scope["extensions"][CALLER_EXTENSION]
    if body_is_large or not caller.is_usual:
        error = MemoryFullError("callers have used up the node's memory for requests")
        error.reached_backend = False
        raise error


class ActiveRequest(Protocol):
    """One request that is being served."""

    @property
    def request_id(self) -> str:
        """The id that the caller or this node gave it."""

    @property
    def progress(self) -> Progress:
        """How far it has progressed."""

    @property
    def gateway(self) -> str:
        """``ip:port`` of the gateway that has the request now; empty if none has."""

    def finish_by(self, moment: float) -> None:
        """Note that the node that sent the request stops at ``moment``, and respond before."""

    def log_unfinished(self) -> None:
        """Log how far it has progressed: the time for the shutdown is over."""

    async def withdraw(self) -> None:
        """Refuse it as not run if no back end has it, here or behind the gateway it was sent to."""

    def stop(self) -> None:
        """End it now, with a failure that states whether it may have run."""


class _CountContext:
    """Counts one request while it is served.

    This is a class because a generator-based context manager takes 3 us more, four times in a hop
    over two nodes.
    """

    __slots__ = ("_requests",)

    def __init__(self, requests: RequestsInFlight) -> None:
        self._requests = requests

    def __enter__(self) -> None:
        self._requests.count += 1

    def __exit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._requests.count -= 1
        if self._requests.draining:
            self._requests.check_idle()


class _ActiveContext:
    """Keeps one request in the set of active requests while it is served."""

    __slots__ = ("_active", "_request")

    def __init__(self, active: set[ActiveRequest], request: ActiveRequest) -> None:
        self._active = active
        self._request = request

    def __enter__(self) -> None:
        self._active.add(self._request)

    def __exit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._active.discard(self._request)


class RequestsInFlight:
    """Counts requests; after ``start_draining`` it signals when none is left."""

    def __init__(self) -> None:
        self.count = 0
        self.draining = False
        self.leaving = False
        """Whether a graceful shutdown has begun."""
        self.active: set[ActiveRequest] = set()
        """The counted requests that are being forwarded."""
        self._idle = anyio.Event()

    def count_one(self) -> _CountContext:
        """Return a context that counts one request while it is served."""
        return _CountContext(self)

    def track(self, request: ActiveRequest) -> _ActiveContext:
        """Return a context that keeps ``request`` in the set of active requests."""
        return _ActiveContext(self.active, request)

    def start_draining(self) -> None:
        """Note that the node stops once no request is in flight."""
        self.draining = True
        self.check_idle()

    def log_unfinished(self) -> None:
        """Log the requests that are still active."""
        for request in self.active:
            request.log_unfinished()

    async def withdraw(self) -> None:
        """Refuse the requests that no back end works on; the others continue."""
        await self._withdraw(tuple(self.active))

    async def withdraw_one(self, request_id: str) -> None:
        """Refuse the request with that id if no back end works on it."""
        await self._withdraw(
            [request for request in self.active if request.request_id == request_id]
        )

    async def _withdraw(self, requests: Iterable[ActiveRequest]) -> None:
        async with anyio.create_task_group() as tasks:
            for request in requests:
                tasks.start_soon(self._withdraw_one, request)

    async def _withdraw_one(self, request: ActiveRequest) -> None:
        if request in self.active:  # it may have ended since
            await request.withdraw()

    def stop(self) -> None:
        """End the active requests except those whose responses have started.

        Such a response could only be cut; it continues until the process itself ends.
        """
        for request in tuple(self.active):
            if request.progress is not Progress.ANSWERING:
                request.stop()

    async def wait_drained(self) -> None:
        """Return once draining has started and no request is in flight."""
        await self._idle.wait()

    def check_idle(self) -> None:
        """Wake ``wait_drained`` if the node is drained."""
        if self.draining and self.count == 0:
            self._idle.set()


class DrainableApplication:
    """An application that serves requests and can be drained for a graceful shutdown.

    Args:
        connections: the connections over which it forwards requests.
    """

    def __init__(self, connections: ConnectionPool) -> None:
        self.connections = connections
        self.requests = RequestsInFlight()

    @property
    def leaving(self) -> bool:
        """Whether callers are asked to close their connections after each response."""
        return self.requests.leaving

    @property
    def in_flight(self) -> int:
        """Number of requests that were accepted and have not finished."""
        return self.requests.count

    async def announce_stop(self) -> None:
        """Notify the nodes that have requests of this one how long it relays responses."""

    def start_draining(self) -> None:
        """Refuse new requests from now on; those in flight continue."""
        self.requests.start_draining()

    async def withdraw_waiting(self) -> None:
        """Refuse the requests that no back end works on: this node has no time left for them."""
        await self.requests.withdraw()

    def log_unfinished(self) -> None:
        """Log the requests that have not finished within the time for the shutdown."""
        self.requests.log_unfinished()

    def flush_responses(self) -> None:
        """Hand responses that wait to be sent to the operating system; this process ends soon."""

    def stop_requests(self) -> None:
        """End the active requests, with failures that state whether they may have run."""
        self.requests.stop()

    async def wait_drained(self) -> None:
        """Return once draining has started and no request is in flight."""
        await self.requests.wait_drained()
        self.connections.keep_only(())
