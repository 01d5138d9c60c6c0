"""Connections to gateways that are being opened, few at once for each.

A request waits for whichever comes first: a connection that comes up, for it or for another
request, or one that another request leaves. Each request opening its own and giving it up
after the connect time filled a crowded gateway's machine with handshakes that served nobody.
A connection that comes up too late for its request is kept for the next.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable

from pewtertack.node.http import connection as connections
from pewtertack.node.http.connection import BackendConnection
from pewtertack.routing.outcomes import BackendUnreachableError, ConnectionLateError

MOST_AT_ONCE = 16
FIRST_AT_ONCE = 8
"""Connections that a node opens to one gateway at once, at most and at first. Each that comes
up in time allows one more, each late one halves the number."""
OPENING_SECONDS = 1.0
"""An opening is given up after this long: its first packet was lost, and lost again."""
LOOP_LATE_SECONDS = 0.05
"""A timer that fires so late says that this process was held up, and nothing of a gateway."""

Connect = Callable[[str, float], Awaitable[BackendConnection]]
Waiter = asyncio.Future[BackendConnection]


class _Door:
    """One gateway: who waits for a connection to it, and how many are being opened."""

    __slots__ = ("address", "allowed", "opening", "timeout", "waiting")

    def __init__(self, address: str) -> None:
        self.address = address
        self.allowed = FIRST_AT_ONCE
        self.opening = 0
        self.timeout = OPENING_SECONDS
        self.waiting: deque[Waiter] = deque()

    def note_opened(self, seconds: float) -> None:
        """An opening has ended after so long."""
        if seconds <= self.timeout:
            self.allowed = min(MOST_AT_ONCE, self.allowed + 1)
        else:
            self.allowed = max(1, self.allowed // 2)

    @property
    def may_open(self) -> bool:
        """Whether one more connection should be opened."""
        return self.opening < min(len(self.waiting), self.allowed)


class ConnectionOpener:
    """Opens connections for those that wait, in the event loop's thread.

    Args:
        keep: takes a connection that nobody waits for.
        connect: opens one connection within so many seconds.
    """

    __slots__ = ("_connect", "_doors", "_keep", "_tasks")

    def __init__(
        self, keep: Callable[[BackendConnection], None], connect: Connect = connections.connect
    ) -> None:
        self._keep = keep
        self._connect = connect
        self._doors: dict[str, _Door] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def wait(self, address: str, timeout: float) -> BackendConnection:
        """Return the first connection to ``address`` that comes up or free.

        Raises:
            BackendUnreachableError: nobody listens there.
            ConnectionLateError: none came within ``timeout`` seconds.
        """
        loop = asyncio.get_running_loop()
        door = self._doors.setdefault(address, _Door(address))
        door.timeout = timeout
        waiter: Waiter = loop.create_future()
        door.waiting.append(waiter)
        self._open_more(door)
        timer = _Timer(waiter, timeout)
        try:
            return await waiter
        except asyncio.CancelledError:
            self._pass_on(waiter)
            raise
        finally:
            timer.cancel()
            if waiter in door.waiting:
                door.waiting.remove(waiter)
            self._forget(door)

    def hand_over(self, connection: BackendConnection) -> bool:
        """Give a usable connection to who has waited longest; false when nobody waits."""
        door = self._doors.get(connection.address)
        while door is not None and door.waiting:
            waiter = door.waiting.popleft()
            if not waiter.done():
                waiter.set_result(connection)
                return True
        return False

    def _pass_on(self, waiter: Waiter) -> None:
        """Whoever waited has gone; the connection that it was given serves another."""
        if waiter.done() and not waiter.cancelled() and waiter.exception() is None:
            self._deliver(waiter.result())

    def _deliver(self, connection: BackendConnection) -> None:
        if not connection.reusable:
            connection.abort()
        elif not self.hand_over(connection):
            self._keep(connection)

    def _open_more(self, door: _Door) -> None:
        while door.may_open:
            door.opening += 1
            task = asyncio.get_running_loop().create_task(self._open(door))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _open(self, door: _Door) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        try:
            self._deliver(await self._connect(door.address, OPENING_SECONDS))
        except TimeoutError:
            pass  # who waited has been told when its own time was over
        except (OSError, ValueError) as error:
            _refuse_all(door, error)
        finally:
            door.opening -= 1
            door.note_opened(loop.time() - began)
        self._open_more(door)
        self._forget(door)

    def _forget(self, door: _Door) -> None:
        if not door.waiting and not door.opening:
            self._doors.pop(door.address, None)


class _Timer:
    """Ends a waiter's time; where this process was held up meanwhile, it waits as much longer."""

    __slots__ = ("_due", "_handle", "_longer", "_waiter")

    def __init__(self, waiter: Waiter, seconds: float) -> None:
        loop = waiter.get_loop()
        self._waiter = waiter
        self._due = loop.time() + seconds
        self._longer = seconds
        """Seconds that may be added in all."""
        self._handle = loop.call_at(self._due, self._fire)

    def cancel(self) -> None:
        """The waiting has ended."""
        self._handle.cancel()

    def _fire(self) -> None:
        loop = self._waiter.get_loop()
        late = min(loop.time() - self._due, self._longer)
        if late > LOOP_LATE_SECONDS:
            self._longer -= late
            self._due = loop.time() + late
            self._handle = loop.call_at(self._due, self._fire)
        elif not self._waiter.done():
            self._waiter.set_exception(ConnectionLateError("no connection came up in time"))


def _refuse_all(door: _Door, error: OSError | ValueError) -> None:
    """Nobody listens: tell all that wait."""
    while door.waiting:
        waiter = door.waiting.popleft()
        if not waiter.done():
            message = f"cannot connect to the back end: {error}"
            waiter.set_exception(BackendUnreachableError(message))
