"""How long a stopping node gives the requests that it holds."""

import asyncio
import math
import time
import unittest
from typing import Any

from pewtertack.node import daemon
from pewtertack.node.daemon import PROCESS_EXIT_SECONDS, WITHDRAW_SECONDS, drain_time, notice_time
from pewtertack.settings.schema import LimitsSection
from pewtertack.settings.values import Duration

TINY = 1e-9


class DrainTimeTest(unittest.TestCase):
    def test_it_is_what_notice_and_exit_leave_of_the_time_to_stop(self) -> None:
        for grace in (6.0, 10.0):
            limits = LimitsSection(stop_within=Duration(grace), drain_notice=Duration(3.0))
            self.assertEqual(drain_time(limits), grace - 3.0 - PROCESS_EXIT_SECONDS)

    def test_the_shorter_of_both_limits_holds(self) -> None:
        limits = LimitsSection(stop_within=Duration(6.0), drain_timeout=Duration(1.0))
        self.assertEqual(drain_time(limits), 1.0)

    def test_without_limits_there_is_no_end(self) -> None:
        self.assertEqual(drain_time(LimitsSection()), math.inf)

    def test_a_notice_that_does_not_fit_is_cut_short(self) -> None:
        for within in (1.0, 3.0):
            limits = LimitsSection(stop_within=Duration(within), drain_notice=Duration(3.0))
            least = min(WITHDRAW_SECONDS, within - PROCESS_EXIT_SECONDS)
            self.assertGreater(drain_time(limits) + TINY, least)
            whole = notice_time(limits) + drain_time(limits)
            self.assertLess(whole, within - PROCESS_EXIT_SECONDS + TINY)


class Application:
    """Cannot withdraw; ends its requests when told to."""

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


class SlowToAnswer(Application):
    """Has an answer to give, some turns of the loop after it was told to; the loop is busy."""

    TURNS = 20

    def __init__(self) -> None:
        super().__init__()
        self.answered = False
        self._answering: asyncio.Task[None]

    def stop_requests(self) -> None:
        self._answering = asyncio.create_task(self._answer())
        asyncio.get_running_loop().call_soon(time.sleep, 1.2 * daemon.FINAL_RESPONSE_SECONDS)

    async def _answer(self) -> None:
        for _ in range(self.TURNS):
            await asyncio.sleep(0)
        self.answered = True


class FinishTest(unittest.IsolatedAsyncioTestCase):
    async def test_last_answers_are_given_though_the_loop_was_held_up_for_their_time(self) -> None:
        """What callers saw: the connection's end without an answer, at the end of a stop.

        Cause: the time for last answers passed in one long turn of the loop, in which none of
        the requests that had been told to end could do so.
        """
        server: Any = Server()
        server.application = SlowToAnswer()
        await daemon._finish_requests((server,), daemon.WITHDRAW_SECONDS)
        self.assertTrue(server.application.answered)

    async def test_what_runs_for_other_nodes_is_ended_at_the_last_moment(self) -> None:
        """What callers saw: 502 for a run whose back end was at work, before the stop's end.

        Cause: the time that callers have to take a last answer and to end their connections was
        left to other nodes as well, which need none.
        """
        ended: dict[str, float] = {}

        class Noting(Application):
            def __init__(self, name: str) -> None:
                super().__init__()
                self.name = name

            async def withdraw_waiting(self) -> None:
                pass

            def stop_requests(self) -> None:
                ended.setdefault(self.name, end - time.monotonic())
                super().stop_requests()

        servers: Any = (Server(), Server(daemon.GATEWAY_FINAL_RESPONSE_SECONDS))
        for server, name in zip(servers, ("proxy", "gateway"), strict=True):
            server.application = Noting(name)
        end = time.monotonic() + daemon.WITHDRAW_SECONDS
        await daemon._finish_requests(servers, daemon.WITHDRAW_SECONDS)
        self.assertLessEqual(ended["proxy"], daemon.FINAL_RESPONSE_SECONDS)
        self.assertLessEqual(ended["gateway"], daemon.GATEWAY_FINAL_RESPONSE_SECONDS)
        self.assertLess(ended["gateway"], ended["proxy"])

    async def test_what_was_not_ended_in_time_is_ended_all_the_same(self) -> None:
        server: Any = Server(daemon.GATEWAY_FINAL_RESPONSE_SECONDS)
        held_up = daemon.WITHDRAW_SECONDS - daemon.FINAL_RESPONSE_SECONDS + 0.1
        asyncio.get_running_loop().call_later(
            held_up, time.sleep, 2 * daemon.FINAL_RESPONSE_SECONDS
        )
        with self.assertLogs(daemon.LOGGER_NAME, "ERROR"):
            await daemon._finish_requests((server,), daemon.WITHDRAW_SECONDS)
        self.assertTrue(server.application.stopped)

    async def test_a_withdrawal_that_fails_leaves_the_last_answers_alone(self) -> None:
        server: Any = Server()
        with self.assertLogs(daemon.LOGGER_NAME, "ERROR") as logs:
            await daemon._finish_requests((server,), daemon.WITHDRAW_SECONDS)
        self.assertTrue(server.application.stopped)
        self.assertIn("cannot withdraw waiting requests", logs.output[0])
