"""The bounds of one request's life: its deadline and its caller's patience."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from enum import Enum

import anyio

from pewtertack.node.http.cycle import CALLER, Scope
from pewtertack.node.proxy.body import Caller


class LifeEnd(Enum):
    """How a request's work ended, where it raised nothing."""

    FINISHED = "finished"
    DEADLINE = "deadline"
    CALLER_GONE = "caller-gone"


class RequestLife:
    """Runs a request's work until it ends, its deadline passes or its caller goes."""

    def __init__(self, scope: Scope, deadline: float, clock: Callable[[], float]) -> None:
        self._caller: Caller = scope["extensions"][CALLER]
        self._deadline = deadline
        self._clock = clock

    @property
    def caller_gone(self) -> bool:
        """Whether the caller has left."""
        return self._caller.gone

    async def run(self, work: Callable[[], Awaitable[None]]) -> LifeEnd:
        """Do the work; what it raises passes through."""
        with anyio.CancelScope() as scope:
            scope.deadline = anyio.current_time() + self._deadline - self._clock()
            self._caller.on_gone = scope.cancel
            if self._caller.gone:
                scope.cancel()
            try:
                await work()
                return LifeEnd.FINISHED
            finally:
                self._caller.on_gone = None
        return LifeEnd.CALLER_GONE if self.caller_gone else LifeEnd.DEADLINE
