"""The bounds of one request's life: its deadline, its caller's patience, its node's stop."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from enum import Enum

import anyio

from pewtertack.node.http.cycle import CALLER, Scope
from pewtertack.node.proxy.body import Caller
from pewtertack.routing.outcomes import (
    DeadlineExceededError,
    DrainingError,
    RequestFailedError,
)


class LifeEnd(Enum):
    """How a request's work ended, where it raised nothing."""

    FINISHED = "finished"
    DEADLINE = "deadline"
    CALLER_GONE = "caller-gone"
    STOPPED = "stopped"


def end_error(end: LifeEnd) -> RequestFailedError:
    """Return the failure of a request whose work was cut short; its outcome is yet to be set."""
    if end is LifeEnd.STOPPED:
        return DrainingError("the node stops and has no more time for the request")
    return DeadlineExceededError("the deadline passed")


class RequestLife:
    """Runs a request's work until it ends, is stopped, its deadline passes or its caller goes."""

    def __init__(self, scope: Scope, deadline: float, clock: Callable[[], float]) -> None:
        self._caller: Caller = scope["extensions"][CALLER]
        self._deadline = deadline
        self._clock = clock
        self._stopped = False
        self._work = anyio.CancelScope()

    @property
    def caller_gone(self) -> bool:
        """Whether the caller has left."""
        return self._caller.gone

    def stop(self) -> None:
        """End the work: the node has no more time for it."""
        self._stopped = True
        self._work.cancel()

    async def run(self, work: Callable[[], Awaitable[None]]) -> LifeEnd:
        """Do the work; what it raises passes through."""
        with self._work as scope:
            scope.deadline = anyio.current_time() + self._deadline - self._clock()
            self._caller.on_gone = scope.cancel
            if self._caller.gone:
                scope.cancel()
            try:
                await work()
                return LifeEnd.FINISHED
            finally:
                self._caller.on_gone = None
        if self.caller_gone:
            return LifeEnd.CALLER_GONE
        return LifeEnd.STOPPED if self._stopped else LifeEnd.DEADLINE
