"""Memory and connections that the callers of all servers of a process may occupy together.

A limit on each connection alone does not protect the process: many callers, each within it, can
exceed the memory of the machine. A usual request is always accepted; larger ones and requests
pipelined behind another are accepted while they fit. If the memory is used up by data that is still
arriving, the connection that holds the most of it discards it, and ends after the responses that
are due. Requests that run are not ended.

Each server has a limit on its connections, so that callers leave descriptors for other nodes and
for the platform (``node.http.making_room``).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from typing import Protocol

    from pewtertack.node.http.server import HttpServer

    class Connection(Protocol):
        """A caller's connection that holds memory."""

        def discard_arriving(self) -> None:
            """Discard what was received of requests that are not complete."""


REQUEST_BYTES = 48 * 1024
"""Memory that a running request takes beside its own bytes, at a node that forwards it."""
RECEIVE_BUFFER_BYTES = 64 * 1024
"""Data that may wait in the kernel on a connection from which nothing is read."""
FREE_BYTES = REQUEST_BYTES + 16 * 1024
"""Memory of a connection that is not counted: that of a usual request."""
CALLERS_MEMORY_SHARE = 0.25
"""Share of the process' memory for what is counted. The node itself, connections, buffered bodies,
responses, and what the allocator cannot reuse take the rest."""
MAX_OWN_DESCRIPTORS = 256
OWN_DESCRIPTORS_SHARE = 0.25
"""Share of the process' descriptors for files, listeners, peers and the platform, up to
``MAX_OWN_DESCRIPTORS``. The connections of callers, those of other nodes, and those that callers'
requests need get a third of the rest each."""
MAX_ADMIN_CONNECTIONS = 32
"""Connections to the admin interface, which take of the process' own descriptors."""
UNLIMITED = 1 << 62


class MemoryBudget:
    """Memory held for callers, by connection.

    Args:
        limit: bytes that may be held together.
    """

    __slots__ = ("_arriving", "_held", "discarded", "held_bytes", "limit")

    def __init__(self, limit: int = UNLIMITED) -> None:
        self.limit = limit
        self.held_bytes = 0
        self.discarded = 0
        """Number of connections that had to discard received data."""
        self._held: dict[Connection, int] = {}
        self._arriving: dict[Connection, int] = {}
        """Bytes that connections can discard."""

    def has_room(self, size: int = 0) -> bool:
        """Return whether ``size`` more bytes may be held."""
        return self.held_bytes + size < self.limit

    def note(self, connection: Connection, size: int, arriving: int) -> bool:
        """Note what a connection holds; return whether it is counted.

        Args:
            size: bytes held.
            arriving: the bytes of them that the connection can discard.
        """
        counted = max(0, size - FREE_BYTES)
        self.held_bytes += counted - self._held.pop(connection, 0)
        self._arriving.pop(connection, None)
        if counted:
            self._held[connection] = counted
            if arriving:
                self._arriving[connection] = arriving
        return counted > 0

    def relieve(self) -> None:
        """Have the connections that hold the most discard what they can, while over the limit.

        Each is asked once: one that is closing may have nothing that it can discard.
        """
        if self.held_bytes <= self.limit:
            return
        largest_first = sorted(self._arriving, key=self._arriving.__getitem__, reverse=True)
        for connection in largest_first:
            if self.held_bytes <= self.limit:
                return
            if self._arriving.pop(connection, 0):
                self.discarded += 1
                connection.discard_arriving()


class CallerResources:
    """What the servers of a process share.

    Args:
        memory: the process' memory in bytes.
        descriptors: the process' file descriptors.
    """

    __slots__ = ("max_connections", "memory", "servers")

    def __init__(self, memory: int = UNLIMITED, descriptors: int = UNLIMITED) -> None:
        own = min(MAX_OWN_DESCRIPTORS, int(descriptors * OWN_DESCRIPTORS_SHARE))
        self.memory = MemoryBudget(int(memory * CALLERS_MEMORY_SHARE))
        self.max_connections = (descriptors - own) // 3
        """Connections of callers and, as many again, of other nodes."""
        self.servers: list[HttpServer] = []
        """The servers, whose running requests may each need a connection to another server."""

    def may_run_another(self) -> bool:
        """Return whether a pipelined request may run beside the one before it."""
        if not self.memory.has_room(REQUEST_BYTES):
            return False
        return sum(len(server.tasks) for server in self.servers) < self.max_connections
