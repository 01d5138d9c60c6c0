"""The bounds of a request's work: what cuts it short, and what its task is like afterwards."""

import asyncio
import time
import unittest
from collections.abc import Callable

import anyio

from pewtertack.node.http.cycle import CALLER_EXTENSION
from pewtertack.node.proxy.lifetime import LifetimeEnd, RequestLifetime

LONG = 60.0


class LeavingCaller:
    """A caller that may leave."""

    def __init__(self) -> None:
        self.gone = False
        self.on_caller_gone: Callable[[], None] | None = None

    def drop_body(self) -> None:
        """There is none."""

    def leave(self) -> None:
        self.gone = True
        if self.on_caller_gone is not None:
            self.on_caller_gone()


class RequestLifeTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.caller = LeavingCaller()
        self.cancelled = 0

    def life(self, seconds: float = LONG) -> RequestLifetime:
        scope = {"extensions": {CALLER_EXTENSION: self.caller}}
        return RequestLifetime(scope, time.monotonic() + seconds, time.monotonic)

    async def wait(self) -> None:
        try:
            await asyncio.sleep(LONG)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise

    async def assert_untouched(self) -> None:
        """The task that did the work goes on as if nothing had been."""
        task = asyncio.current_task()
        assert task is not None
        self.assertEqual(task.cancelling(), 0)
        self.assertIsNone(self.caller.on_caller_gone)
        await asyncio.sleep(0.01)
        with anyio.move_on_after(0.01) as scope:
            await asyncio.sleep(LONG)
        self.assertTrue(scope.cancelled_caught)

    async def test_work_that_ends_by_itself(self) -> None:
        async def work() -> None:
            await asyncio.sleep(0)

        self.assertIs(await self.life().run(work), LifetimeEnd.FINISHED)
        await self.assert_untouched()

    async def test_the_deadline(self) -> None:
        self.assertIs(await self.life(0.02).run(self.wait), LifetimeEnd.DEADLINE)
        self.assertEqual(self.cancelled, 1)
        await self.assert_untouched()

    async def test_a_deadline_that_has_passed(self) -> None:
        self.assertIs(await self.life(-1.0).run(self.wait), LifetimeEnd.DEADLINE)
        await self.assert_untouched()

    async def test_the_caller_leaves(self) -> None:
        self.loop.call_later(0.01, self.caller.leave)
        life = self.life()
        self.assertIs(await life.run(self.wait), LifetimeEnd.CALLER_GONE)
        self.assertTrue(life.caller_gone)
        await self.assert_untouched()

    async def test_the_caller_has_left_before(self) -> None:
        self.caller.gone = True
        self.assertIs(await self.life().run(self.wait), LifetimeEnd.CALLER_GONE)
        await self.assert_untouched()

    async def test_work_that_waits_for_nothing_ends_though_the_caller_has_left(self) -> None:
        self.caller.gone = True

        async def work() -> None:
            """Wait for nothing."""

        self.assertIs(await self.life().run(work), LifetimeEnd.FINISHED)
        await self.assert_untouched()

    async def test_it_is_stopped_once_though_told_again_and_again(self) -> None:
        life = self.life()
        for _ in range(3):
            self.loop.call_later(0.01, life.stop)
        self.assertIs(await life.run(self.wait), LifetimeEnd.STOPPED)
        self.assertEqual(self.cancelled, 1)
        life.stop()
        await self.assert_untouched()

    async def test_stopped_before_it_began(self) -> None:
        life = self.life()
        life.stop()
        self.assertIs(await life.run(self.wait), LifetimeEnd.STOPPED)
        await self.assert_untouched()

    async def test_cut_short_within_a_scope_of_its_own(self) -> None:
        async def work() -> None:
            with anyio.move_on_after(LONG):
                await self.wait()

        self.assertIs(await self.life(0.02).run(work), LifetimeEnd.DEADLINE)
        await self.assert_untouched()

    async def test_both_times_are_over_at_once(self) -> None:
        async def work() -> None:
            with anyio.move_on_after(0.02):
                await self.wait()
            await self.wait()

        self.assertIs(await self.life(0.02).run(work), LifetimeEnd.DEADLINE)
        await self.assert_untouched()

    async def test_what_it_raises_when_cut_short_passes_through(self) -> None:
        async def work() -> None:
            try:
                await self.wait()
            except asyncio.CancelledError:
                raise ValueError("of its own") from None

        with self.assertRaises(ValueError):
            await self.life(0.01).run(work)
        await self.assert_untouched()

    async def test_the_end_of_its_task_passes_through(self) -> None:
        life = self.life()
        task = asyncio.ensure_future(life.run(self.wait))
        await asyncio.sleep(0.01)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        self.assertTrue(task.cancelled())

    async def test_the_end_of_its_task_goes_before_its_own(self) -> None:
        life = self.life()
        task = asyncio.ensure_future(life.run(self.wait))
        await asyncio.sleep(0.01)
        life.stop()
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
