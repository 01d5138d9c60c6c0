"""A gateway whose back end starts again under its name."""

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
from tests.node.gateway.test_gateway import POST, GatewayTestCase, answer_well, raw_call

BEFORE, AFTER = 1_700_000_000_000, 1_700_000_005_000
LIVING = Machine("b1", MachineRole.BACKEND, "ikeja", "127.0.0.1:1", "logbook", slots=2)


def said(started_at: int, **changes: Any) -> dict[str, Machine]:
    return {"b1": msgspec.structs.replace(LIVING, started_at=started_at, **changes)}


def request() -> AdmissionTicket:
    return AdmissionTicket("lookup", (0, 0), 5.0, 9.0, WaitPolicy.WAIT)


class IncarnationsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.subject = Incarnations(lambda: 0.0)
        self.subject.use_bounds(ColdBounds(0.0, 0.0))

    def test_what_runs_at_the_former_life_takes_no_place_of_the_next(self) -> None:
        self.subject.apply_machine_list(said(BEFORE))
        former = self.subject.get("b1")
        running = [request() for _ in range(3)]
        for item in running:
            former.admission.submit(item, 0.0)
        waiting = running[2]
        self.assertFalse(waiting.granted)
        self.assertTrue(self.subject.apply_machine_list(said(AFTER)))
        self.assertIsInstance(waiting.refusal, BackendGoneError)
        heir = self.subject.get("b1")
        self.assertIsNot(heir, former)
        self.assertEqual((heir.admission.load, heir.admission.slots), (0, 2))
        former.admission.finish(running[0], 1.0, answered=False)
        self.assertEqual(heir.admission.load, 0)

    def test_one_that_was_leaving_takes_work_again(self) -> None:
        self.subject.apply_machine_list(said(BEFORE, state=MachineState.LEAVING))
        self.assertFalse(self.subject.get("b1").takes_work)
        self.assertFalse(self.subject.apply_machine_list(said(BEFORE)))
        self.assertFalse(self.subject.get("b1").takes_work)
        self.subject.apply_machine_list(said(AFTER))
        self.assertTrue(self.subject.get("b1").takes_work)

    def test_who_has_left_for_good_is_told_from_who_is_not_listed(self) -> None:
        self.subject.apply_machine_list(said(BEFORE))
        found = self.subject.get("b1")
        self.subject.apply_machine_list({})
        self.assertNotIsInstance(found.refusal(), BackendLeftError)
        self.subject.apply_machine_list(said(BEFORE, state=MachineState.LEAVING))
        self.assertIsInstance(found.refusal(), BackendLeftError)

    def test_a_new_life_is_cold_until_it_says_otherwise(self) -> None:
        self.subject.use_bounds(ColdBounds(5.0, 3.0))
        self.subject.apply_machine_list(said(BEFORE))
        self.subject.get("b1").cold.note_remaining(0.0, 0.0, 0.0)
        self.assertFalse(self.subject.get("b1").cold.is_cold(0.0))
        self.subject.apply_machine_list(said(AFTER))
        self.assertTrue(self.subject.get("b1").cold.is_cold(0.0))

    def test_a_late_entry_of_the_life_before_changes_nothing(self) -> None:
        self.subject.apply_machine_list(said(AFTER))
        heir = self.subject.get("b1")
        late = said(BEFORE, state=MachineState.LEAVING, slots=1, cold=True)
        self.assertFalse(self.subject.apply_machine_list(late))
        self.assertIs(self.subject.get("b1"), heir)
        self.assertEqual((heir.takes_work, heir.admission.slots), (True, 2))
        self.subject.apply_machine_list({})
        self.subject.apply_machine_list(late)
        self.assertFalse(heir.takes_work)

    def test_what_waits_gets_the_slots_of_a_newer_list_at_once(self) -> None:
        self.subject.apply_machine_list(said(BEFORE))
        admission = self.subject.get("b1").admission
        asked = [request() for _ in range(4)]
        for item in asked:
            admission.submit(item, 0.0)
        self.subject.apply_machine_list(said(BEFORE, slots=3))
        self.assertEqual([item.granted for item in asked], [True, True, True, False])

    def test_more_slots_grant_nothing_at_one_that_leaves(self) -> None:
        self.subject.apply_machine_list(said(BEFORE))
        admission = self.subject.get("b1").admission
        asked = [request() for _ in range(3)]
        for item in asked:
            admission.submit(item, 0.0)
        self.subject.apply_machine_list(said(BEFORE, slots=9, state=MachineState.LEAVING))
        self.assertFalse(asked[2].granted)
        self.assertIsInstance(asked[2].refusal, BackendGoneError)

    def test_names_that_no_list_tells_of_are_forgotten(self) -> None:
        self.subject.apply_machine_list(said(BEFORE))
        living = self.subject.get("b1")
        for number in range(3 * MAX_UNLISTED_NAMES):
            self.subject.get(f"asked-{number}")
        self.assertLessEqual(len(self.subject), MAX_UNLISTED_NAMES + 1)
        self.assertIs(self.subject.get("b1"), living)
        self.assertIsNone(self.subject.find("asked-0"))

    def test_one_that_is_asked_for_or_has_work_is_not_forgotten(self) -> None:
        asked, at_work = self.subject.get("asked"), self.subject.get("at-work")
        at_work.admission.submit(request(), 0.0)
        for number in range(3 * MAX_UNLISTED_NAMES):
            self.subject.get(f"asked-{number}")
            self.subject.get("asked")
        self.assertIs(self.subject.find("asked"), asked)
        self.assertIs(self.subject.find("at-work"), at_work)

    def test_who_was_said_to_leave_is_kept_before_names_that_no_list_has_told_of(self) -> None:
        self.subject.apply_machine_list(said(BEFORE, state=MachineState.LEAVING))
        self.subject.apply_machine_list({})
        for number in range(3 * MAX_UNLISTED_NAMES):
            self.subject.get(f"asked-{number}")
        self.subject.apply_machine_list(said(BEFORE))
        self.assertFalse(self.subject.get("b1").takes_work)

    def test_those_that_lists_name_no_longer_are_bounded_too(self) -> None:
        for number in range(3 * MAX_UNLISTED_NAMES):
            name = f"b{number}"
            self.subject.apply_machine_list({name: msgspec.structs.replace(LIVING, name=name)})
        self.assertLessEqual(len(self.subject), MAX_UNLISTED_NAMES + 1)
        self.assertIsNotNone(self.subject.find(f"b{3 * MAX_UNLISTED_NAMES - 1}"))

    def test_a_start_that_is_told_for_the_first_time_is_no_new_life(self) -> None:
        unknown = self.subject.get("b1")
        self.assertFalse(self.subject.apply_machine_list(said(BEFORE)))
        self.subject.apply_machine_list(said(0))
        self.assertIs(self.subject.get("b1"), unknown)


