"""HTTP listeners of the stand-in services, based on uvicorn; they can be closed and reopened."""

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
START_POLL_SECONDS = 0.005


class _Server(uvicorn.Server):
    """A uvicorn server that installs no signal handlers."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


def _protocol_with_limit(limit: int, protocol: type[HttpToolsProtocol]) -> type[HttpToolsProtocol]:
    """Return a subclass of an HTTP protocol class that resets connections beyond ``limit``."""

    class LimitedProtocol(protocol):  # type: ignore[valid-type, misc]
        def connection_made(self, transport: Any) -> None:
            super().connection_made(transport)
            if len(self.connections) > limit:
                transport.abort()

    return LimitedProtocol


class Listener:
    """Serves one application on one address.

    Args:
        application: the ASGI application.
        address: the address to listen on; port 0 selects a free port.
        connection_limit: the number of connections beyond which new ones are reset.
        protocol: the class of the connections.
    """

    def __init__(
        self,
        application: Application,
        address: Address,
        connection_limit: int | None = None,
        protocol: type[HttpToolsProtocol] = HttpToolsProtocol,
    ) -> None:
        self.application = application
        self._connection_limit = connection_limit
        self._protocol = protocol
        self._server: _Server | None = None
        self.address = address

    @property
    def is_open(self) -> bool:
        """Whether connections are accepted."""
        return self._server is not None

    async def open(self, task_group: anyio.abc.TaskGroup) -> None:
        """Start serving in ``task_group``; return once connections are accepted.

        Raises:
            LabUsageError: the address cannot be bound.
        """
        listener_socket = self._bind()
        self.address = Address(*listener_socket.getsockname()[:2])
        server = _Server(self._settings())
        self._server = server
        task_group.start_soon(server.serve, [listener_socket])
        while not server.started:
            await anyio.sleep(START_POLL_SECONDS)

    def _bind(self) -> socket.socket:
        listener_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        listener_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            listener_socket.bind((self.address.host, self.address.port))
        except OSError as error:
            listener_socket.close()
            raise LabUsageError(f"cannot listen on {self.address}: {error}") from error
        return listener_socket

    def _settings(self) -> uvicorn.Config:
        protocol = self._protocol
        if self._connection_limit is not None:
            protocol = _protocol_with_limit(self._connection_limit, protocol)
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
        """Stop accepting connections and reset all open ones."""
        if self._server is None:
            return
        for listener_socket in self._server.servers:
            listener_socket.close()
        for connection in list(self._server.server_state.connections):
            connection.transport.abort()
        self._server.should_exit = True
        self._server = None

    def abort_unanswered(self, path: str) -> int:
        """Reset the connections on which a request for ``path`` awaits its response.

        Returns:
            The number of connections reset.
        """
        if self._server is None:
            return 0
        unanswered = [
            connection
            for connection in self._server.server_state.connections
            if _is_unanswered(connection, path)
        ]
        for connection in unanswered:
            connection.transport.abort()
        return len(unanswered)


def _is_unanswered(connection: Any, path: str) -> bool:
    cycle = connection.cycle
    if cycle is None or cycle.response_started:
        return False
    return bool(cycle.scope["path"] == path)


def print_line(line: bytes) -> None:
    """Write one line to standard output and flush it, so that a kill loses no line."""
    sys.stdout.buffer.write(line + b"\n")
    sys.stdout.buffer.flush()


def print_ready(**addresses: Address) -> None:
    """Print the line that tells the fleet that this process is ready."""
    named = {name: str(address) for name, address in addresses.items()}
    print_line(msgspec.json.encode({"ready": named}))
