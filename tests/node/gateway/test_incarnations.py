"""A gateway whose back end restarts under the same name."""

import asyncio
import time
import unittest
from typing import Any

import anyio
import msgspec

from pewtertack.core.machines import Machine, MachineList, MachineRole, MachineState
from pewtertack.node.gateway.incarnations import MAX_UNLISTED_NAMES, Incarnations
from pewtertack.routing.admission_ticket import AdmissionTicket
from pewtertack.routing.cold import ColdBounds
from pewtertack.routing.outcomes import BackendGoneError, BackendLeftError
from pewtertack.routing.patience import WaitPolicy
from tests.node.gateway.test_gateway import POST, GatewayTestCase, answer_normally
from tests.node.proxy.harness import raw_call

FIRST_START, SECOND_START = 1_700_000_000_000, 1_700_000_005_000
LIVE_MACHINE = Machine("b1", MachineRole.BACKEND, "ikeja", "127.0.0.1:1", "logbook", slots=2)


def machine_list(started_at: int, **changes: Any) -> dict[str, Machine]:
    return {"b1": msgspec.structs.replace(LIVE_MACHINE, started_at=started_at, **changes)}


def make_ticket() -> AdmissionTicket:
    return AdmissionTicket("lookup", (0, 0), 5.0, 9.0, WaitPolicy.WAIT)


COLD_RATE = 8.0


def cold_starts(process_started_at: float, times: list[float]) -> list[float]:
    """Return at which times a gateway starts a request at a back end that stays cold."""
    incarnations = Incarnations(lambda: process_started_at, follows_another=True)
    incarnations.use_bounds(ColdBounds(COLD_RATE, 60.0))
    incarnations.apply_machine_list(machine_list(FIRST_START))
    admission = incarnations.get("b1").admission
    starts = []
    for now in times:
        item = AdmissionTicket("lookup", (0, 0), now + 5.0, now + 9.0, WaitPolicy.WAIT)
        admission.submit(item, now)
        if item.granted:
            starts.append(now)
            admission.finish(item, now, answered=True)
        else:
            admission.withdraw(item)
    return starts


class IncarnationsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.incarnations = Incarnations(lambda: 0.0)
        self.incarnations.use_bounds(ColdBounds(0.0, 0.0))

    def test_requests_at_the_previous_incarnation_take_no_slot_of_the_next(self) -> None:
        self.incarnations.apply_machine_list(machine_list(FIRST_START))
        predecessor = self.incarnations.get("b1")
        running = [make_ticket() for _ in range(3)]
        for item in running:
            predecessor.admission.submit(item, 0.0)
        waiting = running[2]
        self.assertFalse(waiting.granted)
        self.assertTrue(self.incarnations.apply_machine_list(machine_list(SECOND_START)))
        self.assertIsInstance(waiting.refusal, BackendGoneError)
        successor = self.incarnations.get("b1")
        self.assertIsNot(successor, predecessor)
        self.assertEqual((successor.admission.load, successor.admission.slots), (0, 2))
        predecessor.admission.finish(running[0], 1.0, answered=False)
        self.assertEqual(successor.admission.load, 0)

    def test_a_later_incarnation_of_a_leaving_back_end_takes_work(self) -> None:
        self.incarnations.apply_machine_list(machine_list(FIRST_START, state=MachineState.LEAVING))
        self.assertFalse(self.incarnations.get("b1").takes_work)
        self.assertFalse(self.incarnations.apply_machine_list(machine_list(FIRST_START)))
        self.assertFalse(self.incarnations.get("b1").takes_work)
        self.incarnations.apply_machine_list(machine_list(SECOND_START))
        self.assertTrue(self.incarnations.get("b1").takes_work)

    def test_a_restarted_gateway_counts_what_its_predecessor_may_have_started(self) -> None:
        """A gateway that had just started granted a cold back end's whole rate once more."""
        former = cold_starts(-2.0, [0.05 * step for step in range(8)])
        restarted = cold_starts(0.4, [0.4 + 0.05 * step for step in range(40)])
        starts = former + restarted
        most = max(sum(begin <= at < begin + 1.0 for at in starts) for begin in starts)
        self.assertLessEqual(most, COLD_RATE)
        self.assertGreater(len(restarted), 1)

    def test_a_leaving_back_end_is_distinguished_from_an_unlisted_one(self) -> None:
        self.incarnations.apply_machine_list(machine_list(FIRST_START))
        incarnation = self.incarnations.get("b1")
        self.incarnations.apply_machine_list({})
        self.assertNotIsInstance(incarnation.refusal(), BackendLeftError)
        self.incarnations.apply_machine_list(machine_list(FIRST_START, state=MachineState.LEAVING))
        self.assertIsInstance(incarnation.refusal(), BackendLeftError)

    def test_a_new_incarnation_is_cold_until_it_reports_otherwise(self) -> None:
        self.incarnations.use_bounds(ColdBounds(5.0, 3.0))
        self.incarnations.apply_machine_list(machine_list(FIRST_START))
        self.incarnations.get("b1").cold.note_remaining(0.0, 0.0, 0.0)
        self.assertFalse(self.incarnations.get("b1").cold.is_cold(0.0))
        self.incarnations.apply_machine_list(machine_list(SECOND_START))
        self.assertTrue(self.incarnations.get("b1").cold.is_cold(0.0))

    def test_a_late_entry_of_the_previous_incarnation_is_ignored(self) -> None:
        self.incarnations.apply_machine_list(machine_list(SECOND_START))
        successor = self.incarnations.get("b1")
        late_list = machine_list(FIRST_START, state=MachineState.LEAVING, slots=1, cold=True)
        self.assertFalse(self.incarnations.apply_machine_list(late_list))
        self.assertIs(self.incarnations.get("b1"), successor)
        self.assertEqual((successor.takes_work, successor.admission.slots), (True, 2))
        self.incarnations.apply_machine_list({})
        self.incarnations.apply_machine_list(late_list)
        self.assertFalse(successor.takes_work)

    def test_waiting_requests_get_the_slots_of_a_newer_list_at_once(self) -> None:
        self.incarnations.apply_machine_list(machine_list(FIRST_START))
        admission = self.incarnations.get("b1").admission
        requested = [make_ticket() for _ in range(4)]
        for item in requested:
            admission.submit(item, 0.0)
        self.incarnations.apply_machine_list(machine_list(FIRST_START, slots=3))
        self.assertEqual([item.granted for item in requested], [True, True, True, False])

    def test_more_slots_grant_nothing_at_a_leaving_back_end(self) -> None:
        self.incarnations.apply_machine_list(machine_list(FIRST_START))
        admission = self.incarnations.get("b1").admission
        requested = [make_ticket() for _ in range(3)]
        for item in requested:
            admission.submit(item, 0.0)
        self.incarnations.apply_machine_list(
            machine_list(FIRST_START, slots=9, state=MachineState.LEAVING)
        )
        self.assertFalse(requested[2].granted)
        self.assertIsInstance(requested[2].refusal, BackendGoneError)

    def test_names_that_no_list_contains_are_evicted(self) -> None:
        self.incarnations.apply_machine_list(machine_list(FIRST_START))
        listed = self.incarnations.get("b1")
        for number in range(3 * MAX_UNLISTED_NAMES):
            self.incarnations.get(f"asked-{number}")
        self.assertLessEqual(len(self.incarnations), MAX_UNLISTED_NAMES + 1)
        self.assertIs(self.incarnations.get("b1"), listed)
        self.assertIsNone(self.incarnations.find("asked-0"))

    def test_a_name_that_is_requested_or_has_work_is_not_evicted(self) -> None:
        requested, at_work = self.incarnations.get("asked"), self.incarnations.get("at-work")
        at_work.admission.submit(make_ticket(), 0.0)
        for number in range(3 * MAX_UNLISTED_NAMES):
            self.incarnations.get(f"asked-{number}")
            self.incarnations.get("asked")
        self.assertIs(self.incarnations.find("asked"), requested)
        self.assertIs(self.incarnations.find("at-work"), at_work)

    def test_a_leaving_back_end_is_kept_before_names_that_no_list_has_contained(self) -> None:
        self.incarnations.apply_machine_list(machine_list(FIRST_START, state=MachineState.LEAVING))
        self.incarnations.apply_machine_list({})
        for number in range(3 * MAX_UNLISTED_NAMES):
            self.incarnations.get(f"asked-{number}")
        self.incarnations.apply_machine_list(machine_list(FIRST_START))
        self.assertFalse(self.incarnations.get("b1").takes_work)

    def test_names_that_lists_no_longer_contain_are_limited_too(self) -> None:
        for number in range(3 * MAX_UNLISTED_NAMES):
            name = f"b{number}"
            self.incarnations.apply_machine_list(
                {name: msgspec.structs.replace(LIVE_MACHINE, name=name)}
            )
        self.assertLessEqual(len(self.incarnations), MAX_UNLISTED_NAMES + 1)
        self.assertIsNotNone(self.incarnations.find(f"b{3 * MAX_UNLISTED_NAMES - 1}"))

    def test_a_start_time_reported_for_the_first_time_is_no_new_incarnation(self) -> None:
        unknown = self.incarnations.get("b1")
        self.assertFalse(self.incarnations.apply_machine_list(machine_list(FIRST_START)))
        self.incarnations.apply_machine_list(machine_list(0))
        self.assertIs(self.incarnations.get("b1"), unknown)


