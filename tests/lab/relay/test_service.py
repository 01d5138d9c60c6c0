"""Datagrams and streams through the relay while links are cut, limited and healed."""

import contextlib
import socket
import time
import unittest
from collections.abc import AsyncIterator

import anyio
import anyio.abc

from pewtertack.lab.errors import LabUsageError
from pewtertack.lab.relay.links import Link, LinkSettings, LinkTable, RelayedNode
from pewtertack.lab.relay.service import Relay
from pewtertack.settings import Address

RELAY_IP = "127.0.200.1"
RATE = 20_000.0
"""Bytes per second."""
YABA_TO_LEKKI = LinkSettings(cuts=(Link("yaba", "lekki"),))


def free_port(ip: str) -> int:
    with contextlib.closing(socket.socket()) as probe:
        probe.bind((ip, 0))
        port: int = probe.getsockname()[1]
        return port


def make_node(name: str, zone: str, ip: str) -> RelayedNode:
    listen = Address(ip, free_port(ip))
    return RelayedNode(name, zone, listen, Address(RELAY_IP, free_port(RELAY_IP)))


@contextlib.asynccontextmanager
async def running_relay(*nodes: RelayedNode) -> AsyncIterator[Relay]:
    relay = Relay(nodes, Address("127.0.0.1", 0))
    async with anyio.create_task_group() as task_group:
        await relay.open(task_group)
        yield relay
        relay.control.close()
        task_group.cancel_scope.cancel()


async def udp_socket(node: RelayedNode) -> anyio.abc.UDPSocket:
    return await anyio.create_udp_socket(
        family=socket.AF_INET, local_host=node.listen.host, local_port=node.listen.port
    )


class RelayTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.yaba = make_node("n1", "yaba", "127.0.201.1")
        self.lekki = make_node("n2", "lekki", "127.0.202.1")

    async def test_datagram_comes_from_the_senders_advertised_address(self) -> None:
        async with (
            running_relay(self.yaba, self.lekki),
            await udp_socket(self.yaba) as yaba,
            await udp_socket(self.lekki) as lekki,
        ):
            await yaba.sendto(b"ping", RELAY_IP, self.lekki.advertised.port)
            data, sender = await lekki.receive()
            self.assertEqual((data, sender), (b"ping", (RELAY_IP, self.yaba.advertised.port)))
            await lekki.sendto(b"pong", *sender)
            data, sender = await yaba.receive()
            self.assertEqual((data, sender), (b"pong", (RELAY_IP, self.lekki.advertised.port)))

    async def test_one_sender_reaches_many_targets_at_once(self) -> None:
        others = [make_node(f"o{index}", "lekki", f"127.0.202.{index}") for index in range(2, 6)]
        async with running_relay(self.yaba, *others):
            sockets = [await udp_socket(node) for node in others]
            with contextlib.closing(socket.socket(socket.AF_INET, socket.SOCK_DGRAM)) as yaba:
                yaba.bind((self.yaba.listen.host, self.yaba.listen.port))
                for node in others:
                    yaba.sendto(b"ping", (RELAY_IP, node.advertised.port))
            for receiving in sockets:
                async with receiving:
                    self.assertEqual((await receiving.receive())[0], b"ping")

    async def test_one_way_cut_drops_datagrams_in_one_direction(self) -> None:
        async with (
            running_relay(self.yaba, self.lekki) as relay,
            await udp_socket(self.yaba) as yaba,
            await udp_socket(self.lekki) as lekki,
        ):
            relay.set_links(YABA_TO_LEKKI)
            await yaba.sendto(b"lost", RELAY_IP, self.lekki.advertised.port)
            while not relay.counters.datagrams_dropped:
                await anyio.sleep(0.001)
            await lekki.sendto(b"passes", RELAY_IP, self.yaba.advertised.port)
            self.assertEqual((await yaba.receive())[0], b"passes")
            relay.set_links(LinkSettings(delay=0.001))
            await yaba.sendto(b"healed", RELAY_IP, self.lekki.advertised.port)
            self.assertEqual((await lekki.receive())[0], b"healed")

    async def test_datagrams_are_limited_to_the_link_rate(self) -> None:
        async with (
            running_relay(self.yaba, self.lekki) as relay,
            await udp_socket(self.yaba) as yaba,
            await udp_socket(self.lekki) as lekki,
        ):
            relay.set_links(LinkSettings(rate=RATE))
            began = time.monotonic()
            for _ in range(2):
                await yaba.sendto(bytes(1000), RELAY_IP, self.lekki.advertised.port)
            for _ in range(2):
                await lekki.receive()
            self.assertGreaterEqual(time.monotonic() - began, 2 * 1000 / RATE)

    async def test_stream_is_limited_to_the_link_rate(self) -> None:
        async def send_much(stream: anyio.abc.SocketStream) -> None:
            async with stream:
                await stream.send(bytes(10_000))

        listener = await anyio.create_tcp_listener(
            local_host=self.lekki.listen.host, local_port=self.lekki.listen.port
        )
        async with (
            running_relay(self.yaba, self.lekki) as relay,
            listener,
            anyio.create_task_group() as tasks,
        ):
            tasks.start_soon(listener.serve, send_much)
            relay.set_links(LinkSettings(rate=RATE))
            began, received = time.monotonic(), 0
            local, target = self.yaba.listen.host, self.lekki.advertised
            async with await anyio.connect_tcp(target.host, target.port, local_host=local) as yaba:
                while received < 10_000:
                    received += len(await yaba.receive())
            seconds = time.monotonic() - began
            tasks.cancel_scope.cancel()
        self.assertGreaterEqual(seconds, 0.9 * 10_000 / RATE)
        self.assertLess(seconds, 3 * 10_000 / RATE)

    async def test_cut_pauses_a_stream_until_healed(self) -> None:
        async def echo(stream: anyio.abc.SocketStream) -> None:
            async with stream:
                await stream.send(b"echo " + await stream.receive())

        listener = await anyio.create_tcp_listener(
            local_host=self.lekki.listen.host, local_port=self.lekki.listen.port
        )
        async with (
            running_relay(self.yaba, self.lekki) as relay,
            listener,
            anyio.create_task_group() as tasks,
        ):
            tasks.start_soon(listener.serve, echo)
            relay.set_links(YABA_TO_LEKKI)
            local = self.yaba.listen.host
            target = self.lekki.advertised
            async with await anyio.connect_tcp(
                target.host, target.port, local_host=local
            ) as stream:
                await stream.send(b"hello")
                with anyio.move_on_after(0.05):
                    await stream.receive()
                    self.fail("the cut let a stream pass")
                relay.set_links(LinkSettings())
                self.assertEqual(await stream.receive(), b"echo hello")
            tasks.cancel_scope.cancel()

    async def test_datagrams_of_unknown_senders_are_dropped_and_counted(self) -> None:
        async with running_relay(self.yaba, self.lekki) as relay:
            stranger = await anyio.create_udp_socket(
                family=socket.AF_INET, local_host="127.0.203.1"
            )
            async with stranger:
                await stranger.sendto(b"?", RELAY_IP, self.lekki.advertised.port)
                while not relay.counters.strangers:
                    await anyio.sleep(0.001)

    def test_each_node_needs_its_own_ip_address(self) -> None:
        with self.assertRaises(LabUsageError):
            LinkTable((self.yaba, make_node("n3", "yaba", self.yaba.listen.host)))
