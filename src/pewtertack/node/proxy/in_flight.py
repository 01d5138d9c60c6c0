"""How many requests an application has under way, and when a stop may go on."""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum
from types import TracebackType
from typing import Protocol

import anyio

from pewtertack.node.proxy.upstream import ConnectionPool


class Progress(StrEnum):
    """How far a request has come at this node."""

    WAITING = "waiting"
    """Nobody else has been offered it: it waits in a queue of this node, or for its body."""
    OFFERED = "offered"
    """It was sent on, to a back end or another node, and no answer has begun."""
    ANSWERING = "answering"
    """The head of its answer has gone back."""


class ActiveRequest(Protocol):
    """One request that is being served."""

    @property
    def request_id(self) -> str:
        """The caller's id, or the one that this node gave it."""

    @property
    def progress(self) -> Progress:
        """How far it has come."""

    @property
    def gateway(self) -> str:
        """``ip:port`` of the other node that has it now; empty if none has."""

    def finish_by(self, moment: float) -> None:
        """Have its answer leave by then: the node that sent the request stops."""

    def log_unfinished(self) -> None:
        """Log how far it has come: the time to stop is over."""

    async def withdraw(self) -> None:
        """Refuse it as not run if no back end has it, here or at the node it was sent to."""

    def stop(self) -> None:
        """End it now, with a failure that tells what is known of it."""


class _CountContext:
    """Counts one request while it is served.

    A class: a generator's context took 3 us more, four times a hop over two nodes.
    """

    __slots__ = ("_requests",)

    def __init__(self, requests: RequestsInFlight) -> None:
        self._requests = requests

    def __enter__(self) -> None:
        self._requests.count += 1

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._requests.count -= 1
        if self._requests.draining:
            self._requests.check_idle()


class _ActiveContext:
    """Keeps one request among those under way."""

    __slots__ = ("_active", "_request")

    def __init__(self, active: set[ActiveRequest], request: ActiveRequest) -> None:
        self._active = active
        self._request = request

    def __enter__(self) -> None:
        self._active.add(self._request)

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._active.discard(self._request)


class RequestsInFlight:
    """Counts requests; after ``start_draining`` it tells when none is left."""

    def __init__(self) -> None:
        self.count = 0
        self.draining = False
        self.leaving = False
        """Whether the node has been told to stop."""
        self.active: set[ActiveRequest] = set()
        """Those of the counted that are being served."""
        self._idle = anyio.Event()

    def count_one(self) -> _CountContext:
        """Return a context that counts one request while it is served."""
        return _CountContext(self)

    def track(self, request: ActiveRequest) -> _ActiveContext:
        """Return a context that keeps ``request`` among those under way."""
        return _ActiveContext(self.active, request)

    def start_draining(self) -> None:
        """Note that the node stops once nothing is in flight."""
        self.draining = True
        self.check_idle()

    def log_unfinished(self) -> None:
        """Log what is still under way."""
        for request in self.active:
            request.log_unfinished()

    async def withdraw(self) -> None:
        """Have those that no back end works on refused; the others go on."""
        await self._withdraw(tuple(self.active))

    async def withdraw_one(self, request_id: str) -> None:
        """Have the request of that id refused, if no back end works on it."""
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
        """End what is still under way, but for answers that have begun.

        Those could only be cut: they go on until the process itself ends.
        """
        for request in tuple(self.active):
            if request.progress is not Progress.ANSWERING:
                request.stop()

    async def wait_drained(self) -> None:
        """Return when draining has begun and nothing is in flight."""
        await self._idle.wait()

    def check_idle(self) -> None:
        """See whether what ``wait_drained`` waits for has come."""
        if self.draining and self.count == 0:
            self._idle.set()


class DrainableApplication:
    """An application that serves requests and sees to their ends at a planned stop.

    Args:
        connections: to those that it sends requests on to.
    """

    def __init__(self, connections: ConnectionPool) -> None:
        self.connections = connections
        self.requests = RequestsInFlight()

    @property
    def leaving(self) -> bool:
        """Whether callers are asked to close their connections after each answer."""
        return self.requests.leaving

    @property
    def in_flight(self) -> int:
        """Requests that have been accepted and are not finished."""
        return self.requests.count

    async def announce_stop(self) -> None:
        """Tell the nodes that have requests of this one until when it carries answers."""

    def start_draining(self) -> None:
        """Refuse new requests from now on; those in flight are finished."""
        self.requests.start_draining()

    async def withdraw_waiting(self) -> None:
        """Refuse what no back end works on: there is no time left for it at this node."""
        await self.requests.withdraw()

    def log_unfinished(self) -> None:
        """Log the requests that the time to stop has not sufficed for."""
        self.requests.log_unfinished()

    def flush_responses(self) -> None:
        """Give the system what waits to be sent: this process ends soon."""

    def stop_requests(self) -> None:
        """End what is still under way, with an answer that tells what is known of it."""
        self.requests.stop()

    async def wait_drained(self) -> None:
        """Return when draining has begun and nothing is in flight."""
        await self.requests.wait_drained()
        self.connections.keep_only(())
