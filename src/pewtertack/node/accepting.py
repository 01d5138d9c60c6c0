"""Accepts the connections of a listening socket, also while the process is short of resources."""

from __future__ import annotations

import asyncio
import errno
import logging
from collections.abc import Callable
from socket import socket

from pewtertack.node.http.cycle import LOGGER_NAME
from pewtertack.node.sockets import BACKLOG

ACCEPTED_AT_ONCE = 16
"""Connections accepted in one iteration of the event loop; other callbacks run in between."""
ACCEPT_RESOURCE_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
"""Errors of ``accept`` for want of file descriptors or memory."""
ACCEPT_RETRY_SECONDS = 1.0
"""Accepting pauses this long after one of these errors: the listener stays readable, which would
keep the loop busy with nothing else."""

logger = logging.getLogger(LOGGER_NAME)


class Acceptor:
    """Accepts connections in the event loop from ``start`` until ``stop``.

    Args:
        loop: the event loop that watches the listener.
        listener: a bound socket.
        handle: called with each accepted connection, which is non-blocking.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, listener: socket, handle: Callable[[socket], object]
    ) -> None:
        self._loop = loop
        self._listener = listener
        self._handle = handle
        self._retry: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Listen, and accept connections from now on."""
        self._listener.setblocking(False)
        self._listener.listen(BACKLOG)
        self._watch()

    def stop(self) -> None:
        """Accept no more connections; those that wait are reset when the listener is closed."""
        if self._retry is not None:
            self._retry.cancel()
        if self._listener.fileno() >= 0:
            self._loop.remove_reader(self._listener)

    def accept_remaining(self) -> None:
        """Accept all waiting connections: closing the listener would reset them with their data."""
        if self._listener.fileno() < 0 or not self._loop.remove_reader(self._listener):
            return  # accepting is paused for want of resources
        for _ in range(BACKLOG):
            if not self._accept_one():
                return

    def _watch(self) -> None:
        self._retry = None
        if self._listener.fileno() >= 0:
            self._loop.add_reader(self._listener, self._accept)

    def _accept(self) -> None:
        for _ in range(ACCEPTED_AT_ONCE):
            if not self._accept_one():
                return

    def _accept_one(self) -> bool:
        """Accept a connection; return whether another one may be waiting."""
        try:
            accepted, _ = self._listener.accept()
        except (BlockingIOError, InterruptedError):
            return False
        except ConnectionAbortedError:
            return True
        except OSError as error:
            if error.errno not in ACCEPT_RESOURCE_ERRORS:
                raise
            logger.error(
                "cannot accept connections for want of resources; accepting is paused",
                exc_info=error,
            )
            self._loop.remove_reader(self._listener)
            self._retry = self._loop.call_later(ACCEPT_RETRY_SECONDS, self._watch)
            return False
        accepted.setblocking(False)
        self._handle(accepted)
        return True
