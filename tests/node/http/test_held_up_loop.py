"""Connections whose event loop was held up: timers come before the look at the sockets.

A node's loop looks at its sockets before every second round only, and what a socket's bytes wake
runs a round later. So what came while the loop had no turn may be unread when a timer is due.
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
ROUNDS = 4
"""Rounds of the loop from which on it is held up: each second one begins without a look."""
PART = b"p" * 1000
HEAD = b"POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 100000\r\n\r\n"


async def refuse(_scope: Any, _receive: Any, send: Any) -> None:
    """Answer without the body."""
    headers = [(b"content-length", b"2")]
    await send({"type": "http.response.start", "status": 503, "headers": headers})
    await send({"type": "http.response.body", "body": b"no"})


class LingerTest(unittest.TestCase):
    def test_a_caller_that_sent_meanwhile_is_not_reset(self) -> None:
        """What callers may see: a reset instead of a refusal, while they send their body."""
        with (
            mock.patch.object(protocol, "LINGER_SECONDS", LINGER_SECONDS),
            asyncio.Runner(loop_factory=BoottimeEventLoop) as runner,
        ):
            for rounds in range(ROUNDS):
                with self.subTest(rounds):
                    runner.run(self.send_while_held_up(rounds))

    async def send_while_held_up(self, rounds: int) -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        server = HttpServer(refuse, 5.0)
        server.shutdown_seconds = 0.0
        serving = asyncio.create_task(server.serve([listener]))
        with socket.create_connection(listener.getsockname()) as caller:
            caller.setblocking(False)
            caller.sendall(HEAD + PART)
            loop = asyncio.get_running_loop()
            answer = await loop.sock_recv(caller, 4096)
            for _ in range(rounds):
                await asyncio.sleep(0)
            caller.sendall(PART)
            time.sleep(HELD_UP_SECONDS)
            await asyncio.sleep(SHORT_SECONDS)
            await loop.sock_sendall(caller, PART)
            await asyncio.sleep(0)
            problem = caller.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        server.should_exit = True
        await serving
        self.assertIn(b" 503 ", answer)
        self.assertEqual(problem, 0)
