"""The results that callers derive from responses of stand-in back ends and of faulty servers."""

import contextlib
import unittest
from collections.abc import AsyncIterator

import anyio

from pewtertack.lab.asgi import Application, Receive, Scope, Send, send_head
from pewtertack.lab.backend.application import BackendApplication
from pewtertack.lab.backend.state import BackendFaults, BackendState, Capacity
from pewtertack.lab.demo import NEW_CALL
from pewtertack.lab.load.caller import Caller, Target
from pewtertack.lab.load.generator import LoadGenerator
from pewtertack.lab.records import CallOutcome, CallResult, Record
from pewtertack.lab.serving import Listener
from pewtertack.settings import Address


@contextlib.asynccontextmanager
async def caller_of(application: Application) -> AsyncIterator[Caller]:
    listener = Listener(application, Address("127.0.0.1", 0))
    async with anyio.create_task_group() as task_group:
        await listener.open(task_group)
        caller = Caller(Target("n1", listener.address))
        yield caller
        await caller.close()
        listener.close()


async def swapped_response(scope: Scope, receive: Receive, send: Send) -> None:
    await send_head(send, 200, {"x-request-id": "other", "x-checksum": "none"})
    await send({"type": "http.response.body", "body": b"?"})


class CallerTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.records: list[Record] = []
        self.state = BackendState(Capacity(), 0.0)
        self.backend = BackendApplication("b1", self.state, self.records.append)

    async def call(self, application: Application) -> CallResult:
        async with caller_of(application) as caller:
            return await caller.call(NEW_CALL, "r1")

    async def test_a_complete_response_is_answered(self) -> None:
        result = await self.call(self.backend)
        self.assertEqual((result.outcome, result.status), (CallOutcome.ANSWERED, 200))
        self.assertTrue(result.checksum_ok and result.own_answer)

    async def test_a_shed_request_is_not_run(self) -> None:
        self.state.set_faults(BackendFaults(shedding_share=1.0), 0.0)
        result = await self.call(self.backend)
        self.assertEqual((result.outcome, result.retry_after), (CallOutcome.NOT_RUN, 1.0))

    async def test_a_truncated_response_is_cut(self) -> None:
        self.state.set_faults(BackendFaults(die_mid_answer_share=1.0), 0.0)
        self.assertIs((await self.call(self.backend)).outcome, CallOutcome.CUT)

    async def test_a_response_to_another_request_is_detected(self) -> None:
        result = await self.call(swapped_response)
        self.assertFalse(result.checksum_ok or result.own_answer)

    async def test_a_refused_connection_is_not_connected(self) -> None:
        caller = Caller(Target("n1", Address("127.0.0.1", 1)))
        result = await caller.call(NEW_CALL, "r1")
        self.assertIs(result.outcome, CallOutcome.NOT_CONNECTED)

    async def test_the_load_waits_for_the_requests_it_started(self) -> None:
        results: list[CallResult] = []
        listener = Listener(self.backend, Address("127.0.0.1", 0))
        async with anyio.create_task_group() as task_group:
            await listener.open(task_group)
            target = Target("n1", listener.address)
            load = LoadGenerator([target], [NEW_CALL], 200.0, 1, "x", results.append)
            await load.run(seconds=0.2)
            listener.close()
        self.assertGreater(len(results), 0)
        self.assertEqual({line.outcome for line in results}, {CallOutcome.ANSWERED})
