"""A node that is told something while it starts, with a caller who waits at its socket.

What callers saw: the connection reset. Order of events: the node's sockets listen; a caller
connects and sends its request; SIGHUP or SIGTERM comes before the rest of the node is loaded; the
process ends by the signal. Cause: nothing handled signals until then. Evidence: exit code -1 or
-15, no line of output, on each of nine signals that came within 0.15 s of the first connection.
"""

import signal
import unittest

import anyio

from pewtertack.lab.fleet.ports import PortAllocator
from tests.node.processes import (
    LOOPBACK,
    TIMEOUT_SECONDS,
    UNREACHABLE_ADDRESS,
    NodeProcess,
    settings_text,
)

REQUEST = b"GET / HTTP/1.1\r\nhost: guild.example\r\n\r\n"


class EarlySignalsTest(unittest.IsolatedAsyncioTestCase):
    async def first_answer(self, node: NodeProcess, port: int, number: signal.Signals) -> bytes:
        """Send a request as soon as the node listens, then the signal; return the answer."""
        with anyio.fail_after(TIMEOUT_SECONDS):
            while True:
                try:
                    stream = await anyio.connect_tcp("127.0.0.1", port)
                    break
                except OSError:
                    await anyio.sleep(0.002)
            async with stream:
                await stream.send(REQUEST)
                node.signal(number)
                return await stream.receive()

    async def asyncSetUp(self) -> None:
        address = PortAllocator().allocate("127.0.0.1")
        self.port = address.port
        text = settings_text("a", "yaba", UNREACHABLE_ADDRESS, UNREACHABLE_ADDRESS)
        self.text = text.replace(f'proxy = "{LOOPBACK}"', f'proxy = "{address}"')

    async def test_told_to_stop_it_answers_who_waits(self) -> None:
        async with NodeProcess(self.text) as node:
            answer = await self.first_answer(node, self.port, signal.SIGTERM)
            self.assertTrue(answer.startswith(b"HTTP/1.1 503 "), answer)
            self.assertEqual(await node.wait_exit(), 0)

    async def test_told_to_read_its_settings_again_it_goes_on(self) -> None:
        async with NodeProcess(self.text) as node:
            answer = await self.first_answer(node, self.port, signal.SIGHUP)
            self.assertTrue(answer.startswith(b"HTTP/1.1 503 "), answer)
            await node.wait_event("SETTINGS_RELOADED")
            node.signal(signal.SIGTERM)
            self.assertEqual(await node.wait_exit(), 0)


if __name__ == "__main__":
    unittest.main()
