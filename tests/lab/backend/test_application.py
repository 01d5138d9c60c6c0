"""Responses, capacity, faults and execution log of the simulated back end."""

import unittest

import anyio

from pewtertack.lab.backend.application import BackendApplication, BrokenAnswerError
from pewtertack.lab.backend.response_body import checksum, expected_body
from pewtertack.lab.backend.state import BackendFaults, BackendState, Capacity, HealthReport
from pewtertack.lab.records import ExecutionEnd, ExecutionResult, ExecutionStart, Record
from tests.lab.asgi_client import Reply, call


class BackendApplicationTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.records: list[Record] = []
        self.state = BackendState(Capacity(slots=1, queue=1, work_time=0.0), 0.0)
        self.backend = BackendApplication("b1", self.state, self.records.append)

    async def call_backend(
        self, request_id: str, hang_up: anyio.Event | None = None, **headers: str
    ) -> Reply:
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        named["x-request-id"] = request_id
        return await call(self.backend, "GET", "/x", headers=named, hang_up=hang_up)

    def execution_results(self) -> dict[str, ExecutionResult]:
        ends = [record for record in self.records if isinstance(record, ExecutionEnd)]
        return {end.request_id: end.result for end in ends}

    async def wait_for_start(self, request_id: str) -> None:
        while not any(
            isinstance(record, ExecutionStart) and record.request_id == request_id
            for record in self.records
        ):
            await anyio.sleep(0)

    async def test_response_matches_request(self) -> None:
        reply = await self.call_backend("r1", x_answer_bytes="100000")
        self.assertEqual(reply.body, expected_body("r1", 100000))
        self.assertEqual(reply.headers["x-checksum"], checksum(reply.body))
        self.assertEqual(reply.headers["x-request-id"], "r1")
        self.assertEqual(self.execution_results(), {"r1": ExecutionResult.FINISHED})

    async def test_request_beyond_slots_and_queue_is_shed_without_being_run(self) -> None:
        hang_up = anyio.Event()
        async with anyio.create_task_group() as callers:
            callers.start_soon(lambda: self.call_backend("r1", hang_up, x_work_ms="60000"))
            await self.wait_for_start("r1")
            callers.start_soon(self.call_backend, "r2")
            while self.state.admitted < 2:
                await anyio.sleep(0)
            shed = await self.call_backend("r3")
            hang_up.set()
        self.assertEqual((shed.status, shed.headers["x-outcome"]), (503, "not-run"))
        self.assertEqual(shed.headers["x-backend-load"], "1/1")
        self.assertEqual(
            self.execution_results(),
            {"r1": ExecutionResult.CANCELLED, "r2": ExecutionResult.FINISHED},
        )

    async def test_work_stops_at_deadline(self) -> None:
        reply = await self.call_backend("r1", x_work_ms="60000", x_deadline_ms="1")
        self.assertEqual(reply.status, 504)
        self.assertEqual(self.execution_results(), {"r1": ExecutionResult.DEADLINE})

    async def test_leaving_is_reported_in_responses_and_late_by_health_endpoint(self) -> None:
        faults = BackendFaults(leaving=True, health_lag=5.0)
        self.state.set_faults(faults, 10.0)
        self.assertEqual((await self.call_backend("r1")).headers["x-backend-state"], "leaving")
        self.assertTrue(self.state.is_reported_healthy(14.0))
        self.assertFalse(self.state.is_reported_healthy(15.0))
        self.state.set_faults(BackendFaults(health=HealthReport.ALWAYS_FAILED), 20.0)
        self.assertFalse(self.state.is_reported_healthy(30.0))

    async def test_work_takes_longer_while_cold(self) -> None:
        state = BackendState(Capacity(cold_period=10.0, cold_slowdown=3.0), started=100.0)
        self.assertAlmostEqual(state.work_time(0.2, 105.0), 0.6)
        self.assertAlmostEqual(state.work_time(0.2, 111.0), 0.2)

    async def test_reported_load_can_be_overridden(self) -> None:
        self.state.set_faults(BackendFaults(reported_load="0/6"), 0.0)
        self.assertEqual((await self.call_backend("r1")).headers["x-backend-load"], "0/6")

    async def test_crossed_responses_are_swapped(self) -> None:
        state = BackendState(Capacity(slots=2), 0.0)
        self.backend = BackendApplication("b1", state, self.records.append)
        state.set_faults(BackendFaults(crossed=True), 0.0)
        replies: dict[str, Reply] = {}

        async def store_reply(request_id: str) -> None:
            replies[request_id] = await self.call_backend(request_id)

        async with anyio.create_task_group() as callers:
            callers.start_soon(store_reply, "r1")
            callers.start_soon(store_reply, "r2")
        self.assertEqual(replies["r1"].headers["x-request-id"], "r2")
        self.assertEqual(replies["r2"].headers["x-request-id"], "r1")

    async def test_response_is_aborted_midway(self) -> None:
        self.state.set_faults(BackendFaults(die_mid_answer_share=1.0), 0.0)
        with self.assertRaises(BrokenAnswerError):
            await self.call_backend("r1")
        self.assertEqual(self.execution_results(), {"r1": ExecutionResult.DIED})
