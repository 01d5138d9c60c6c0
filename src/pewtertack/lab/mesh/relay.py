"""Connections to one address through a relay whose two directions can be cut."""

from __future__ import annotations

import socket
import struct

import anyio
from anyio.abc import SocketAttribute, SocketStream, TaskGroup, TaskStatus

from pewtertack.settings import Address

CHUNK_BYTES = 65_536
_NO_LINGER = struct.pack("ii", 1, 0)
"""Value of ``SO_LINGER`` with which closing a socket sends a reset."""
_BROKEN = (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError)


class LinkDirection:
    """One direction of a relay. What is sent while it is cut arrives afterwards, in order."""

    def __init__(self) -> None:
        self._passable = anyio.Event()
        self._passable.set()

    @property
    def is_cut(self) -> bool:
        """Whether all bytes and ends of connections are held back."""
        return not self._passable.is_set()

    def set_cut(self, cut: bool) -> None:
        """Hold back all bytes and ends of connections, or let them pass again."""
        if not cut:
            self._passable.set()
        elif not self.is_cut:
            self._passable = anyio.Event()

    async def wait_passable(self) -> None:
        """Return once the direction is not cut."""
        await self._passable.wait()


class CuttableRelay:
    """Forwards the connections made to ``listen`` to ``target``.

    Connections are accepted during a cut as well; what is sent on them is held back.
    """

    def __init__(self, listen: Address, target: Address) -> None:
        self.listen = listen
        self.target = target
        self.to_target = LinkDirection()
        self.from_target = LinkDirection()

    async def serve(self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        """Accept connections until cancelled.

        Raises:
            OSError: the address cannot be bound.
        """
        listener = await anyio.create_tcp_listener(
            local_host=self.listen.host, local_port=self.listen.port
        )
        async with listener:
            task_status.started()
            await listener.serve(self._relay)

    async def _relay(self, stream: SocketStream) -> None:
        async with stream:
            await self.to_target.wait_passable()
            try:
                target_stream = await anyio.connect_tcp(self.target.host, self.target.port)
            except OSError:
                _reset_on_close(stream)  # as if the process at the target were gone
                return
            async with target_stream:
                await self._forward_both(stream, target_stream)

    async def _forward_both(self, stream: SocketStream, target_stream: SocketStream) -> None:
        async with anyio.create_task_group() as tasks:

            async def forward(
                source: SocketStream, sink: SocketStream, direction: LinkDirection
            ) -> None:
                try:
                    await _forward(source, sink, direction)
                except _BROKEN:
                    await direction.wait_passable()
                    _reset_on_close(stream)
                    _reset_on_close(target_stream)
                    tasks.cancel_scope.cancel()

            tasks.start_soon(forward, stream, target_stream, self.to_target)
            tasks.start_soon(forward, target_stream, stream, self.from_target)


async def _forward(source: SocketStream, sink: SocketStream, direction: LinkDirection) -> None:
    """Forward until ``source`` ends, then end ``sink``."""
    while True:
        try:
            chunk = await source.receive(CHUNK_BYTES)
        except anyio.EndOfStream:
            break
        await direction.wait_passable()
        await sink.send(chunk)
    await direction.wait_passable()
    await sink.send_eof()


def _reset_on_close(stream: SocketStream) -> None:
    raw = stream.extra(SocketAttribute.raw_socket)
    if raw.fileno() >= 0:  # the transport closes a broken connection by itself
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)


class MachineLinks:
    """The links of one machine: other nodes' requests to its gateway, its reads of the store."""

    def __init__(self, to_gateway: CuttableRelay, to_store: CuttableRelay) -> None:
        self.to_gateway = to_gateway
        self.to_store = to_store

    async def open(self, tasks: TaskGroup) -> None:
        """Accept connections in ``tasks``.

        Raises:
            OSError: an address cannot be bound.
        """
        for relay in (self.to_gateway, self.to_store):
            await tasks.start(relay.serve)

    def set_cut(self, incoming: bool, outgoing: bool) -> None:
        """Cut what comes to the machine, what leaves it, both, or nothing."""
        self.to_gateway.to_target.set_cut(incoming)
        self.to_store.from_target.set_cut(incoming)
        self.to_gateway.from_target.set_cut(outgoing)
        self.to_store.to_target.set_cut(outgoing)
