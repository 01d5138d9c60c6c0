"""Turns to receive long bodies: few at a time, requests with a slot first."""

import asyncio
import unittest

from pewtertack.node.gateway.reception import MAX_CONCURRENT_BODIES, MAX_EARLY_BODIES, BodyReception
from pewtertack.routing.admission_ticket import AdmissionTicket


def ticket(place: int, granted: bool = False) -> AdmissionTicket:
    made = AdmissionTicket("upload", (0, 0), 1.0, 5.0)
    made.sort_key = (0, 0, float(place), place)
    made.granted = granted
    return made


class ReceptionTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.reception = BodyReception()
        self.begun: list[int] = []
        self.ends: dict[int, asyncio.Event] = {}
        self.tasks: dict[int, asyncio.Task[None]] = {}

    async def begin(self, *tickets: AdmissionTicket) -> None:
        for item in tickets:
            self.tasks[item.sort_key[3]] = asyncio.create_task(self.receive(item))
        await self.settle()

    async def receive(self, item: AdmissionTicket) -> None:
        place = item.sort_key[3]
        self.ends[place] = asyncio.Event()

        async def read() -> None:
            self.begun.append(place)
            await self.ends[place].wait()

        await self.reception.receive(item, read)

    async def settle(self) -> None:
        for _ in range(5):
            await asyncio.sleep(0)

    async def end(self, place: int) -> None:
        self.ends[place].set()
        await self.settle()

    async def asyncTearDown(self) -> None:
        for task in self.tasks.values():
            task.cancel()
        await asyncio.gather(*self.tasks.values(), return_exceptions=True)

    async def test_so_many_come_at_once_and_the_queue_s_next_follows(self) -> None:
        await self.begin(*(ticket(place) for place in (3, 1, 2)))
        self.assertEqual(self.begun, [3, 1][:MAX_CONCURRENT_BODIES])
        await self.end(3)
        self.assertEqual(self.begun, [3, 1, 2])

    async def test_a_request_with_a_slot_goes_first(self) -> None:
        await self.begin(*(ticket(place) for place in range(MAX_CONCURRENT_BODIES + 2)))
        await self.begin(ticket(9, granted=True))
        await self.end(0)
        self.assertEqual(self.begun[-1], 9)

    async def test_only_so_many_are_held_before_their_slots(self) -> None:
        tickets = [ticket(place) for place in range(MAX_EARLY_BODIES + 2)]
        await self.begin(*tickets)
        for place in range(MAX_EARLY_BODIES):
            await self.end(place)
        self.assertEqual(len(self.begun), MAX_EARLY_BODIES)
        tickets[0].granted = True
        self.reception.start_waiters()
        await self.settle()
        self.assertEqual(len(self.begun), MAX_EARLY_BODIES + 1)
        self.reception.release(tickets[1])
        await self.settle()
        self.assertEqual(len(self.begun), MAX_EARLY_BODIES + 2)

    async def test_one_that_is_cancelled_leaves_its_place_and_its_turn(self) -> None:
        await self.begin(*(ticket(place) for place in range(MAX_CONCURRENT_BODIES + 2)))
        self.tasks[MAX_CONCURRENT_BODIES].cancel()  # waits
        self.tasks[0].cancel()  # receives
        await self.settle()
        self.assertEqual(self.begun, [*range(MAX_CONCURRENT_BODIES), MAX_CONCURRENT_BODIES + 1])
