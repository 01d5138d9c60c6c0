"""Reports to the sender of a request that the back end has probably hung on it.

Only the sender knows whether the request can still be served elsewhere and whether its own node
is shutting down, and that may have changed since it sent the request. So the execution goes on
here until the sender cancels it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from pewtertack.routing.admission_ticket import AdmissionTicket
from pewtertack.routing.hanging import HangDetector

REPORT_INTERVAL_SECONDS = 0.25
"""Time between two reports: a sender whose retry budget was empty may have a retry by then."""


class HangChecks:
    """Checks periodically whether the back end hangs on one request.

    Args:
        detector: detects hung requests of the back end.
        ticket: the request's ticket.
        clock: monotonic time in seconds.
        is_answering: tells whether part of the response has arrived, which ends the checks.
        report: reports a hang to the sender, which may then cancel the request.
    """

    __slots__ = ("_clock", "_detector", "_is_answering", "_report", "_ticket", "_timer")

    def __init__(
        self,
        detector: HangDetector,
        ticket: AdmissionTicket,
        clock: Callable[[], float],
        is_answering: Callable[[], bool],
        report: Callable[[], None],
    ) -> None:
        self._detector = detector
        self._ticket = ticket
        self._clock = clock
        self._is_answering = is_answering
        self._report = report
        self._timer: asyncio.TimerHandle | None = None

    async def run(self, work: Awaitable[None]) -> None:
        """Await the work, with hang checks until it is done."""
        self._arm(self._detector.first_check(self._ticket))
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
        if self._detector.should_abandon(self._ticket, self._clock()):
            self._ticket.hung = True
            self._report()
            self._arm(max(REPORT_INTERVAL_SECONDS, self._detector.next_check(self._ticket)))
        else:
            self._arm(self._detector.next_check(self._ticket))
