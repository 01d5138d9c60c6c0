"""How much time a node that shuts down gives the requests that it holds."""

import asyncio
import math
import time
import unittest
from typing import Any

from pewtertack.node import daemon
from pewtertack.node.daemon import PROCESS_EXIT_SECONDS, WITHDRAW_SECONDS, drain_time, notice_time
from pewtertack.node.http.cycle import LOGGER_NAME
from pewtertack.settings.schema import LimitsSection
from pewtertack.settings.values import Duration

TINY = 1e-9


class DrainTimeTest(unittest.TestCase):
    def test_it_is_the_stop_time_less_notice_and_exit(self) -> None:
        for grace in (6.0, 10.0):
            limits = LimitsSection(stop_within=Duration(grace), drain_notice=Duration(3.0))
            self.assertEqual(drain_time(limits), grace - 3.0 - PROCESS_EXIT_SECONDS)

    def test_the_shorter_limit_applies(self) -> None:
        limits = LimitsSection(stop_within=Duration(6.0), drain_timeout=Duration(1.0))
        self.assertEqual(drain_time(limits), 1.0)

    def test_without_limits_it_is_infinite(self) -> None:
        self.assertEqual(drain_time(LimitsSection()), math.inf)

    def test_a_notice_that_does_not_fit_is_shortened(self) -> None:
        for stop_within in (1.0, 3.0):
            limits = LimitsSection(stop_within=Duration(stop_within), drain_notice=Duration(3.0))
            minimum = min(WITHDRAW_SECONDS, stop_within - PROCESS_EXIT_SECONDS)
            self.assertGreater(drain_time(limits) + TINY, minimum)
            total = notice_time(limits) + drain_time(limits)
            self.assertLess(total, stop_within - PROCESS_EXIT_SECONDS + TINY)


class Application:
    """Fails to withdraw requests; ends them when told to."""

    def __init__(self) -> None:
        self.stopped = False

    async def withdraw_waiting(self) -> None:
        raise ValueError("a fault of the withdrawal")

    def log_unfinished(self) -> None:
        pass

    def flush_responses(self) -> None:
        pass

    def stop_requests(self) -> None:
        self.stopped = True


class Server:
    def __init__(self, final_response_seconds: float = daemon.FINAL_RESPONSE_SECONDS) -> None:
        self.application = Application()
        self.final_response_seconds = final_response_seconds

    def log_unsent(self) -> None:
        pass

    async def drain(self) -> None:
        while not self.application.stopped:
            await asyncio.sleep(0.01)


class SlowApplication(Application):
    """Responds some iterations of the event loop after it was told to; the loop is busy."""

    ITERATIONS = 20

    def __init__(self) -> None:
        super().__init__()
        self.has_responded = False
        self._response_task: asyncio.Task[None]

    def stop_requests(self) -> None:
        self._response_task = asyncio.create_task(self._respond())
        asyncio.get_running_loop().call_soon(time.sleep, 1.2 * daemon.FINAL_RESPONSE_SECONDS)

    async def _respond(self) -> None:
        for _ in range(self.ITERATIONS):
            await asyncio.sleep(0)
        self.has_responded = True


class FinishTest(unittest.IsolatedAsyncioTestCase):
    async def test_final_responses_are_sent_even_if_the_loop_was_held_up(self) -> None:
        """Guards against connections that end without a response at the end of a shutdown.

        The time for final responses used to pass in one long iteration of the event loop, in which
        none of the requests that had been told to end could do so.
        """
        server: Any = Server()
        server.application = SlowApplication()
        await daemon._finish_requests((server,), daemon.WITHDRAW_SECONDS)
        self.assertTrue(server.application.has_responded)

    async def test_requests_of_other_nodes_are_ended_last(self) -> None:
        """Guards against 502 for an execution in progress before the end of the shutdown.

        The time that callers need to read a final response and to close their connections used to
        be left to other nodes as well, which need none.
        """
        seconds_left: dict[str, float] = {}

        class RecordingApplication(Application):
            def __init__(self, name: str) -> None:
                super().__init__()
                self.name = name

            async def withdraw_waiting(self) -> None:
                pass

            def stop_requests(self) -> None:
                seconds_left.setdefault(self.name, ends_at - time.monotonic())
                super().stop_requests()

        servers: Any = (Server(), Server(daemon.GATEWAY_FINAL_RESPONSE_SECONDS))
        for server, name in zip(servers, ("proxy", "gateway"), strict=True):
            server.application = RecordingApplication(name)
        ends_at = time.monotonic() + daemon.WITHDRAW_SECONDS
        await daemon._finish_requests(servers, daemon.WITHDRAW_SECONDS)
        self.assertLessEqual(seconds_left["proxy"], daemon.FINAL_RESPONSE_SECONDS)
        self.assertLessEqual(seconds_left["gateway"], daemon.GATEWAY_FINAL_RESPONSE_SECONDS)
        self.assertLess(seconds_left["gateway"], seconds_left["proxy"])

    async def test_requests_that_miss_their_time_are_still_ended(self) -> None:
        server: Any = Server(daemon.GATEWAY_FINAL_RESPONSE_SECONDS)
        delay = daemon.WITHDRAW_SECONDS - daemon.FINAL_RESPONSE_SECONDS + 0.1
        asyncio.get_running_loop().call_later(delay, time.sleep, 2 * daemon.FINAL_RESPONSE_SECONDS)
        with self.assertLogs(LOGGER_NAME, "ERROR"):
            await daemon._finish_requests((server,), daemon.WITHDRAW_SECONDS)
        self.assertTrue(server.application.stopped)

    async def test_a_failed_withdrawal_does_not_prevent_final_responses(self) -> None:
        server: Any = Server()
        with self.assertLogs(LOGGER_NAME, "ERROR") as logs:
            await daemon._finish_requests((server,), daemon.WITHDRAW_SECONDS)
        self.assertTrue(server.application.stopped)
        self.assertIn("cannot withdraw waiting requests", logs.output[0])
