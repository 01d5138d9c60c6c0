"""Connections to gateways are opened few at once, for whoever waits."""

import asyncio
import time
import unittest
from typing import Any

from pewtertack.node.proxy.opening import (
    FIRST_AT_ONCE,
    LOOP_LATE_SECONDS,
    ConnectionOpener,
)
from pewtertack.routing.outcomes import BackendUnreachableError, ConnectionLateError

ADDRESS = "10.0.0.1:1"
TIMEOUT = 0.1


class FakeConnection:
    """A connection as far as an opener needs one."""

    def __init__(self) -> None:
        self.address = ADDRESS
        self.reusable = True
        self.aborted = False

    def abort(self) -> None:
        self.aborted = True


class OpenerTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.kept: list[Any] = []
        self.openings: list[asyncio.Future[Any]] = []
        self.opener = ConnectionOpener(self.kept.append, self.connect)

    async def connect(self, address: str, timeout: float) -> Any:
        opening: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self.openings.append(opening)
        async with asyncio.timeout(timeout):
            return await opening

    async def waiting(self, count: int) -> list[asyncio.Task[Any]]:
        tasks = [
            asyncio.create_task(self.opener.wait(ADDRESS, TIMEOUT))  # type: ignore[arg-type]
            for _ in range(count)
        ]
        await asyncio.sleep(0.01)
        return tasks

    async def test_few_are_opened_at_once(self) -> None:
        tasks = await self.waiting(3 * FIRST_AT_ONCE)
        self.assertEqual(len(self.openings), FIRST_AT_ONCE)
        for opening in self.openings:
            opening.set_result(FakeConnection())
        await asyncio.sleep(0.01)
        self.assertEqual(sum(task.done() for task in tasks), FIRST_AT_ONCE)
        await asyncio.gather(*tasks, return_exceptions=True)

    async def test_one_that_another_request_leaves_serves_who_has_waited_longest(self) -> None:
        first, second = await self.waiting(2)
        left: Any = FakeConnection()
        self.assertTrue(self.opener.hand_over(left))
        self.assertIs(await first, left)
        self.assertFalse(second.done())
        with self.assertRaises(ConnectionLateError):
            await second
        self.assertFalse(self.opener.hand_over(left))

    async def test_one_that_comes_up_late_is_kept_for_the_next(self) -> None:
        [task] = await self.waiting(1)
        with self.assertRaises(ConnectionLateError):
            await task
        late = FakeConnection()
        self.openings[0].set_result(late)
        await asyncio.sleep(0.01)
        self.assertEqual(self.kept, [late])

    async def test_late_ones_halve_how_many_are_opened_at_once(self) -> None:
        await asyncio.gather(*await self.waiting(FIRST_AT_ONCE), return_exceptions=True)
        late, self.openings = self.openings, []
        tasks = await self.waiting(FIRST_AT_ONCE)
        for opening in late[:2]:
            opening.set_result(FakeConnection())
        await asyncio.gather(*tasks, return_exceptions=True)
        self.assertLess(len(self.openings), FIRST_AT_ONCE)

    async def test_a_closed_port_is_told_to_all_that_wait(self) -> None:
        tasks = await self.waiting(2 * FIRST_AT_ONCE)
        self.openings[0].set_exception(ConnectionRefusedError("refused"))
        failures = await asyncio.gather(*tasks, return_exceptions=True)
        self.assertEqual({type(item) for item in failures}, {BackendUnreachableError})
        self.assertEqual(len({id(item) for item in failures}), len(failures))

    async def test_a_process_that_was_held_up_blames_nobody(self) -> None:
        [task] = await self.waiting(1)
        time.sleep(TIMEOUT + 2 * LOOP_LATE_SECONDS)  # noqa: ASYNC251 - the loop is held up on purpose
        await asyncio.sleep(0.01)
        self.assertFalse(task.done())
        found = FakeConnection()
        self.openings[0].set_result(found)
        self.assertIs(await task, found)

    async def test_a_connection_given_to_a_request_that_has_ended_is_not_lost(self) -> None:
        first, second = await self.waiting(2)
        given: Any = FakeConnection()
        self.opener.hand_over(given)
        first.cancel()
        self.assertIs(await second, given)


if __name__ == "__main__":
    unittest.main()
