"""Idle connections that change before the next request uses them."""

import asyncio
import socket
import time
import unittest

from pewtertack.node.http.connection import BackendConnection
from pewtertack.node.http.messages import OutgoingRequest
from pewtertack.node.proxy.upstream import ConnectionPool

RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
TIMEOUT_SECONDS = 5.0


class IdleConnectionTest(unittest.IsolatedAsyncioTestCase):
    """The event loop does not run between the peer's action and the next request.

    Guards against 502 for a non-repeatable request that reached nobody: it was sent on a
    connection that the peer had closed, because the loop had not read the close yet.
    """

    async def asyncSetUp(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)
        self.listener.setblocking(False)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.pool = ConnectionPool(time.monotonic)
        self.idle_connection, self.peer = await self.make_idle_connection()

    async def make_idle_connection(self) -> tuple[BackendConnection, socket.socket]:
        """Return a connection that is idle after an exchange, and the peer's socket."""
        loop = asyncio.get_running_loop()
        accepting = asyncio.create_task(loop.sock_accept(self.listener))
        connection = await self.pool.acquire(self.address, TIMEOUT_SECONDS)
        self.addCleanup(connection.abort)
        peer, _ = await accepting
        self.addCleanup(peer.close)
        request = OutgoingRequest(b"GET", b"/", [(b"host", b"a")], None)
        exchange = asyncio.create_task(connection.exchange(request))
        await loop.sock_recv(peer, 1000)
        await loop.sock_sendall(peer, RESPONSE)
        await exchange
        await connection.read_body()
        self.pool.release(connection)
        return connection, peer

    async def assert_new_connection_is_used(self) -> None:
        connection = await self.pool.acquire(self.address, TIMEOUT_SECONDS)
        self.addCleanup(connection.abort)
        self.assertIsNot(connection, self.idle_connection)

    async def test_an_unchanged_connection_is_reused(self) -> None:
        self.assertIs(await self.pool.acquire(self.address, TIMEOUT_SECONDS), self.idle_connection)
        self.pool.release(self.idle_connection)
        self.assertIs(await self.pool.acquire(self.address, TIMEOUT_SECONDS), self.idle_connection)

    async def test_a_closed_connection_is_not_reused(self) -> None:
        self.peer.close()
        await self.assert_new_connection_is_used()

    async def test_a_reset_connection_is_not_reused(self) -> None:
        self.peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        self.peer.close()
        await self.assert_new_connection_is_used()

    async def test_a_connection_with_an_unsolicited_response_is_not_reused(self) -> None:
        self.peer.send(RESPONSE)
        await self.assert_new_connection_is_used()
