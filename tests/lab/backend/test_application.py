"""The back end stand-in's answers, capacity, faults and execution log."""

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

    async def ask(
        self, request_id: str, hang_up: anyio.Event | None = None, **headers: str
    ) -> Reply:
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        named["x-request-id"] = request_id
        return await call(self.backend, "GET", "/x", headers=named, hang_up=hang_up)

    def results(self) -> dict[str, ExecutionResult]:
        ends = [record for record in self.records if isinstance(record, ExecutionEnd)]
        return {end.request_id: end.result for end in ends}

    async def wait_for_start(self, request_id: str) -> None:
        while not any(
            isinstance(record, ExecutionStart) and record.request_id == request_id
            for record in self.records
        ):
            await anyio.sleep(0)

    async def test_the_answer_belongs_to_the_request(self) -> None:
        reply = await self.ask("r1", x_answer_bytes="100000")
        self.assertEqual(reply.body, expected_body("r1", 100000))
        self.assertEqual(reply.headers["x-checksum"], checksum(reply.body))
        self.assertEqual(reply.headers["x-request-id"], "r1")
        self.assertEqual(self.results(), {"r1": ExecutionResult.FINISHED})

    async def test_beyond_slots_and_queue_a_request_is_shed_and_not_run(self) -> None:
        hang_up = anyio.Event()
        async with anyio.create_task_group() as callers:
            callers.start_soon(lambda: self.ask("r1", hang_up, x_work_ms="60000"))
            await self.wait_for_start("r1")
            callers.start_soon(self.ask, "r2")
            while self.state.admitted < 2:
                await anyio.sleep(0)
            shed = await self.ask("r3")
            hang_up.set()
        self.assertEqual((shed.status, shed.headers["x-outcome"]), (503, "not-run"))
        self.assertEqual(shed.headers["x-backend-load"], "1/1")
        self.assertEqual(
            self.results(), {"r1": ExecutionResult.CANCELLED, "r2": ExecutionResult.FINISHED}
        )

    async def test_work_stops_at_the_deadline(self) -> None:
        reply = await self.ask("r1", x_work_ms="60000", x_deadline_ms="1")
        self.assertEqual(reply.status, 504)
        self.assertEqual(self.results(), {"r1": ExecutionResult.DEADLINE})

    async def test_leaving_shows_in_answers_and_late_in_health(self) -> None:
        faults = BackendFaults(leaving=True, health_lag=5.0)
        self.state.set_faults(faults, 10.0)
        self.assertEqual((await self.ask("r1")).headers["x-backend-state"], "leaving")
        self.assertTrue(self.state.is_reported_well(14.0))
        self.assertFalse(self.state.is_reported_well(15.0))
        self.state.set_faults(BackendFaults(health=HealthReport.ALWAYS_FAILED), 20.0)
        self.assertFalse(self.state.is_reported_well(30.0))

    async def test_it_is_slow_while_cold(self) -> None:
        state = BackendState(Capacity(cold_period=10.0, cold_slowdown=3.0), started=100.0)
        self.assertAlmostEqual(state.work_time(0.2, 105.0), 0.6)
        self.assertAlmostEqual(state.work_time(0.2, 111.0), 0.2)

    async def test_a_lie_about_the_load(self) -> None:
        self.state.set_faults(BackendFaults(reported_load="0/6"), 0.0)
        self.assertEqual((await self.ask("r1")).headers["x-backend-load"], "0/6")

    async def test_crossed_answers_go_to_each_other(self) -> None:
        state = BackendState(Capacity(slots=2), 0.0)
        self.backend = BackendApplication("b1", state, self.records.append)
        state.set_faults(BackendFaults(crossed=True), 0.0)
        replies: dict[str, Reply] = {}

        async def keep(request_id: str) -> None:
            replies[request_id] = await self.ask(request_id)

        async with anyio.create_task_group() as callers:
            callers.start_soon(keep, "r1")
            callers.start_soon(keep, "r2")
        self.assertEqual(replies["r1"].headers["x-request-id"], "r2")
        self.assertEqual(replies["r2"].headers["x-request-id"], "r1")

    async def test_it_dies_in_the_middle_of_an_answer(self) -> None:
        self.state.set_faults(BackendFaults(die_mid_answer_share=1.0), 0.0)
        with self.assertRaises(BrokenAnswerError):
            await self.ask("r1")
        self.assertEqual(self.results(), {"r1": ExecutionResult.DIED})
