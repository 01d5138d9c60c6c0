"""What cancels a request's work early, and the state of its task afterwards."""

import asyncio
import time
import unittest
from collections.abc import Callable

import anyio

from pewtertack.node.http.cycle import CALLER_EXTENSION
from pewtertack.node.proxy.lifetime import LifetimeEnd, RequestLifetime

LONG_SECONDS = 60.0


class DisconnectingCaller:
    """A caller that may disconnect."""

    def __init__(self) -> None:
        self.gone = False
        self.on_caller_gone: Callable[[], None] | None = None

    def drop_body(self) -> None:
        """Do nothing: there is no body."""

    def disconnect(self) -> None:
        self.gone = True
        if self.on_caller_gone is not None:
            self.on_caller_gone()


class RequestLifetimeTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.caller = DisconnectingCaller()
        self.cancelled = 0

    def lifetime(self, seconds: float = LONG_SECONDS) -> RequestLifetime:
        scope = {"extensions": {CALLER_EXTENSION: self.caller}}
        return RequestLifetime(scope, time.monotonic() + seconds, time.monotonic)

    async def wait(self) -> None:
        try:
            await asyncio.sleep(LONG_SECONDS)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise

    async def assert_task_unaffected(self) -> None:
        """Check that the task that did the work can go on as if it had not been cancelled."""
        task = asyncio.current_task()
        assert task is not None
        self.assertEqual(task.cancelling(), 0)
        self.assertIsNone(self.caller.on_caller_gone)
        await asyncio.sleep(0.01)
        with anyio.move_on_after(0.01) as scope:
            await asyncio.sleep(LONG_SECONDS)
        self.assertTrue(scope.cancelled_caught)

    async def test_work_that_ends_by_itself(self) -> None:
        async def work() -> None:
            await asyncio.sleep(0)

        self.assertIs(await self.lifetime().run(work), LifetimeEnd.FINISHED)
        await self.assert_task_unaffected()

    async def test_the_deadline(self) -> None:
        self.assertIs(await self.lifetime(0.02).run(self.wait), LifetimeEnd.DEADLINE)
        self.assertEqual(self.cancelled, 1)
        await self.assert_task_unaffected()

    async def test_a_deadline_that_has_passed(self) -> None:
        self.assertIs(await self.lifetime(-1.0).run(self.wait), LifetimeEnd.DEADLINE)
        await self.assert_task_unaffected()

    async def test_the_caller_disconnects(self) -> None:
        self.loop.call_later(0.01, self.caller.disconnect)
        lifetime = self.lifetime()
        self.assertIs(await lifetime.run(self.wait), LifetimeEnd.CALLER_GONE)
        self.assertTrue(lifetime.caller_gone)
        await self.assert_task_unaffected()

    async def test_the_caller_disconnected_before(self) -> None:
        self.caller.gone = True
        self.assertIs(await self.lifetime().run(self.wait), LifetimeEnd.CALLER_GONE)
        await self.assert_task_unaffected()

    async def test_work_that_awaits_nothing_finishes_though_the_caller_has_disconnected(
        self,
    ) -> None:
        self.caller.gone = True

        async def work() -> None:
            """Await nothing."""

        self.assertIs(await self.lifetime().run(work), LifetimeEnd.FINISHED)
        await self.assert_task_unaffected()

    async def test_repeated_stops_cancel_the_work_once(self) -> None:
        lifetime = self.lifetime()
        for _ in range(3):
            self.loop.call_later(0.01, lifetime.stop)
        self.assertIs(await lifetime.run(self.wait), LifetimeEnd.STOPPED)
        self.assertEqual(self.cancelled, 1)
        lifetime.stop()
        await self.assert_task_unaffected()

    async def test_stopped_before_the_start(self) -> None:
        lifetime = self.lifetime()
        lifetime.stop()
        self.assertIs(await lifetime.run(self.wait), LifetimeEnd.STOPPED)
        await self.assert_task_unaffected()

    async def test_cancelled_within_a_cancel_scope_of_the_work(self) -> None:
        async def work() -> None:
            with anyio.move_on_after(LONG_SECONDS):
                await self.wait()

        self.assertIs(await self.lifetime(0.02).run(work), LifetimeEnd.DEADLINE)
        await self.assert_task_unaffected()

    async def test_the_deadline_and_a_timeout_of_the_work_pass_together(self) -> None:
        async def work() -> None:
            with anyio.move_on_after(0.02):
                await self.wait()
            await self.wait()

        self.assertIs(await self.lifetime(0.02).run(work), LifetimeEnd.DEADLINE)
        await self.assert_task_unaffected()

    async def test_an_exception_raised_on_cancellation_is_propagated(self) -> None:
        async def work() -> None:
            try:
                await self.wait()
            except asyncio.CancelledError:
                raise ValueError("of its own") from None

        with self.assertRaises(ValueError):
            await self.lifetime(0.01).run(work)
        await self.assert_task_unaffected()

    async def test_a_cancellation_of_the_task_is_propagated(self) -> None:
        lifetime = self.lifetime()
        task = asyncio.ensure_future(lifetime.run(self.wait))
        await asyncio.sleep(0.01)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        self.assertTrue(task.cancelled())

    async def test_a_cancellation_of_the_task_takes_precedence_over_a_stop(self) -> None:
        lifetime = self.lifetime()
        task = asyncio.ensure_future(lifetime.run(self.wait))
        await asyncio.sleep(0.01)
        lifetime.stop()
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
