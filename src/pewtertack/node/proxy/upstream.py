"""Connections to back ends, owned one by one and reused only when whole."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import anyio
import httpcore

from pewtertack.node.proxy import network
from pewtertack.routing.outcomes import BackendUnreachableError

IDLE_SECONDS = 3.0
"""Idle connections are closed after this long; uvicorn's back ends close after 5 s."""


class BackendConnection:
    """One connection with its stream, which tells whether anything was sent."""

    def __init__(self, address: str, stream: network.BackendStream) -> None:
        host, _, port = address.rpartition(":")
        self.address = address
        self.stream = stream
        self.origin = httpcore.Origin(b"http", host.encode(), int(port))
        self._http = httpcore.AsyncHTTP11Connection(
            self.origin, stream, keepalive_expiry=IDLE_SECONDS
        )
        self._sent_before = 0

    @property
    def sent(self) -> bool:
        """Whether a byte of the current exchange was sent."""
        return self.stream.sent_bytes > self._sent_before

    async def exchange(self, request: httpcore.Request) -> httpcore.Response:
        """Send the request and return the response, whose body is not read yet."""
        self._sent_before = self.stream.sent_bytes
        return await self._http.handle_async_request(request)

    @property
    def reusable(self) -> bool:
        """Whether the last exchange ended cleanly and the back end has not closed."""
        return self._http.is_idle() and not self._http.has_expired()

    async def close(self) -> None:
        """Close the connection at once."""
        await self._http.aclose()


class ConnectionStore:
    """Idle connections by address, the last used first."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._idle: dict[str, deque[tuple[float, BackendConnection]]] = {}

    async def take(self, address: str, connect_timeout: float) -> BackendConnection:
        """Return an idle connection that is alive, or a new one.

        Raises:
            BackendUnreachableError: no connection was made.
        """
        idle = self._idle.get(address)
        while idle:
            _, connection = idle.pop()
            if connection.reusable:
                return connection
            await connection.close()
        return await _connect(address, connect_timeout)

    async def give_back(self, connection: BackendConnection) -> None:
        """Keep the connection for reuse when its exchange ended cleanly, else close it."""
        if not connection.reusable:
            await connection.close()
            return
        idle = self._idle.setdefault(connection.address, deque())
        idle.append((self._clock(), connection))

    async def retire(self, keep: Callable[[str], bool]) -> None:
        """Close idle connections that are too old or whose address is not to be kept."""
        oldest = self._clock() - IDLE_SECONDS
        for address, idle in list(self._idle.items()):
            while idle and (idle[0][0] < oldest or not keep(address)):
                await idle.popleft()[1].close()
            if not idle:
                del self._idle[address]

    async def close_idle(self) -> None:
        """Close all idle connections."""
        await self.retire(lambda _: False)


async def _connect(address: str, timeout: float) -> BackendConnection:
    host, _, port = address.rpartition(":")
    try:
        with anyio.fail_after(timeout):
            stream = await network.connect(host, int(port))
    except (OSError, ValueError) as error:
        raise BackendUnreachableError(f"cannot connect to the back end: {error}") from error
    return BackendConnection(address, stream)
