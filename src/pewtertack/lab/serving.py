"""HTTP listeners of the stand-ins: uvicorn on an address, which can close and open again."""

from __future__ import annotations

import contextlib
import socket
import sys
from collections.abc import Iterator
from typing import Any

import anyio
import anyio.abc
import msgspec
import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from pewtertack.lab.asgi import Application
from pewtertack.lab.errors import LabUsageError
from pewtertack.settings import Address

KEEP_ALIVE_SECONDS = 30
SHUTDOWN_SECONDS = 1
BACKLOG = 512
START_POLL = 0.005


class _Server(uvicorn.Server):
    """A uvicorn server that leaves the process's signals alone."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


def _protocol_with_limit(limit: int) -> type[HttpToolsProtocol]:
    """Return an HTTP protocol that aborts connections beyond ``limit``."""

    class LimitedProtocol(HttpToolsProtocol):
        def connection_made(self, transport: Any) -> None:
            super().connection_made(transport)
            if len(self.connections) > limit:
                transport.abort()

    return LimitedProtocol


class Listener:
    """One application on one address.

    Args:
        application: what answers.
        address: where to listen; port 0 takes a free one.
        connection_limit: connections beyond this are reset.
    """

    def __init__(
        self, application: Application, address: Address, connection_limit: int | None = None
    ) -> None:
        self.application = application
        self._connection_limit = connection_limit
        self._server: _Server | None = None
        self.address = address

    @property
    def is_open(self) -> bool:
        """Whether connections are accepted."""
        return self._server is not None

    async def open(self, task_group: anyio.abc.TaskGroup) -> None:
        """Listen, and serve in ``task_group``; returns once connections are accepted.

        Raises:
            LabUsageError: the address cannot be bound.
        """
        listening = self._bind()
        self.address = Address(*listening.getsockname()[:2])
        server = _Server(self._settings())
        self._server = server
        task_group.start_soon(server.serve, [listening])
        while not server.started:
            await anyio.sleep(START_POLL)

    def _bind(self) -> socket.socket:
        listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            listening.bind((self.address.host, self.address.port))
        except OSError as error:
            listening.close()
            raise LabUsageError(f"cannot listen on {self.address}: {error}") from error
        return listening

    def _settings(self) -> uvicorn.Config:
        protocol: type[HttpToolsProtocol] | str = "httptools"
        if self._connection_limit is not None:
            protocol = _protocol_with_limit(self._connection_limit)
        return uvicorn.Config(
            self.application,
            loop="asyncio",
            http=protocol,
            ws="none",
            lifespan="off",
            log_config=None,
            log_level="critical",
            access_log=False,
            date_header=False,
            server_header=False,
            backlog=BACKLOG,
            timeout_keep_alive=KEEP_ALIVE_SECONDS,
            timeout_graceful_shutdown=SHUTDOWN_SECONDS,
        )

    def close(self) -> None:
        """Refuse new connections and reset all that are open."""
        if self._server is None:
            return
        for listening in self._server.servers:
            listening.close()
        for connection in list(self._server.server_state.connections):
            connection.transport.abort()
        self._server.should_exit = True
        self._server = None

    def abort_unanswered(self, path: str) -> int:
        """Reset the connections on which a request for ``path`` has no answer yet.

        Returns:
            How many there were.
        """
        if self._server is None:
            return 0
        waiting = [
            connection
            for connection in self._server.server_state.connections
            if _is_waiting(connection, path)
        ]
        for connection in waiting:
            connection.transport.abort()
        return len(waiting)


def _is_waiting(connection: Any, path: str) -> bool:
    cycle = connection.cycle
    if cycle is None or cycle.response_started:
        return False
    return bool(cycle.scope["path"] == path)


def print_line(line: bytes) -> None:
    """Write one line to standard output at once, so that a kill loses none."""
    sys.stdout.buffer.write(line + b"\n")
    sys.stdout.buffer.flush()


def print_ready(**addresses: Address) -> None:
    """Print the line that tells the fleet that a stand-in is ready."""
    named = {name: str(address) for name, address in addresses.items()}
    print_line(msgspec.json.encode({"ready": named}))
