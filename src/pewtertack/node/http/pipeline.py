"""The order of requests on one caller's connection: what may begin, whose answer is due.

A caller may send further requests before the first is answered (RFC 9112, section 9.3.2).
Requests that may be repeated begin side by side; their answers leave in the order of the
requests. One that may not be repeated begins when all before it are answered, and nothing
begins behind it until then: if the connection ends, the caller must know what has run.
"""

from __future__ import annotations

from collections import deque
from typing import Generic, Protocol, TypeVar

MOST_BEGUN = 16
"""Requests of one connection that are served at once."""
MOST_RECEIVED = 32
"""Requests, started or waiting, from which no more are read."""


class PipelinedRequest(Protocol):
    """What the order needs to know of a request."""

    started: bool
    received: bool
    """Whether the whole request has come."""

    @property
    def runs_concurrently(self) -> bool:
        """Whether it may run while another request of its connection does."""


R = TypeVar("R", bound=PipelinedRequest)


class Pipeline(Generic[R]):
    """Unanswered requests of one connection, the oldest first."""

    def __init__(self) -> None:
        self.requests: deque[R] = deque()
        self.closed = False
        """No further request begins: the answer that ends the connection is being written."""

    @property
    def first(self) -> R | None:
        """The request whose answer is due."""
        return self.requests[0] if self.requests else None

    @property
    def full(self) -> bool:
        """Whether no more requests should be read."""
        return len(self.requests) >= MOST_RECEIVED

    def add(self, request: R) -> None:
        """Append a request that was received."""
        self.requests.append(request)

    def start_eligible(self) -> list[R]:
        """Mark the requests that may begin now as started, and return them."""
        if self.closed:
            return []
        if len(self.requests) == 1:
            return self._only()
        started: list[R] = []
        for place, request in enumerate(self.requests):
            if place >= MOST_BEGUN or (place > 0 and not request.runs_concurrently):
                break
            if not request.started:
                request.started = True
                started.append(request)
            if len(self.requests) > 1 and not request.runs_concurrently:
                break
        return started

    def _only(self) -> list[R]:
        """Begin the one request that there is, as nearly always."""
        request = self.requests[0]
        if request.started:
            return []
        request.started = True
        return [request]

    def answered(self) -> R | None:
        """Drop the first request, whose answer is complete; return the next that has started."""
        self.requests.popleft()
        following = self.first
        return following if following is not None and following.started else None

    @property
    def has_following(self) -> bool:
        """Whether an answer is due behind the first: what was started to be read is not dropped."""
        return len(self.requests) > 1

    def drop_incomplete(self) -> None:
        """Forget the last request if it has neither started nor come whole."""
        if self.requests and not (self.requests[-1].started or self.requests[-1].received):
            self.requests.pop()