class RestartTest(GatewayTestCase):
    def restart(self, number: int, started_at: int) -> None:
        self.machines = [
            msgspec.structs.replace(machine, started_at=started_at) for machine in self.machines
        ]
        self.use_machines(number)

    async def test_what_was_sent_to_the_former_life_is_never_sent_on(self) -> None:
        ended = anyio.Event()

        async def end_while_running(reader: Any, writer: Any, head: str) -> bool:
            if len(self.heads) > 1:
                return await answer_well(reader, writer, head)
            await ended.wait()
            return False

        address = await self.start_fleet(end_while_running)
        self.restart(2, BEFORE)
        answers: list[Any] = []

        async def call() -> None:
            answers.append(await raw_call(address, POST))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(call)
            with anyio.fail_after(5.0):
                while not self.heads:
                    await anyio.sleep(0.01)
            self.restart(3, AFTER)
            await anyio.sleep(0.05)
            ended.set()
        self.assert_refused(answers[0], 502, "unknown")
        self.assertEqual(len(self.heads), 1)
        self.assertEqual((await raw_call(address, POST)).status, 200)
        self.assertEqual(len(self.heads), 2)

    async def test_one_that_left_and_came_back_gets_work_at_once(self) -> None:
        address = await self.start_fleet(answer_well)
        self.restart(2, BEFORE)
        self.machines = [
            msgspec.structs.replace(item, state=MachineState.LEAVING) for item in self.machines
        ]
        self.use_machines(3)
        self.assertEqual((await raw_call(address, POST)).status, 503)
        self.machines = [
            msgspec.structs.replace(item, state=MachineState.LIVE) for item in self.machines
        ]
        self.restart(4, AFTER)
        began = time.monotonic()
        self.assertEqual((await raw_call(address, POST)).status, 200)
        self.assertLess(time.monotonic() - began, 1.0)

    async def test_a_gateway_that_knows_the_former_life_takes_no_later_one_out(self) -> None:
        address = await self.start_fleet(answer_well)
        self.restart(2, BEFORE)
        self.machines = [
            msgspec.structs.replace(item, state=MachineState.LEAVING) for item in self.machines
        ]
        self.gateways[0].use_machines(MachineList(3, tuple(self.machines)))
        self.machines = [
            msgspec.structs.replace(item, state=MachineState.LIVE, started_at=AFTER)
            for item in self.machines
        ]
        told: list[str] = []
        self.proxy.set_leaving_observer(lambda name, address, started_at: told.append(name))
        self.proxy.use_machines(MachineList(4, tuple(self.machines)))
        self.assertEqual((await raw_call(address, POST)).status, 503)
        self.assertEqual(told, [])
        self.gateways[0].use_machines(MachineList(4, tuple(self.machines)))
        async with asyncio.timeout(5.0):
            while (await raw_call(address, POST)).status != 200:
                await anyio.sleep(0.05)

    async def test_a_gateway_that_knows_the_same_life_takes_it_out(self) -> None:
        address = await self.start_fleet(answer_well)
        self.restart(2, BEFORE)
        leaving = msgspec.structs.replace(self.machines[0], state=MachineState.LEAVING)
        self.gateways[0].use_machines(MachineList(3, (leaving,)))
        told: list[str] = []
        self.proxy.set_leaving_observer(lambda name, address, started_at: told.append(name))
        self.assertEqual((await raw_call(address, POST)).status, 503)
        self.assertEqual(told, ["b0"])
