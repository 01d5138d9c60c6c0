"""Tests of the event loop in virtual time."""

import time
import unittest

import anyio

from pewtertack.lab.simulation.virtual_loop import LoopTimer, NothingDueError, run_in_virtual_time


async def _sleep_concurrently(log: list[tuple[str, float]]) -> None:
    timer = LoopTimer()

    async def sleep(name: str, seconds: float) -> None:
        await anyio.sleep(seconds)
        log.append((name, timer.now))

    timer.at(300.0, lambda: log.append(("at", timer.now)))
    timer.after(50.0, lambda: log.append(("after", timer.now)))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(sleep, "long", 1000.0)
        tasks.start_soon(sleep, "short", 100.0)


async def _wait_without_timer() -> None:
    await anyio.Event().wait()


async def _exceed_timeout() -> bool:
    with anyio.move_on_after(500.0) as scope:
        await anyio.sleep(501.0)
    return scope.cancelled_caught


class VirtualTimeLoopTest(unittest.TestCase):
    def test_timers_run_in_order_without_real_waiting(self) -> None:
        log: list[tuple[str, float]] = []
        began = time.monotonic()
        run_in_virtual_time(_sleep_concurrently, log)
        self.assertLess(time.monotonic() - began, 10.0)
        self.assertEqual([name for name, _ in log], ["after", "short", "at", "long"])
        for (_, moment), expected in zip(log, (50.0, 100.0, 300.0, 1000.0), strict=True):
            self.assertAlmostEqual(moment, expected, places=3)

    def test_timeouts_use_virtual_time(self) -> None:
        self.assertTrue(run_in_virtual_time(_exceed_timeout))

    def test_waiting_without_a_timer_is_a_typed_error(self) -> None:
        with self.assertRaises(NothingDueError):
            run_in_virtual_time(_wait_without_timer)
