"""A node that receives a signal while it starts, with a caller waiting at its socket.

Guards against connections reset in this order of events: the node's sockets listen; a caller
connects and sends its request; SIGHUP or SIGTERM arrives before the rest of the node is loaded; the
signal ends the process, since nothing handles it yet. Each of nine signals sent within 0.15 s of
the first connection ended the process with exit code -1 or -15 and no output.
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
    async def first_response(self, node: NodeProcess, port: int, number: signal.Signals) -> bytes:
        """Send a request as soon as the node listens, then the signal; return the response."""
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

    async def test_sigterm_during_the_start_answers_waiting_callers(self) -> None:
        async with NodeProcess(self.text) as node:
            response = await self.first_response(node, self.port, signal.SIGTERM)
            self.assertTrue(response.startswith(b"HTTP/1.1 503 "), response)
            self.assertEqual(await node.wait_exit(), 0)

    async def test_sighup_during_the_start_reloads_the_settings(self) -> None:
        async with NodeProcess(self.text) as node:
            response = await self.first_response(node, self.port, signal.SIGHUP)
            self.assertTrue(response.startswith(b"HTTP/1.1 503 "), response)
            await node.wait_event("SETTINGS_RELOADED")
            node.signal(signal.SIGTERM)
            self.assertEqual(await node.wait_exit(), 0)


if __name__ == "__main__":
    unittest.main()
