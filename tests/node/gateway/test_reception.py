"""The order in which long bodies are received: a few at a time, requests with a slot first."""

import asyncio
import unittest

from pewtertack.node.gateway.reception import MAX_CONCURRENT_BODIES, MAX_EARLY_BODIES, BodyReception
from pewtertack.routing.admission_ticket import AdmissionTicket


def make_ticket(position: int, granted: bool = False) -> AdmissionTicket:
    ticket = AdmissionTicket("upload", (0, 0), 1.0, 5.0)
    ticket.sort_key = (0, 0, False, float(position), position)
    ticket.granted = granted
    return ticket


class ReceptionTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.reception = BodyReception()
        self.started: list[int] = []
        self.body_ends: dict[int, asyncio.Event] = {}
        self.tasks: dict[int, asyncio.Task[None]] = {}

    async def begin(self, *tickets: AdmissionTicket) -> None:
        for item in tickets:
            self.tasks[item.sort_key[4]] = asyncio.create_task(self.receive(item))
        await self.run_loop()

    async def receive(self, item: AdmissionTicket) -> None:
        position = item.sort_key[4]
        self.body_ends[position] = asyncio.Event()

        async def read() -> None:
            self.started.append(position)
            await self.body_ends[position].wait()

        await self.reception.receive(item, read)

    async def run_loop(self) -> None:
        for _ in range(5):
            await asyncio.sleep(0)

    async def finish_body(self, position: int) -> None:
        self.body_ends[position].set()
        await self.run_loop()

    async def asyncTearDown(self) -> None:
        for task in self.tasks.values():
            task.cancel()
        await asyncio.gather(*self.tasks.values(), return_exceptions=True)

    async def test_a_limited_number_is_received_at_once_and_the_next_in_the_queue_follows(
        self,
    ) -> None:
        await self.begin(*(make_ticket(position) for position in (3, 1, 2)))
        self.assertEqual(self.started, [3, 1][:MAX_CONCURRENT_BODIES])
        await self.finish_body(3)
        self.assertEqual(self.started, [3, 1, 2])

    async def test_a_request_with_a_slot_is_first(self) -> None:
        await self.begin(*(make_ticket(position) for position in range(MAX_CONCURRENT_BODIES + 2)))
        await self.begin(make_ticket(9, granted=True))
        await self.finish_body(0)
        self.assertEqual(self.started[-1], 9)

    async def test_a_limited_number_is_received_before_their_slots(self) -> None:
        tickets = [make_ticket(position) for position in range(MAX_EARLY_BODIES + 2)]
        await self.begin(*tickets)
        for position in range(MAX_EARLY_BODIES):
            await self.finish_body(position)
        self.assertEqual(len(self.started), MAX_EARLY_BODIES)
        tickets[0].granted = True
        self.reception.start_waiters()
        await self.run_loop()
        self.assertEqual(len(self.started), MAX_EARLY_BODIES + 1)
        self.reception.release(tickets[1])
        await self.run_loop()
        self.assertEqual(len(self.started), MAX_EARLY_BODIES + 2)

    async def test_a_cancelled_reception_leaves_the_queue_or_frees_its_turn(self) -> None:
        await self.begin(*(make_ticket(position) for position in range(MAX_CONCURRENT_BODIES + 2)))
        self.tasks[MAX_CONCURRENT_BODIES].cancel()  # waits
        self.tasks[0].cancel()  # receives
        await self.run_loop()
        self.assertEqual(self.started, [*range(MAX_CONCURRENT_BODIES), MAX_CONCURRENT_BODIES + 1])
