"""Limits how many long request bodies a gateway receives at once.

The link of a small machine carries a few dozen long bodies a second. If all were received at
once they would share it, and every small request behind them would be late. If each were received
only once its request had a slot, that slot would be idle meanwhile. So only a few bodies are
received at a time: first those of requests that have a slot, then those of waiting requests in
queue order.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from pewtertack.routing.admission_ticket import AdmissionTicket

MAX_CONCURRENT_BODIES = 2
"""Long bodies received by one gateway at once: two fill a link of 10 Mbit/s with 32 KB windows."""
MAX_EARLY_BODIES = 6
"""Bodies buffered while their requests wait for a slot; each at most ``body.READ_AHEAD_BYTES``."""


class _Waiter:
    __slots__ = ("started", "ticket")

    def __init__(self, ticket: AdmissionTicket) -> None:
        self.ticket = ticket
        self.started = asyncio.Event()


class BodyReception:
    """Schedules the reception of long bodies. All methods run in the event loop's thread."""

    __slots__ = ("_early", "_receiving", "_waiters")

    def __init__(self) -> None:
        self._receiving = 0
        self._early: list[AdmissionTicket] = []
        """Requests whose bodies were, or are being, received before they got a slot."""
        self._waiters: list[_Waiter] = []

    async def receive(self, ticket: AdmissionTicket, read: Callable[[], Awaitable[None]]) -> None:
        """Wait for the ticket's turn, then read its body; on cancellation leave the queue."""
        waiter = _Waiter(ticket)
        self._waiters.append(waiter)
        self.start_waiters()
        try:
            await waiter.started.wait()
            await read()
        finally:
            self._finish(waiter)

    def release(self, ticket: AdmissionTicket) -> None:
        """Note that the request has ended and its body is no longer buffered."""
        if ticket in self._early:
            self._early.remove(ticket)
            self.start_waiters()

    def start_waiters(self) -> None:
        """Start as many waiters as the limits allow; also call this when a ticket was granted."""
        self._early = [ticket for ticket in self._early if not ticket.granted]
        while self._receiving < MAX_CONCURRENT_BODIES:
            waiter = self._next_waiter()
            if waiter is None:
                return
            self._waiters.remove(waiter)
            self._receiving += 1
            if not waiter.ticket.granted:
                self._early.append(waiter.ticket)
            waiter.started.set()

    def _next_waiter(self) -> _Waiter | None:
        """Return the next waiter: one with a slot, else the first in the queue if allowed."""
        may_start_early = len(self._early) < MAX_EARLY_BODIES
        waiters = (item for item in self._waiters if item.ticket.granted or may_start_early)
        return min(
            waiters, key=lambda item: (not item.ticket.granted, item.ticket.sort_key), default=None
        )

    def _finish(self, waiter: _Waiter) -> None:
        if waiter.started.is_set():
            self._receiving -= 1
        else:
            self._waiters.remove(waiter)
        self.start_waiters()
