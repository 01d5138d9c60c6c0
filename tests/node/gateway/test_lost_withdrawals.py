"""Requests that wait at a gateway for a stopping node whose withdrawal is lost.

Guards against 502 at the end of the shutdown for requests that had not started. The gateway had
been notified of the shutdown. But the withdrawal, sent 0.5 s before its end, met a full link or
arrived before the request that it named, and was abandoned after 0.3 s. The gateway knew when the
node would stop, and still kept such requests until it was told a second time.
"""

import asyncio

from tests.node.gateway.test_changes_during_body import ChangesDuringBodyTestCase
from tests.node.gateway.test_stop import TIMEOUT_SECONDS, StopTestCase

STOP_SECONDS = 1.0


class LostWithdrawalTest(StopTestCase):
    async def test_a_waiting_request_is_refused_before_the_reported_stop(self) -> None:
        await self.begin()
        self.proxy.start_leaving(STOP_SECONDS)
        await self.proxy.announce_stop()
        answer = await asyncio.wait_for(self.waiting, STOP_SECONDS)
        self.assert_refused(answer, 503, "not-run")
        self.assertFalse(self.running.done())
        self.held.resume.set()
        self.assertEqual((await self.answer_of(self.running)).status, 200)

    async def test_a_request_that_arrives_later_is_refused_before_the_reported_stop(self) -> None:
        await self.begin()
        self.proxy.start_leaving(STOP_SECONDS)
        late = await self.call("late-1")
        self.assert_refused(await asyncio.wait_for(late, STOP_SECONDS), 503, "not-run")
        self.assertFalse(self.waiting.done())  # the gateway was not notified about it


class LostWithdrawalOfUploadTest(ChangesDuringBodyTestCase):
    async def test_an_upload_whose_body_is_being_received_is_refused_before_the_reported_stop(
        self,
    ) -> None:
        task = await self.begin()
        self.proxy.start_leaving(STOP_SECONDS)
        await self.proxy.announce_stop()
        answer = await asyncio.wait_for(task, min(TIMEOUT_SECONDS, STOP_SECONDS))
        self.assert_refused(answer, 503, "not-run")
        await self.release_body()
        self.assertEqual(self.heads, [])
