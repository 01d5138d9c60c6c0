"""A request's wait for a slot of the back end."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import anyio

from pewtertack.routing.admission import Admission
from pewtertack.routing.places import AdmissionTicket

MIN_RECHECK_SECONDS = 0.001
"""Seconds between two looks at a waiting request, where a timer has fired too early."""


class SlotWait:
    """Waits until a submitted ticket is granted or refused.

    Args:
        admission: to which the ticket was submitted.
        ticket: the request's place.
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
        """Return once the slot is the ticket's; give its place up where the wait is cancelled.

        Raises:
            NotRunError: why it was refused.
        """
        try:
            await self._until_decided()
        except BaseException:
            self._release_ticket()
            raise
        if self._ticket.refusal is not None:
            self._ticket.refusal.offered = False
            raise self._ticket.take_refusal()

    async def _until_decided(self) -> None:
        decided = anyio.Event()
        self._ticket.wake = decided.set
        self._recheck()
        try:
            await decided.wait()
        finally:
            self._timer.cancel()

    def _recheck(self) -> None:
        """Give the waiting ticket up when its time is over; see to it that this is noticed."""
        now = self._clock()
        self._admission.expire(self._ticket, now)
        left = max(MIN_RECHECK_SECONDS, self._admission.expires_at(self._ticket) - now)
        self._timer = asyncio.get_running_loop().call_later(left, self._recheck)

    def _release_ticket(self) -> None:
        if self._ticket.granted:
            self._admission.finish(self._ticket, self._clock(), answered=False)
        else:
            self._admission.withdraw(self._ticket)
