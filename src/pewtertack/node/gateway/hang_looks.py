"""Ends the work for a request on which the back end has most likely hung."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import anyio

from pewtertack.routing.hanging import HangWatch
from pewtertack.routing.outcomes import BackendHungError
from pewtertack.routing.places import AdmissionTicket


class HangLooks:
    """Looks at one request from time to time while the back end runs it.

    Args:
        hangs: judges the requests of the back end.
        ticket: the request's place.
        clock: monotonic time in seconds.
        is_answering: tells whether some of its answer was passed on, after which it is let be.
    """

    __slots__ = ("_clock", "_hangs", "_is_answering", "_scope", "_ticket", "_timer")

    def __init__(
        self,
        hangs: HangWatch,
        ticket: AdmissionTicket,
        clock: Callable[[], float],
        is_answering: Callable[[], bool],
    ) -> None:
        self._hangs = hangs
        self._ticket = ticket
        self._clock = clock
        self._is_answering = is_answering
        self._scope = anyio.CancelScope()
        self._timer: asyncio.TimerHandle | None = None

    async def over(self, work: Awaitable[None]) -> None:
        """Do the work unless it is found to hang.

        Raises:
            BackendHungError: it was given up.
        """
        self._arm(self._hangs.first_look(self._ticket))
        try:
            with self._scope:
                await work
        finally:
            if self._timer is not None:
                self._timer.cancel()
        if self._scope.cancelled_caught:
            raise BackendHungError("the back end hangs on the request")

    def _arm(self, seconds: float | None) -> None:
        if seconds is not None:
            self._timer = asyncio.get_running_loop().call_later(seconds, self._look)

    def _look(self) -> None:
        if self._is_answering():
            return
        if self._hangs.hangs(self._ticket, self._clock()):
            self._ticket.hung = True
            self._scope.cancel()
        else:
            self._arm(self._hangs.next_look(self._ticket))
