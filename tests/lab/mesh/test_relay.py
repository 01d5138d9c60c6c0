"""Connections through a relay that is cut."""

import unittest
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import SocketStream

from pewtertack.lab.fleet.ports import PortAllocator
from pewtertack.lab.mesh.relay import CuttableRelay, MachineLinks

CUT_SECONDS = 0.2
PATIENCE_SECONDS = 5.0

Check = Callable[[CuttableRelay, SocketStream], Awaitable[None]]


async def _echo(stream: SocketStream) -> None:
    async with stream:
        async for chunk in stream:
            await stream.send(chunk)


async def _check_with_echo(check: Check) -> None:
    """Run ``check`` with a relay to a server that sends back what it receives."""
    allocator = PortAllocator()
    relay = CuttableRelay(allocator.allocate("127.0.0.1"), allocator.allocate("127.0.0.1"))
    target = await anyio.create_tcp_listener(
        local_host=relay.target.host, local_port=relay.target.port
    )
    async with target, anyio.create_task_group() as tasks:
        tasks.start_soon(target.serve, _echo)
        await tasks.start(relay.serve)
        async with await anyio.connect_tcp(relay.listen.host, relay.listen.port) as stream:
            with anyio.fail_after(PATIENCE_SECONDS):
                await check(relay, stream)
        tasks.cancel_scope.cancel()


async def _read(stream: SocketStream, length: int) -> bytes:
    data = b""
    while len(data) < length:
        data += await stream.receive()
    return data


class CuttableRelayTest(unittest.TestCase):
    def test_bytes_pass_in_both_directions(self) -> None:
        async def check(relay: CuttableRelay, stream: SocketStream) -> None:
            await stream.send(b"ping")
            self.assertEqual(await _read(stream, 4), b"ping")

        anyio.run(_check_with_echo, check)

    def test_what_is_sent_during_a_cut_arrives_in_order_after_it(self) -> None:
        for name in ("to_target", "from_target"):
            with self.subTest(name):

                async def check(
                    relay: CuttableRelay, stream: SocketStream, cut: str = name
                ) -> None:
                    direction = getattr(relay, cut)
                    direction.set_cut(True)
                    await stream.send(b"first ")
                    await stream.send(b"second")
                    with anyio.move_on_after(CUT_SECONDS) as waiting:
                        await stream.receive()
                    self.assertTrue(waiting.cancelled_caught)
                    direction.set_cut(False)
                    self.assertEqual(await _read(stream, 12), b"first second")

                anyio.run(_check_with_echo, check)

    def test_an_end_during_a_cut_follows_what_was_sent_before(self) -> None:
        async def check(relay: CuttableRelay, stream: SocketStream) -> None:
            relay.to_target.set_cut(True)
            await stream.send(b"last words")
            await stream.send_eof()
            relay.to_target.set_cut(False)
            self.assertEqual(await _read(stream, 10), b"last words")
            with self.assertRaises(anyio.EndOfStream):
                await stream.receive()

        anyio.run(_check_with_echo, check)

    def test_without_a_target_a_connection_is_reset(self) -> None:
        async def check() -> None:
            allocator = PortAllocator()
            relay = CuttableRelay(allocator.allocate("127.0.0.1"), allocator.allocate("127.0.0.1"))
            async with anyio.create_task_group() as tasks:
                await tasks.start(relay.serve)
                async with await anyio.connect_tcp(relay.listen.host, relay.listen.port) as stream:
                    with self.assertRaises(anyio.BrokenResourceError):
                        await stream.receive()
                tasks.cancel_scope.cancel()

        anyio.run(check)


class MachineLinksTest(unittest.TestCase):
    def test_each_direction_is_cut_on_both_links(self) -> None:
        allocator = PortAllocator()
        address = allocator.allocate("127.0.0.1")
        for incoming, outgoing in ((True, False), (False, True), (True, True), (False, False)):
            with self.subTest(incoming=incoming, outgoing=outgoing):
                links = MachineLinks(
                    CuttableRelay(address, address), CuttableRelay(address, address)
                )
                links.set_cut(incoming, outgoing)
                directions = {
                    "incoming": (links.to_gateway.to_target, links.to_store.from_target),
                    "outgoing": (links.to_gateway.from_target, links.to_store.to_target),
                }
                self.assertEqual(
                    {name: [item.is_cut for item in items] for name, items in directions.items()},
                    {"incoming": [incoming] * 2, "outgoing": [outgoing] * 2},
                )
