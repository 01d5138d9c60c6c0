"""Receivers of a long body on machines that live, and take it slowly.

The story, the cause and the evidence: ``tests.node.gateway.test_slow_back_ends``. Here the
receiver reads all the time, as the end of a full link does: at 60 and 125 kB/s bodies of 393 kB
and of 1 MB ended after 0.8 s with ETIMEDOUT, at 250 and 625 kB/s all arrived.
"""

import asyncio
import socket
import unittest
from collections.abc import AsyncIterator

from pewtertack.node.http.connection import OutgoingRequest, connect

READ_SECONDS = 0.05
PART = b"x" * 65536
PARTS = 6
ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


async def body() -> AsyncIterator[bytes]:
    for _ in range(PARTS):
        yield PART


class SlowReceiverTest(unittest.IsolatedAsyncioTestCase):
    async def receive(self, listener: socket.socket, bytes_per_second: int) -> None:
        loop = asyncio.get_running_loop()
        connection, _ = await loop.sock_accept(listener)
        with connection:
            received = 0
            while received < PARTS * len(PART):
                data = await loop.sock_recv(connection, int(bytes_per_second * READ_SECONDS))
                if not data:
                    return
                received += len(data)
                await asyncio.sleep(READ_SECONDS)
            await loop.sock_sendall(connection, ANSWER)

    async def test_a_body_that_is_read_slowly_arrives(self) -> None:
        length = b"%d" % (PARTS * len(PART))
        headers = [(b"host", b"a"), (b"content-length", length)]
        with socket.create_server(("127.0.0.1", 0)) as listener:
            listener.setblocking(False)
            receiving = asyncio.create_task(self.receive(listener, 125_000))
            self.addCleanup(receiving.cancel)
            connection = await connect(f"127.0.0.1:{listener.getsockname()[1]}", 1.0)
            self.addCleanup(connection.abort)
            async with asyncio.timeout(10.0):
                answer = await connection.exchange(OutgoingRequest(b"POST", b"/", headers, body()))
        self.assertEqual(answer.status, 200)
        self.assertEqual(await connection.read_whole(), b"ok")
        self.assertTrue(connection.reusable)
