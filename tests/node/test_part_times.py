"""Processor time by part: what is counted where, and that a node logs it where asked for."""

import asyncio
import unittest

from pewtertack.node.part_times import LOOP, POLL, START, PartTimes, TimedLoop
from tests.node.processes import UNREACHABLE_ADDRESS, NodeProcess, settings_text


class Steps:
    """A clock that goes on by 1 whenever it is asked."""

    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        self.now += 1.0
        return self.now


class PartTimesTest(unittest.TestCase):
    def test_what_is_within_counts_apart(self) -> None:
        times = PartTimes(0.0, Steps())
        times.end_start()
        times.run("outer", times.run, "inner", int)
        self.assertEqual(times.seconds, {START: 1.0, LOOP: 1.0, "outer": 2.0, "inner": 1.0})
        self.assertEqual(times.counts, {START: 1, "outer": 1, "inner": 1})

    def test_what_fails_is_counted_and_its_error_goes_on(self) -> None:
        times = PartTimes(0.0, Steps())
        with self.assertRaises(ZeroDivisionError):
            times.run("fails", divmod, 1, 0)
        times.run("next", int)
        self.assertEqual(times.seconds, {START: 2.0, "fails": 1.0, "next": 1.0})


class TimedLoopTest(unittest.TestCase):
    def test_callbacks_count_under_their_names_and_tasks_under_their_function_s(self) -> None:
        times = PartTimes(0.0)

        async def work() -> None:
            loop = asyncio.get_running_loop()
            loop.call_soon(Steps().__call__)
            loop.call_later(0.001, Steps().__call__)
            named = loop.create_task(asyncio.sleep(0), name="somewhere.Named.run")
            await asyncio.sleep(0.01)
            await named

        with asyncio.Runner(loop_factory=lambda: TimedLoop(times)) as runner:
            runner.run(work())
        self.assertEqual(times.counts["Steps.__call__"], 2)
        self.assertGreaterEqual(times.counts["somewhere.Named.run"], 1)
        name = "TimedLoopTest." + self._testMethodName + ".<locals>.work"
        self.assertGreaterEqual(times.counts[name], 2)
        self.assertGreater(times.counts[POLL], 0)


class NodePartsTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_node_that_is_asked_to_logs_its_parts(self) -> None:
        text = (
            settings_text("n1", "yaba", UNREACHABLE_ADDRESS, UNREACHABLE_ADDRESS)
            + 'log = {parts_every = "100ms"}\n'
        )
        async with NodeProcess(text) as node:
            await node.wait_event("NODE_READY")
            for _ in range(3):
                told = await node.wait_event("NODE_PARTS")
        self.assertGreater(told["seconds"][START], 0.0)
        self.assertEqual(told["counts"][START], 1)
        self.assertGreater(told["counts"]["Runtime.feed Ticked"], 0)
        self.assertEqual(told["counts"]["event NODE_READY"], 1)

    async def test_one_that_is_not_logs_none(self) -> None:
        async with NodeProcess(
            settings_text("n1", "yaba", UNREACHABLE_ADDRESS, UNREACHABLE_ADDRESS)
        ) as node:
            await node.wait_event("NODE_READY")
            await asyncio.sleep(0.3)
        self.assertNotIn("NODE_PARTS", [line["event"] for line in node.lines])
