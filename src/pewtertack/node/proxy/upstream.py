"""A pool of connections to back ends and gateways, each used by one exchange at a time."""

from __future__ import annotations

import asyncio
import math
from collections import deque
from collections.abc import Callable, Container

from pewtertack.node.http import connection as connections
from pewtertack.node.http.connection import BackendConnection
from pewtertack.routing.outcomes import BackendUnreachableError

IDLE_SECONDS = 3.0
"""Idle connections are closed after this long; uvicorn's back ends close after 5 s."""
GATEWAY_IDLE_SECONDS = 10.0
"""Idle connections to other nodes are closed after this long; the other node keeps them open for
``limits.keep_alive``. In a zone of 28 nodes with 16 gateways, a pair of nodes exchanges a request
every 3 s on average."""
SWEEP_SECONDS = 1.0
"""Expired connections are closed at most this much later, several at a time. A periodic sweep
every second would wake each node twice a second, for proxy and gateway, even if nothing had
expired."""


class ConnectionPool:
    """Idle connections by address; the most recently used one is reused first."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._idle: dict[str, deque[tuple[float, BackendConnection]]] = {}
        """Expiry time and connection, in ascending order of expiry."""
        self._sweep: asyncio.TimerHandle | None = None
        self._sweep_at = math.inf

    async def acquire(
        self, address: str, connect_timeout: float, request_id: str = ""
    ) -> BackendConnection:
        """Return a usable idle connection, or a new one.

        The connection has not carried a refusal of the request ``request_id``.

        Raises:
            BackendUnreachableError: no connection was made.
        """
        idle = self._idle.get(address)
        unsuitable = []
        found = None
        while idle and found is None:
            expires_at, connection = idle.pop()
            if request_id in connection.refused_ids:
                unsuitable.append((expires_at, connection))
                continue
            # The socket is checked last, to leave as little time as possible before its use.
            is_usable = connection.reusable and self._clock() < expires_at
            if is_usable and not connection.has_unread():
                found = connection
            else:
                connection.abort()
        if idle is not None and unsuitable:
            idle.extend(reversed(unsuitable))
        return found or await connect(address, connect_timeout)

    def release(self, connection: BackendConnection, long_lived: bool = False) -> None:
        """Keep the connection for reuse if its exchange ended cleanly, otherwise close it.

        ``long_lived`` states that the other end keeps idle connections open for longer.
        """
        if not connection.ended_cleanly:
            connection.abort()
            return
        idle = self._idle.setdefault(connection.address, deque())
        seconds = GATEWAY_IDLE_SECONDS if long_lived else IDLE_SECONDS
        now = self._clock()
        idle.append((now + seconds, connection))
        self._schedule_sweep(now + seconds, now)

    def _schedule_sweep(self, moment: float, now: float) -> None:
        """Schedule a sweep soon after ``moment``, unless an earlier one is scheduled."""
        if self._sweep is not None:
            if self._sweep_at <= moment + SWEEP_SECONDS:
                return
            self._sweep.cancel()
        seconds = moment - now + SWEEP_SECONDS
        self._sweep_at = now + seconds
        self._sweep = asyncio.get_running_loop().call_later(seconds, self._close_expired)

    def _close_expired(self) -> None:
        """Close expired connections; schedule the next sweep if any connection is left."""
        self._sweep = None
        now = self._clock()
        self._close_idle(now, self._idle.keys())
        if self._idle:
            self._schedule_sweep(min(idle[0][0] for idle in self._idle.values()), now)

    def drop(self, address: str) -> None:
        """Close the idle connections to an address whose machine may be gone."""
        for _, connection in self._idle.pop(address, ()):
            connection.abort()

    def keep_only(self, addresses: Container[str]) -> None:
        """Close the idle connections to all other addresses."""
        self._close_idle(float("-inf"), addresses)

    def _close_idle(self, now: float, kept: Container[str]) -> None:
        for address, idle in list(self._idle.items()):
            while idle and (idle[0][0] < now or address not in kept):
                idle.popleft()[1].abort()
            if not idle:
                del self._idle[address]


async def connect(address: str, timeout: float) -> BackendConnection:
    """Return a new connection to ``ip:port``, established within ``timeout`` seconds.

    Raises:
        BackendUnreachableError: no connection was made.
    """
    try:
        return await connections.connect(address, timeout)
    except (OSError, ValueError) as error:
        raise BackendUnreachableError(f"cannot connect to the back end: {error}") from error
