"""Processor time by activity: what is counted where, and that a node logs it if configured."""

import asyncio
import unittest

from pewtertack.node.part_times import LOOP, POLL, START, PartTimes, TimedLoop
from tests.node.processes import UNREACHABLE_ADDRESS, NodeProcess, settings_text


class SteppingClock:
    """A clock that advances by 1 on each call."""

    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        self.now += 1.0
        return self.now


class PartTimesTest(unittest.TestCase):
    def test_nested_calls_are_counted_separately(self) -> None:
        times = PartTimes(0.0, SteppingClock())
        times.end_start()
        times.run("outer", times.run, "inner", int)
        self.assertEqual(times.seconds, {START: 1.0, LOOP: 1.0, "outer": 2.0, "inner": 1.0})
        self.assertEqual(times.counts, {START: 1, "outer": 1, "inner": 1})

    def test_a_failing_call_is_counted_and_its_error_propagates(self) -> None:
        times = PartTimes(0.0, SteppingClock())
        with self.assertRaises(ZeroDivisionError):
            times.run("fails", divmod, 1, 0)
        times.run("next", int)
        self.assertEqual(times.seconds, {START: 2.0, "fails": 1.0, "next": 1.0})


class TimedLoopTest(unittest.TestCase):
    def test_callbacks_are_counted_by_name_and_tasks_by_function(self) -> None:
        times = PartTimes(0.0)

        async def work() -> None:
            loop = asyncio.get_running_loop()
            loop.call_soon(SteppingClock().__call__)
            loop.call_later(0.001, SteppingClock().__call__)
            named = loop.create_task(asyncio.sleep(0), name="somewhere.Named.run")
            await asyncio.sleep(0.01)
            await named

        with asyncio.Runner(loop_factory=lambda: TimedLoop(times)) as runner:
            runner.run(work())
        self.assertEqual(times.counts["SteppingClock.__call__"], 2)
        self.assertGreaterEqual(times.counts["somewhere.Named.run"], 1)
        name = "TimedLoopTest." + self._testMethodName + ".<locals>.work"
        self.assertGreaterEqual(times.counts[name], 2)
        self.assertGreater(times.counts[POLL], 0)


class NodePartsTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_node_with_the_setting_logs_its_parts(self) -> None:
        text = (
            settings_text("n1", "yaba", UNREACHABLE_ADDRESS, UNREACHABLE_ADDRESS)
            + 'log = {parts_every = "100ms"}\n'
        )
        async with NodeProcess(text) as node:
            await node.wait_event("NODE_READY")
            for _ in range(3):
                record = await node.wait_event("NODE_PARTS")
        self.assertGreater(record["seconds"][START], 0.0)
        self.assertEqual(record["counts"][START], 1)
        self.assertGreater(record["counts"]["Runtime.feed Ticked"], 0)
        self.assertEqual(record["counts"]["event NODE_READY"], 1)

    async def test_a_node_without_the_setting_logs_no_parts(self) -> None:
        async with NodeProcess(
            settings_text("n1", "yaba", UNREACHABLE_ADDRESS, UNREACHABLE_ADDRESS)
        ) as node:
            await node.wait_event("NODE_READY")
            await asyncio.sleep(0.3)
        self.assertNotIn("NODE_PARTS", [line["event"] for line in node.lines])
