"""uvicorn inside a process that has a life and signal handlers of its own."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterator
from typing import Any

import uvicorn

DATE_SECONDS = 1.0
"""The ``date`` header's resolution."""
RENEWING_TICK = 0
"""A tick number at which uvicorn renews the header: each multiple of ten."""


class EmbeddedServer(uvicorn.Server):
    """A uvicorn server that leaves signals to the process.

    Run ``serve(sockets=[...])`` in a task; set ``should_exit`` to stop it: it
    closes idle connections and waits for answers under way.

    uvicorn looks ten times a second whether it should stop; this one waits for
    it, and wakes once a second to renew the ``date`` header of its answers.
    """

    def __init__(self, config: uvicorn.Config) -> None:
        self._exit = asyncio.Event()
        super().__init__(config)

    @property
    def should_exit(self) -> bool:
        """Whether the server has been told to stop."""
        return self._exit.is_set()

    @should_exit.setter
    def should_exit(self, value: bool) -> None:
        if value:
            self._exit.set()
        else:
            self._exit.clear()

    async def main_loop(self) -> None:
        """Return when the server has been told to stop."""
        while not await self.on_tick(RENEWING_TICK):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(DATE_SECONDS):
                    await self._exit.wait()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave the process's signal handlers as they are."""
        yield


def embedded_server(
    application: Any, keep_alive: float, protocol: type[asyncio.Protocol] | None = None
) -> EmbeddedServer:
    """Return a server for an ASGI application.

    ``keep_alive`` is how many seconds an idle connection stays open; ``protocol``
    replaces uvicorn's protocol for a connection. The loop is named because
    uvicorn would otherwise take uvloop where it finds one.
    """
    config = uvicorn.Config(
        application,
        http=protocol or "httptools",
        loop="asyncio",
        interface="asgi3",
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        proxy_headers=False,
        server_header=False,
        timeout_keep_alive=max(1, round(keep_alive)),
    )
    return EmbeddedServer(config)
