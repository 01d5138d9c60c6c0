"""Relay process with a UDP socket and a TCP listener at each node's advertised address."""

from __future__ import annotations

import contextlib
import socket
import time

import anyio
import anyio.abc
import msgspec

from pewtertack.lab.asgi import HandlerTable, Request, Response, json_response
from pewtertack.lab.relay.links import LinkSettings, LinkTable, RelayedNode
from pewtertack.lab.serving import Listener, print_ready
from pewtertack.settings import Address

CHUNK_BYTES = 65536
SLOW_CHUNK_BYTES = 4096
"""Chunk size for links with a limited rate, small so that the streams of a machine share it."""

STREAM_ERRORS = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    OSError,
)


class RelayCounters(msgspec.Struct):
    """Traffic counts since the start. ``strangers`` counts traffic from unknown senders."""

    datagrams: int = 0
    datagrams_dropped: int = 0
    strangers: int = 0
    stream_bytes: int = 0


class Relay:
    """Forwards peer traffic between nodes.

    A datagram from node A to B's advertised address is sent on from A's advertised address, so that
    B's answer also passes through the relay.

    Args:
        nodes: all nodes.
        control: the address for control requests of the lab.
        seed: determines which datagrams are lost.
    """

    def __init__(self, nodes: tuple[RelayedNode, ...], control: Address, seed: int = 0) -> None:
        self._nodes = nodes
        self._links = LinkTable(nodes, seed)
        self._links_changed = anyio.Event()
        self._sockets: dict[str, anyio.abc.UDPSocket] = {}
        self._send_locks = {node.name: anyio.Lock() for node in nodes}
        self.counters = RelayCounters()
        handlers = {("PUT", "/links"): self._set_links, ("GET", "/counters"): self._get_counters}
        self.control = Listener(HandlerTable(dict(handlers)), control)

    async def open(self, task_group: anyio.abc.TaskGroup) -> None:
        """Open all sockets and relay in ``task_group``."""
        for node in self._nodes:
            self._sockets[node.name] = await anyio.create_udp_socket(
                family=socket.AF_INET,
                local_host=node.advertised.host,
                local_port=node.advertised.port,
            )
        for node in self._nodes:
            task_group.start_soon(self._relay_datagrams, node, task_group)
            await self._open_streams(node, task_group)
        await self.control.open(task_group)

    async def run(self) -> None:
        """Relay until the process is terminated."""
        async with anyio.create_task_group() as task_group:
            await self.open(task_group)
            print_ready(control=self.control.address)
            await anyio.sleep_forever()

    def set_links(self, settings: LinkSettings) -> None:
        """Apply ``settings`` to all traffic from now on."""
        self._links.settings = settings
        self._links_changed.set()
        self._links_changed = anyio.Event()

    async def _relay_datagrams(self, node: RelayedNode, task_group: anyio.abc.TaskGroup) -> None:
        async with self._sockets[node.name] as relay_socket:
            async for data, (ip, _) in relay_socket:
                await self._relay_datagram(ip, node, data, task_group)

    async def _relay_datagram(
        self, ip: str, node: RelayedNode, data: bytes, task_group: anyio.abc.TaskGroup
    ) -> None:
        sender = self._links.sender(ip)
        if sender is None:
            self.counters.strangers += 1
        elif self._links.drops_datagram(sender.zone, node.zone):
            self.counters.datagrams_dropped += 1
        else:
            await self._schedule_datagram(sender, node, data, task_group)

    async def _schedule_datagram(
        self, sender: RelayedNode, node: RelayedNode, data: bytes, task_group: anyio.abc.TaskGroup
    ) -> None:
        delay = self._links.transfer_seconds(time.monotonic(), sender, node, len(data))
        if delay > 0:
            task_group.start_soon(self._send_datagram, sender, node, data, delay)
        else:
            await self._send_datagram(sender, node, data, delay)

    async def _send_datagram(
        self, sender: RelayedNode, node: RelayedNode, data: bytes, delay: float
    ) -> None:
        if delay > 0:
            await anyio.sleep(delay)
        self.counters.datagrams += 1
        async with self._send_locks[sender.name]:
            with contextlib.suppress(*STREAM_ERRORS):
                await self._sockets[sender.name].sendto(data, node.listen.host, node.listen.port)

    async def _open_streams(self, node: RelayedNode, task_group: anyio.abc.TaskGroup) -> None:
        listener = await anyio.create_tcp_listener(
            local_host=node.advertised.host, local_port=node.advertised.port
        )

        async def relay_stream(stream: anyio.abc.SocketStream) -> None:
            async with stream:
                await self._relay_stream(node, stream)

        async def serve() -> None:
            async with listener:
                await listener.serve(relay_stream)

        task_group.start_soon(serve)

    async def _relay_stream(self, node: RelayedNode, stream: anyio.abc.SocketStream) -> None:
        ip = stream.extra(anyio.abc.SocketAttribute.remote_address)[0]
        sender = self._links.sender(str(ip))
        if sender is None:
            self.counters.strangers += 1
            return
        await self._wait_for_link(sender.zone, node.zone)
        with contextlib.suppress(*STREAM_ERRORS):
            async with await anyio.connect_tcp(node.listen.host, node.listen.port) as target_stream:
                await self._forward_both_directions(sender, node, stream, target_stream)

    async def _forward_both_directions(
        self,
        sender: RelayedNode,
        node: RelayedNode,
        stream: anyio.abc.SocketStream,
        target_stream: anyio.abc.SocketStream,
    ) -> None:
        async with anyio.create_task_group() as forwarders:
            forwarders.start_soon(self._forward, sender, node, stream, target_stream)
            forwarders.start_soon(self._forward, node, sender, target_stream, stream)

    async def _forward(
        self,
        sender: RelayedNode,
        receiver: RelayedNode,
        source: anyio.abc.SocketStream,
        target: anyio.abc.SocketStream,
    ) -> None:
        """Forward one direction of a stream until it ends; pause while the link is cut."""
        with contextlib.suppress(*STREAM_ERRORS):
            while True:
                chunk = await source.receive(self._chunk_bytes)
                await self._wait_for_link(sender.zone, receiver.zone)
                now, size = time.monotonic(), len(chunk)
                await anyio.sleep(self._links.transfer_seconds(now, sender, receiver, size))
                await target.send(chunk)
                self.counters.stream_bytes += len(chunk)
        with contextlib.suppress(*STREAM_ERRORS):
            await target.send_eof()

    @property
    def _chunk_bytes(self) -> int:
        return SLOW_CHUNK_BYTES if self._links.settings.rate else CHUNK_BYTES

    async def _wait_for_link(self, from_zone: str, to_zone: str) -> None:
        while self._links.is_cut(from_zone, to_zone):
            await self._links_changed.wait()

    async def _set_links(self, request: Request) -> Response:
        settings = msgspec.json.decode(request.body, type=LinkSettings)
        self.set_links(settings)
        return json_response(settings)

    async def _get_counters(self, _request: Request) -> Response:
        return json_response(self.counters)
