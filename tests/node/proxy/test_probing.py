"""Unreachable gateways are probed over connections of their own."""

import asyncio
import contextlib
import errno
import socket
import time
from typing import Any

from pewtertack.node.http.connection import BackendConnection
from pewtertack.node.proxy.probing import takes_requests
from pewtertack.node.proxy.upstream import (
    GATEWAY_IDLE_SECONDS,
    IDLE_SECONDS,
    ConnectionPool,
)
from pewtertack.routing.attempt_results import AttemptResult
from pewtertack.routing.queueing import Ticket
from tests.node.gateway.test_gateway import POST, GatewayTestCase, answer_normally
from tests.node.proxy.harness import LOOPBACK, RawBackend, raw_call
from tests.routing.samples import route, service


class ProbeTest(GatewayTestCase):
    async def test_a_gateway_responds_without_a_request_to_its_back_end(self) -> None:
        await self.start_fleet(answer_normally)
        self.assertTrue(await takes_requests(self.machines[0].gateway))
        self.assertEqual(self.heads, [])

    async def test_a_gateway_that_shuts_down_accepts_no_requests(self) -> None:
        await self.start_fleet(answer_normally)
        self.gateways[0].start_leaving(1.0)
        self.assertFalse(await takes_requests(self.machines[0].gateway))

    async def test_a_closed_port_accepts_no_requests(self) -> None:
        with socket.create_server((LOOPBACK, 0)) as listener:
            host, port = listener.getsockname()
        self.assertFalse(await takes_requests(f"{host}:{port}"))

    async def test_a_successful_probe_makes_a_gateway_reachable_again(self) -> None:
        address = await self.start_fleet(answer_normally)
        dispatcher = self.proxy._context.dispatcher
        ticket = Ticket(route(), service(), time.monotonic() + 5)
        dispatcher.submit(ticket, time.monotonic())
        dispatcher.finish(ticket, time.monotonic(), AttemptResult.SILENT)
        self.assertEqual((await raw_call(address, POST)).status, 503)
        prober = asyncio.create_task(self.proxy.run())
        while dispatcher.service("logbook").backends[0].unreachable:
            await asyncio.sleep(0.01)
        prober.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await prober
        self.assertEqual((await raw_call(address, POST)).status, 200)


class SilentConnectionTest(GatewayTestCase):
    async def test_only_a_machine_that_acknowledges_nothing_counts_as_silent(self) -> None:
        for error, silent in (
            (OSError(errno.ETIMEDOUT, "timed out"), True),
            (ConnectionResetError(errno.ECONNRESET, "reset"), False),
            (None, False),
        ):
            stream = BackendConnection()
            stream.connection_lost(error)
            self.assertEqual(stream.peer_silent, silent)

    async def test_idle_connections_to_nodes_are_kept_longer_than_to_back_ends(self) -> None:
        async def wait_for_end(reader: Any, writer: Any, head: str) -> bool:
            return True

        address = await RawBackend(wait_for_end).start(self)
        now = 0.0
        pool = ConnectionPool(lambda: now)
        for long_lived, idle, kept in (
            (False, IDLE_SECONDS + 0.1, False),
            (True, IDLE_SECONDS + 0.1, True),
            (True, GATEWAY_IDLE_SECONDS + 0.1, False),
        ):
            with self.subTest(long_lived=long_lived, idle=idle):
                first = await pool.acquire(address, 1.0)
                pool.release(first, long_lived)
                now += idle
                second = await pool.acquire(address, 1.0)
                self.assertEqual(second is first, kept)
                second.abort()

    async def test_idle_connections_to_a_silent_gateway_are_closed(self) -> None:
        async def wait_for_end(reader: Any, writer: Any, head: str) -> bool:
            return True

        backend = RawBackend(wait_for_end)
        address = await backend.start(self)
        pool = ConnectionPool(time.monotonic)
        first = await pool.acquire(address, 1.0)
        pool.release(first)
        pool.drop(address)
        self.assertIsNot(await pool.acquire(address, 1.0), first)
