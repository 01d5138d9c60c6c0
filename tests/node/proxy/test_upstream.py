"""Connections that are kept for the next request, and what comes on them meanwhile."""

import asyncio
import socket
import time
import unittest

from pewtertack.node.http.connection import BackendConnection
from pewtertack.node.http.messages import OutgoingRequest
from pewtertack.node.proxy.upstream import ConnectionPool

ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
PATIENCE = 5.0


class IdleConnectionTest(unittest.IsolatedAsyncioTestCase):
    """The loop has no turn between what the other end does and the next request.

    What callers saw: 502 for what may not be repeated, though it had reached nobody.
    Cause: a request was sent on a connection whose end had come, and was not read by the loop.
    """

    async def asyncSetUp(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)
        self.listener.setblocking(False)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.store = ConnectionPool(time.monotonic)
        self.kept, self.other_end = await self.keep_one()

    async def keep_one(self) -> tuple[BackendConnection, socket.socket]:
        """Return a connection that is kept after an exchange, and its other end."""
        loop = asyncio.get_running_loop()
        accepting = asyncio.create_task(loop.sock_accept(self.listener))
        connection = await self.store.acquire(self.address, PATIENCE)
        self.addCleanup(connection.abort)
        other_end, _ = await accepting
        self.addCleanup(other_end.close)
        request = OutgoingRequest(b"GET", b"/", [(b"host", b"a")], None)
        exchange = asyncio.create_task(connection.exchange(request))
        await loop.sock_recv(other_end, 1000)
        await loop.sock_sendall(other_end, ANSWER)
        await exchange
        await connection.read_body()
        self.store.release(connection)
        return connection, other_end

    async def assert_another_is_taken(self) -> None:
        taken = await self.store.acquire(self.address, PATIENCE)
        self.addCleanup(taken.abort)
        self.assertIsNot(taken, self.kept)

    async def test_one_on_which_nothing_came_is_used_again(self) -> None:
        self.assertIs(await self.store.acquire(self.address, PATIENCE), self.kept)
        self.store.release(self.kept)
        self.assertIs(await self.store.acquire(self.address, PATIENCE), self.kept)

    async def test_one_that_has_ended_is_not(self) -> None:
        self.other_end.close()
        await self.assert_another_is_taken()

    async def test_one_that_was_reset_is_not(self) -> None:
        self.other_end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        self.other_end.close()
        await self.assert_another_is_taken()

    async def test_one_on_which_an_answer_came_that_nobody_asked_for_is_not(self) -> None:
        self.other_end.send(ANSWER)
        await self.assert_another_is_taken()
