"""A request's wait for a slot of the back end."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import anyio

from pewtertack.routing.admission import Admission
from pewtertack.routing.admission_ticket import AdmissionTicket

MIN_RECHECK_SECONDS = 0.001
"""Minimum delay before a waiting request is rechecked, which matters if a timer fires early."""


def _do_nothing() -> None:
    """Do nothing: the ticket is no longer queued."""


class SlotWait:
    """Waits until a submitted ticket is granted or refused.

    Args:
        admission: the admission control to which the ticket was submitted.
        ticket: the request's ticket.
        clock: monotonic time in seconds.
    """

    __slots__ = ("_admission", "_clock", "_ticket", "_timer")

    def __init__(
        self, admission: Admission, ticket: AdmissionTicket, clock: Callable[[], float]
    ) -> None:
        self._admission = admission
        self._ticket = ticket
        self._clock = clock
        self._timer: asyncio.TimerHandle

    async def until_granted(self) -> None:
        """Return once the ticket has a slot; release the ticket if the wait is cancelled.

        Raises:
            NotRunError: the ticket was refused.
        """
        try:
            await self._until_decided()
        except BaseException:
            self._release_ticket()
            raise
        if self._ticket.refusal is not None:
            self._ticket.refusal.reached_backend = False
            raise self._ticket.take_refusal()

    async def _until_decided(self) -> None:
        decided = anyio.Event()
        self._ticket.wake = decided.set
        self._recheck()
        self._ticket.recheck = self._recheck_now
        try:
            await decided.wait()
        finally:
            self._timer.cancel()
            self._ticket.recheck = _do_nothing  # avoids a reference cycle

    def _recheck_now(self) -> None:
        self._timer.cancel()
        self._recheck()

    def _recheck(self) -> None:
        """Refuse the ticket if its waiting time has expired; schedule the next check."""
        now = self._clock()
        self._admission.recheck(self._ticket, now)
        seconds = max(MIN_RECHECK_SECONDS, self._admission.next_check_at(self._ticket) - now)
        self._timer = asyncio.get_running_loop().call_later(seconds, self._recheck)

    def _release_ticket(self) -> None:
        if self._ticket.granted:
            self._admission.finish(self._ticket, self._clock(), answered=False)
        else:
            self._admission.withdraw(self._ticket)
