"""uvicorn inside a process that has a life and signal handlers of its own."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Iterator
from typing import Any

import uvicorn

BACKLOG = 1024


class EmbeddedServer(uvicorn.Server):
    """A uvicorn server that leaves signals to the process.

    Run ``serve(sockets=[...])`` in a task; set ``should_exit`` to stop it: it
    then closes idle connections and waits for requests in flight.
    """

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave the process's signal handlers as they are."""
        yield


def embedded_server(application: Any) -> EmbeddedServer:
    """Return a server for an ASGI application on the asyncio event loop."""
    config = uvicorn.Config(
        application,
        http="httptools",
        loop="asyncio",
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        server_header=False,
        backlog=BACKLOG,
    )
    return EmbeddedServer(config)


def bound_socket(host: str, port: int) -> socket.socket:
    """Return a listening TCP socket; port 0 takes a free one."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    listener.listen(BACKLOG)
    listener.setblocking(False)
    return listener
