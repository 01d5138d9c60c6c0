"""Connections whose event loop was held up: timers run before the sockets are polled.

A node's loop polls its sockets only before every second iteration, and the callbacks that received
bytes wake run an iteration later. So data received while the loop was held up may be unread when a
timer fires.
"""

import asyncio
import socket
import time
import unittest
from typing import Any
from unittest import mock

from pewtertack.node.event_loop import BoottimeEventLoop
from pewtertack.node.http import protocol
from pewtertack.node.http.server import HttpServer

LINGER_SECONDS = 0.5
HELD_UP_SECONDS = 0.6
SHORT_SECONDS = 0.02
ITERATIONS = 4
"""Iterations before the loop is held up; every second one starts without a poll."""
PART = b"p" * 1000
HEAD = b"POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 100000\r\n\r\n"


async def refuse(_scope: Any, _receive: Any, send: Any) -> None:
    """Respond without reading the body."""
    headers = [(b"content-length", b"2")]
    await send({"type": "http.response.start", "status": 503, "headers": headers})
    await send({"type": "http.response.body", "body": b"no"})


class LingerTest(unittest.TestCase):
    def test_a_caller_that_sent_during_the_delay_is_not_reset(self) -> None:
        """Guards against a reset instead of a refusal while the caller sends its body."""
        with (
            mock.patch.object(protocol, "LINGER_SECONDS", LINGER_SECONDS),
            asyncio.Runner(loop_factory=BoottimeEventLoop) as runner,
        ):
            for iterations in range(ITERATIONS):
                with self.subTest(iterations):
                    runner.run(self.send_while_held_up(iterations))

    async def send_while_held_up(self, iterations: int) -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        server = HttpServer(refuse, 5.0)
        server.shutdown_seconds = 0.0
        serving = asyncio.create_task(server.serve([listener]))
        with socket.create_connection(listener.getsockname()) as caller:
            caller.setblocking(False)
            caller.sendall(HEAD + PART)
            loop = asyncio.get_running_loop()
            response = await loop.sock_recv(caller, 4096)
            for _ in range(iterations):
                await asyncio.sleep(0)
            caller.sendall(PART)
            time.sleep(HELD_UP_SECONDS)
            await asyncio.sleep(SHORT_SECONDS)
            await loop.sock_sendall(caller, PART)
            await asyncio.sleep(0)
            socket_error = caller.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        server.should_exit = True
        await serving
        self.assertIn(b" 503 ", response)
        self.assertEqual(socket_error, 0)
