"""Which long bodies a gateway receives now.

The link of a small machine carries a few dozen long bodies a second. Received all at once
they share it, and every small request behind them is late; received one by one after a slot
came free, the slot stands idle meanwhile. So few come at a time: of requests that have their
slot first, then those that wait for one, in the order of the queue.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from pewtertack.routing.places import AdmissionTicket

MAX_CONCURRENT_BODIES = 2
"""Long bodies on their way to one gateway: two fill a link of 10 Mbit/s in windows of 32 KB."""
MAX_EARLY_BODIES = 6
"""Bodies held whole while their requests wait for a slot; each at most ``body.AHEAD_BYTES``."""


class _Waiter:
    __slots__ = ("started", "ticket")

    def __init__(self, ticket: AdmissionTicket) -> None:
        self.ticket = ticket
        self.started = asyncio.Event()


class BodyReception:
    """Hands out the turns to receive a long body, in the event loop's thread."""

    __slots__ = ("_early", "_receiving", "_waiters")

    def __init__(self) -> None:
        self._receiving = 0
        self._early: list[AdmissionTicket] = []
        """Requests whose bodies came, or come, before their slots."""
        self._waiters: list[_Waiter] = []

    async def receive(self, ticket: AdmissionTicket, read: Callable[[], Awaitable[None]]) -> None:
        """Wait for the ticket's turn, then read its body; when cancelled, leave the place."""
        waiter = _Waiter(ticket)
        self._waiters.append(waiter)
        self.start_waiters()
        try:
            await waiter.started.wait()
            await read()
        finally:
            self._finish(waiter)

    def release(self, ticket: AdmissionTicket) -> None:
        """The request has ended: its body is held no longer."""
        if ticket in self._early:
            self._early.remove(ticket)
            self.start_waiters()

    def start_waiters(self) -> None:
        """Give the free turns out; to be called too when a ticket was granted."""
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
        """Return whose turn is next: with a slot, or next in the queue while few are ahead."""
        may_wait = len(self._early) < MAX_EARLY_BODIES
        waiters = (item for item in self._waiters if item.ticket.granted or may_wait)
        return min(
            waiters, key=lambda item: (not item.ticket.granted, item.ticket.order), default=None
        )

    def _finish(self, waiter: _Waiter) -> None:
        if waiter.started.is_set():
            self._receiving -= 1
        else:
            self._waiters.remove(waiter)
        self.start_waiters()
