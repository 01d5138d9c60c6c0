"""A suspended machine: its monotonic clock stands still, the node's clock goes on."""

import asyncio
import io
import json
import time
import unittest
from unittest import mock

import anyio

from pewtertack.log import EventLog
from pewtertack.node import clock
from pewtertack.node.event_loop import BoottimeEventLoop
from pewtertack.node.gate import ServingGate
from pewtertack.node.http.connection import BackendConnection
from pewtertack.node.http.messages import OutgoingRequest
from pewtertack.node.runtime import Runtime

TICK = 0.02
SUSPENSION_SECONDS = 60.0
OK_RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


class SuspensionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.suspended_seconds = 0.0
        for name, replacement in (
            ("now", lambda: time.monotonic() + self.suspended_seconds),
            ("suspended_seconds", lambda: self.suspended_seconds),
        ):
            patch = mock.patch.object(clock, name, replacement)
            patch.start()
            self.addCleanup(patch.stop)

    async def tick(self) -> None:
        while True:
            await anyio.sleep(TICK)

    def seconds_after_wake(self, loop_factory: type[asyncio.AbstractEventLoop]) -> float:
        """Return how long a deadline of half of the suspension remains after the wake-up."""

        async def run() -> float:
            ticking = asyncio.ensure_future(self.tick())
            with anyio.move_on_after(SUSPENSION_SECONDS / 2):
                asyncio.get_running_loop().call_soon(self.suspend)
                with anyio.move_on_after(SUSPENSION_SECONDS * 2):
                    started = time.monotonic()
                    await asyncio.wait([ticking], timeout=1.0)
            ticking.cancel()
            return time.monotonic() - started

        return anyio.run(run, backend_options={"loop_factory": loop_factory})

    def suspend(self) -> None:
        self.suspended_seconds += SUSPENSION_SECONDS

    def test_expired_timers_fire_with_the_first_tick_after_the_wake_up(self) -> None:
        self.assertLess(self.seconds_after_wake(BoottimeEventLoop), 0.5)
        # The default loop waits for the rest of its time, here until this test gives up.
        self.assertGreater(self.seconds_after_wake(asyncio.SelectorEventLoop), 0.9)

    def test_a_connection_open_during_a_suspension_is_not_reused(self) -> None:
        async def run() -> tuple[bool, bool]:
            connection = BackendConnection("10.0.0.1:80")
            connection.connection_made(mock.Mock(spec=asyncio.Transport))
            request = OutgoingRequest(b"GET", b"/", [(b"host", b"a")])
            waiting = asyncio.ensure_future(connection.exchange(request))
            await asyncio.sleep(0)
            connection.data_received(OK_RESPONSE)
            await waiting
            await connection.read_body()
            before = connection.reusable
            self.suspend()
            return before, connection.reusable

        self.assertEqual(asyncio.run(run()), (True, False))

    def test_the_node_reports_a_suspension_once(self) -> None:
        output = io.StringIO()
        log = EventLog("n", 1, output)
        core, idle = mock.Mock(), mock.Mock()
        core.handle.return_value = []
        runtime = Runtime(core, TICK, ServingGate(2.0), idle, idle, None, log)

        async def run() -> None:
            with anyio.move_on_after(3 * TICK):
                await runtime.run()
            self.suspend()
            with anyio.move_on_after(3 * TICK):
                await runtime.run()

        anyio.run(run)
        lines = [json.loads(line) for line in output.getvalue().splitlines()]
        self.assertEqual(
            [(line["event"], line["seconds"]) for line in lines],
            [("NODE_SUSPENDED", SUSPENSION_SECONDS)],
        )
        self.assertEqual(runtime.suspended_seconds, SUSPENSION_SECONDS)
