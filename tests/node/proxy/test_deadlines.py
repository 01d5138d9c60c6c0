"""One timer for many deadlines: each expires in time, cancelled ones never do."""

import asyncio
import unittest
from random import Random

from pewtertack.node.proxy.deadlines import (
    MIN_CANCELLED_TO_COMPACT,
    Deadline,
    Deadlines,
    loop_deadlines,
)


class DeadlinesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.deadlines = Deadlines(self.loop)
        self.expired: list[tuple[int, float]] = []

    def add(self, number: int, seconds: float) -> Deadline:
        due = self.loop.time() + seconds

        def callback() -> None:
            self.expired.append((number, self.loop.time() - due))

        return self.deadlines.add(seconds, callback)

    async def test_each_expires_in_time_whatever_the_order(self) -> None:
        seconds = [0.06, 0.02, 0.04, -1.0, 0.02]
        for number, item in enumerate(seconds):
            self.add(number, item)
        await asyncio.sleep(0.1)
        self.assertEqual([number for number, _ in self.expired], [3, 1, 4, 2, 0])
        for number, delay in self.expired[1:]:
            self.assertGreater(delay, -0.001, number)
            self.assertLess(delay, 0.03, number)

    async def test_cancelled_deadlines_never_expire_and_others_do(self) -> None:
        first, _, third = self.add(0, 0.01), self.add(1, 0.02), self.add(2, 0.03)
        self.deadlines.cancel(first)
        self.deadlines.cancel(third)
        self.deadlines.cancel(third)
        await asyncio.sleep(0.06)
        self.assertEqual([number for number, _ in self.expired], [1])

    async def test_cancelled_by_the_callback_of_another(self) -> None:
        added: list[Deadline] = []

        def cancel_second() -> None:
            self.deadlines.cancel(added[0])

        self.deadlines.add(0.01, cancel_second)
        added.append(self.add(1, 0.01))
        await asyncio.sleep(0.04)
        self.assertEqual(self.expired, [])

    async def test_added_by_the_callback_of_another(self) -> None:
        def add_another() -> None:
            self.add(1, 0.01)

        self.deadlines.add(0.01, add_another)
        await asyncio.sleep(0.05)
        self.assertEqual([number for number, _ in self.expired], [1])

    async def test_cancelled_deadlines_are_removed_from_the_heap(self) -> None:
        random = Random(1)
        kept = [self.add(number, 0.05) for number in range(3)]
        for _ in range(20 * MIN_CANCELLED_TO_COMPACT):
            self.deadlines.cancel(self.add(9, random.uniform(10.0, 3600.0)))
        self.assertLessEqual(len(self.deadlines._heap), 2 * MIN_CANCELLED_TO_COMPACT + len(kept))
        await asyncio.sleep(0.1)
        self.assertEqual([number for number, _ in self.expired], [0, 1, 2])

    async def test_each_loop_has_its_own_deadlines(self) -> None:
        found = loop_deadlines()
        self.assertIs(found, loop_deadlines())
        self.assertIs(found.loop, self.loop)