class RestartTest(GatewayTestCase):
    def restart(self, number: int, started_at: int) -> None:
        self.machines = [
            msgspec.structs.replace(machine, started_at=started_at) for machine in self.machines
        ]
        self.use_machines(number)

    async def test_a_request_sent_to_the_previous_incarnation_is_never_sent_again(self) -> None:
        ended = anyio.Event()

        async def end_while_running(reader: Any, writer: Any, head: str) -> bool:
            if len(self.heads) > 1:
                return await answer_normally(reader, writer, head)
            await ended.wait()
            return False

        address = await self.start_fleet(end_while_running)
        self.restart(2, FIRST_START)
        answers: list[Any] = []

        async def call() -> None:
            answers.append(await raw_call(address, POST))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(call)
            with anyio.fail_after(5.0):
                while not self.heads:
                    await anyio.sleep(0.01)
            self.restart(3, SECOND_START)
            await anyio.sleep(0.05)
            ended.set()
        self.assert_refused(answers[0], 502, "unknown")
        self.assertEqual(len(self.heads), 1)
        self.assertEqual((await raw_call(address, POST)).status, 200)
        self.assertEqual(len(self.heads), 2)

    async def test_a_back_end_that_left_and_restarted_gets_work_at_once(self) -> None:
        address = await self.start_fleet(answer_normally)
        self.restart(2, FIRST_START)
        self.machines = [
            msgspec.structs.replace(item, state=MachineState.LEAVING) for item in self.machines
        ]
        self.use_machines(3)
        self.assertEqual((await raw_call(address, POST)).status, 503)
        self.machines = [
            msgspec.structs.replace(item, state=MachineState.LIVE) for item in self.machines
        ]
        self.restart(4, SECOND_START)
        started = time.monotonic()
        self.assertEqual((await raw_call(address, POST)).status, 200)
        self.assertLess(time.monotonic() - started, 1.0)

    async def test_a_gateway_that_knows_only_the_previous_incarnation_does_not_remove_the_next(
        self,
    ) -> None:
        address = await self.start_fleet(answer_normally)
        self.restart(2, FIRST_START)
        self.machines = [
            msgspec.structs.replace(item, state=MachineState.LEAVING) for item in self.machines
        ]
        self.gateways[0].use_machines(MachineList(3, tuple(self.machines)))
        self.machines = [
            msgspec.structs.replace(item, state=MachineState.LIVE, started_at=SECOND_START)
            for item in self.machines
        ]
        reported: list[str] = []
        self.proxy.set_leaving_observer(lambda name, address, started_at: reported.append(name))
        self.proxy.use_machines(MachineList(4, tuple(self.machines)))
        self.assertEqual((await raw_call(address, POST)).status, 503)
        self.assertEqual(reported, [])
        self.gateways[0].use_machines(MachineList(4, tuple(self.machines)))
        async with asyncio.timeout(5.0):
            while (await raw_call(address, POST)).status != 200:
                await anyio.sleep(0.05)

    async def test_a_gateway_that_knows_the_same_incarnation_removes_it(self) -> None:
        address = await self.start_fleet(answer_normally)
        self.restart(2, FIRST_START)
        leaving = msgspec.structs.replace(self.machines[0], state=MachineState.LEAVING)
        self.gateways[0].use_machines(MachineList(3, (leaving,)))
        reported: list[str] = []
        self.proxy.set_leaving_observer(lambda name, address, started_at: reported.append(name))
        self.assertEqual((await raw_call(address, POST)).status, 503)
        self.assertEqual(reported, ["b0"])
