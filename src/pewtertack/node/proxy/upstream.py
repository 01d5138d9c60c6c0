"""Connections to back ends, owned one by one and reused only when whole."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Container

import anyio
import httpcore

from pewtertack.node.proxy import network
from pewtertack.routing.outcomes import BackendUnreachableError

IDLE_SECONDS = 3.0
"""Idle connections are closed after this long; uvicorn's back ends close after 5 s."""
SWEEP_SECONDS = 1.0


class _NoLock:
    """Stands in for httpcore's lock, which costs two turns of the event loop each time."""

    async def __aenter__(self) -> None:
        """Enter at once."""

    async def __aexit__(self, *_: object) -> None:
        """Leave at once."""


class _SingleOwnerConnection(httpcore.AsyncHTTP11Connection):
    """httpcore's connection for one exchange at a time, as the dispatcher grants them."""

    def __init__(self, origin: httpcore.Origin, stream: network.BackendStream) -> None:
        super().__init__(origin, stream, keepalive_expiry=IDLE_SECONDS)
        self._state_lock = _NoLock()  # type: ignore[assignment]

    def has_surplus(self) -> bool:
        """Tell whether bytes came after the last answer's end: no request is due them."""
        return bool(self._h11_state.trailing_data[0])


class BackendConnection:
    """One connection with its stream, which tells whether anything was sent."""

    def __init__(self, address: str, stream: network.BackendStream) -> None:
        host, port = _split(address)
        self.address = address
        self.stream = stream
        self.origin = httpcore.Origin(b"http", host.encode(), port)
        self._http = _SingleOwnerConnection(self.origin, stream)
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
        http = self._http
        return http.is_idle() and not http.has_surplus() and not http.has_expired()

    @property
    def peer_silent(self) -> bool:
        """Whether the connection ended since the other machine acknowledged nothing."""
        return self.stream.peer_silent

    def abort(self) -> None:
        """Close the connection at once."""
        self.stream.abort()


class ConnectionStore:
    """Idle connections by address, the last used first."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._idle: dict[str, deque[tuple[float, BackendConnection]]] = {}
        self._sweep: asyncio.TimerHandle | None = None

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
            connection.abort()
        return await connect(address, connect_timeout)

    def give_back(self, connection: BackendConnection) -> None:
        """Keep the connection for reuse when its exchange ended cleanly, else close it."""
        if not connection.reusable:
            connection.abort()
            return
        idle = self._idle.setdefault(connection.address, deque())
        idle.append((self._clock(), connection))
        if self._sweep is None:
            self._sweep = asyncio.get_running_loop().call_later(SWEEP_SECONDS, self._retire_old)

    def _retire_old(self) -> None:
        """Close what has been idle too long; go on as long as anything is left."""
        self._sweep = None
        self._retire(self._clock() - IDLE_SECONDS, self._idle.keys())
        if self._idle:
            self._sweep = asyncio.get_running_loop().call_later(SWEEP_SECONDS, self._retire_old)

    def drop(self, address: str) -> None:
        """Close idle connections to an address whose machine may be gone."""
        for _, connection in self._idle.pop(address, ()):
            connection.abort()

    def keep_only(self, addresses: Container[str]) -> None:
        """Close idle connections to all other addresses."""
        self._retire(float("-inf"), addresses)

    def _retire(self, oldest: float, kept: Container[str]) -> None:
        for address, idle in list(self._idle.items()):
            while idle and (idle[0][0] < oldest or address not in kept):
                idle.popleft()[1].abort()
            if not idle:
                del self._idle[address]


async def connect(address: str, timeout: float) -> BackendConnection:
    """Return a new connection to ``ip:port``, made within ``timeout`` seconds.

    Raises:
        BackendUnreachableError: no connection was made.
    """
    try:
        host, port = _split(address)
        with anyio.fail_after(timeout):
            stream = await network.connect(host, port)
    except (OSError, ValueError) as error:
        raise BackendUnreachableError(f"cannot connect to the back end: {error}") from error
    return BackendConnection(address, stream)


def _split(address: str) -> tuple[str, int]:
    """Return host and port of ``ip:port``; an IPv6 number stands in brackets."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
