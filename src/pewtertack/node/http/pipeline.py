"""Ordering of pipelined requests on one caller's connection.

A caller may send further requests before the first is answered (RFC 9112, section 9.3.2).
Repeatable requests start concurrently; their responses are sent in the order of the requests. A
request that is not repeatable starts when all requests before it are answered, and no request
behind it starts until it is answered itself: if the connection breaks, the caller must know which
requests have run.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

MAX_CONCURRENT = 16
"""Requests of one connection that are served concurrently."""
MAX_PENDING = 32
"""Reading from a connection is paused while it has this many requests, started or waiting."""


def _always() -> bool:
    return True


class PipelinedRequest(Protocol):
    """Interface of a request in a pipeline."""

    started: bool
    received: bool
    """Whether the whole request has been received."""

    @property
    def runs_concurrently(self) -> bool:
        """Whether it may run while another request of its connection does."""


RequestT = TypeVar("RequestT", bound=PipelinedRequest)


class Pipeline(Generic[RequestT]):
    """Unanswered requests of one connection, the oldest first."""

    def __init__(self) -> None:
        self.requests: deque[RequestT] = deque()
        self.closed = False
        """No further request starts: the response that ends the connection is being written."""

    @property
    def first(self) -> RequestT | None:
        """The request whose response is due."""
        return self.requests[0] if self.requests else None

    @property
    def full(self) -> bool:
        """Whether no more requests should be read."""
        return len(self.requests) >= MAX_PENDING

    def add(self, request: RequestT) -> bool:
        """Append a received request; return whether its response is due."""
        self.requests.append(request)
        return len(self.requests) == 1

    def start_eligible(self, may_run_another: Callable[[], bool] = _always) -> list[RequestT]:
        """Mark the requests that may start now as started, and return them.

        Args:
            may_run_another: tells whether one more request may run beside those before it.
        """
        if self.closed:
            return []
        if len(self.requests) == 1:
            return self._start_only()
        started: list[RequestT] = []
        for position, request in enumerate(self.requests):
            if position >= MAX_CONCURRENT or (position > 0 and not request.runs_concurrently):
                break
            if not request.started:
                if position > 0 and not may_run_another():
                    break
                request.started = True
                started.append(request)
            if len(self.requests) > 1 and not request.runs_concurrently:
                break
        return started

    def _start_only(self) -> list[RequestT]:
        """Start the only request, the usual case."""
        request = self.requests[0]
        if request.started:
            return []
        request.started = True
        return [request]

    def pop_answered(self) -> RequestT | None:
        """Remove the first request, which is answered; return the next one if it has started."""
        self.requests.popleft()
        if self.requests and self.requests[0].started:
            return self.requests[0]
        return None

    @property
    def has_following(self) -> bool:
        """Whether a response is due after the first, even to a request still being received."""
        return len(self.requests) > 1

    def drop_incomplete(self) -> None:
        """Remove the last request if it has neither started nor been received completely."""
        if self.requests and not (self.requests[-1].started or self.requests[-1].received):
            self.requests.pop()
