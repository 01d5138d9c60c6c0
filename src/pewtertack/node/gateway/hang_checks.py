"""Tells the sender of a request that the back end has most likely hung on it.

The sender alone knows whether it can still be had elsewhere and whether its node stops, and only
at this moment: what was so when it sent the request may not be so any longer. So the run goes on
here until the sender gives it up.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from pewtertack.routing.hanging import HangWatch
from pewtertack.routing.places import AdmissionTicket

REPORT_INTERVAL_SECONDS = 0.25
"""Seconds between two tellings: a sender that lacks a retry may have one by then."""


class HangChecks:
    """Looks at one request from time to time while the back end runs it.

    Args:
        hangs: judges the requests of the back end.
        ticket: the request's place.
        clock: monotonic time in seconds.
        is_answering: tells whether some of its answer has come, after which it is let be.
        tell: tells the sender, which may give the request up.
    """

    __slots__ = ("_clock", "_hangs", "_is_answering", "_report", "_ticket", "_timer")

    def __init__(
        self,
        hangs: HangWatch,
        ticket: AdmissionTicket,
        clock: Callable[[], float],
        is_answering: Callable[[], bool],
        report: Callable[[], None],
    ) -> None:
        self._hangs = hangs
        self._ticket = ticket
        self._clock = clock
        self._is_answering = is_answering
        self._report = report
        self._timer: asyncio.TimerHandle | None = None

    async def run(self, work: Awaitable[None]) -> None:
        """Do the work, and look whether it hangs while it lasts."""
        self._arm(self._hangs.first_look(self._ticket))
        try:
            await work
        finally:
            if self._timer is not None:
                self._timer.cancel()

    def _arm(self, seconds: float | None) -> None:
        if seconds is not None:
            self._timer = asyncio.get_running_loop().call_later(seconds, self._check)

    def _check(self) -> None:
        if self._is_answering():
            return
        if self._hangs.hangs(self._ticket, self._clock()):
            self._ticket.hung = True
            self._report()
            self._arm(max(REPORT_INTERVAL_SECONDS, self._hangs.next_look(self._ticket)))
        else:
            self._arm(self._hangs.next_look(self._ticket))
