"""What waits at a gateway for a node that stops, when the withdrawal does not get there.

What callers saw: 502 at the end of the stop for requests that nobody had begun with. Order of
events: the gateway was told of the stop; the withdrawal, 0.5 s before the end, found the link to
the gateway full, or came before the request that it named, and was given up after 0.3 s. Cause:
the gateway knew the end, and kept what had not begun by it until it was told once more.
"""

import asyncio

from tests.node.gateway.test_bodies_under_way import BodiesUnderWayTestCase
from tests.node.gateway.test_stop import FEW_SECONDS, StopTestCase

STOP_SECONDS = 1.0


class LostWithdrawalTest(StopTestCase):
    async def test_what_waits_is_refused_before_the_end_that_the_gateway_knows(self) -> None:
        await self.begin()
        self.proxy.start_leaving(STOP_SECONDS)
        await self.proxy.announce_stop()
        answer = await asyncio.wait_for(self.waiting, STOP_SECONDS)
        self.assert_refused(answer, 503, "not-run")
        self.assertFalse(self.running.done())
        self.held.go_on.set()
        self.assertEqual((await self.answer_of(self.running)).status, 200)

    async def test_so_is_what_comes_to_wait_later(self) -> None:
        await self.begin()
        self.proxy.start_leaving(STOP_SECONDS)
        late = await self.call("late-1")
        self.assert_refused(await asyncio.wait_for(late, STOP_SECONDS), 503, "not-run")
        self.assertFalse(self.waiting.done())  # the gateway was not told of it


class LostWithdrawalOfABodyTest(BodiesUnderWayTestCase):
    async def test_so_is_an_upload_whose_body_still_comes(self) -> None:
        task = await self.begin()
        self.proxy.start_leaving(STOP_SECONDS)
        await self.proxy.announce_stop()
        answer = await asyncio.wait_for(task, min(FEW_SECONDS, STOP_SECONDS))
        self.assert_refused(answer, 503, "not-run")
        await self.let_body_come()
        self.assertEqual(self.heads, [])
