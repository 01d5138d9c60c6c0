"""A back end whose list entry lapses and returns while requests wait for it at its gateway.

Guards against back ends that never get work again. Nodes were cut off from the store while their
back ends kept running: the entries lapsed, and each gateway handed back its waiting requests. When
the entries returned some ten seconds later, the three of eight back ends that had had waiting
requests were treated as having left for good, because the refusals of those requests had been taken
for a report by the back end itself.
"""

import unittest
from typing import Any

import anyio
import msgspec

from pewtertack.core.machines import MachineList, MachineState
from pewtertack.node.gateway.incarnations import Incarnations
from pewtertack.routing.outcomes import BackendGoneError, BackendLeftError
from tests.node.gateway.test_gateway import POST, GatewayTestCase, answer_normally
from tests.node.gateway.test_incarnations import (
    FIRST_START,
    LIVE_MACHINE,
    machine_list,
    make_ticket,
)
from tests.node.proxy.harness import raw_call


class IncarnationsTest(unittest.TestCase):
    def test_a_removed_entry_is_not_reported_to_waiting_requests_as_a_gone_back_end(self) -> None:
        incarnations = Incarnations(lambda: 0.0)
        incarnations.apply_machine_list(machine_list(FIRST_START))
        incarnation = incarnations.get("b1")
        tickets = [make_ticket() for _ in range(LIVE_MACHINE.slots + 1)]
        for item in tickets:
            incarnation.admission.submit(item, 0.0)
        incarnations.apply_machine_list({})
        refusal = tickets[-1].refusal
        self.assertIsNotNone(refusal)
        self.assertNotIsInstance(refusal, BackendGoneError)
        incarnations.apply_machine_list(machine_list(FIRST_START))
        self.assertTrue(incarnation.takes_work)

    def test_a_leaving_back_end_is_reported_to_waiting_requests_as_having_left(self) -> None:
        incarnations = Incarnations(lambda: 0.0)
        incarnations.apply_machine_list(machine_list(FIRST_START))
        tickets = [make_ticket() for _ in range(LIVE_MACHINE.slots + 1)]
        for item in tickets:
            incarnations.get("b1").admission.submit(item, 0.0)
        incarnations.apply_machine_list(machine_list(FIRST_START, state=MachineState.LEAVING))
        self.assertIsInstance(tickets[-1].refusal, BackendLeftError)
        incarnations.apply_machine_list({})
        incarnations.apply_machine_list(machine_list(FIRST_START))
        self.assertFalse(incarnations.get("b1").takes_work)


class LapsedEntryTest(GatewayTestCase):
    async def run_with_one_waiting(self, later_lists: tuple[Any, ...]) -> tuple[list[Any], str]:
        """Have one request run and one wait while the gateway gets ``later_lists`` in turn."""
        released = anyio.Event()

        async def hold_the_first(reader: Any, writer: Any, head: str) -> bool:
            if len(self.heads) == 1:
                await released.wait()
            return await answer_normally(reader, writer, head)

        address = await self.start_fleet(hold_the_first, slots=1)
        answers: list[Any] = []

        async def call() -> None:
            answers.append(await raw_call(address, POST))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(call)
            with anyio.fail_after(5.0):
                while not self.heads:
                    await anyio.sleep(0.01)
            tasks.start_soon(call)
            await anyio.sleep(0.1)
            for number, machines in enumerate(later_lists, 2):
                self.gateways[0].use_machines(MachineList(number, machines))
            await anyio.sleep(0.1)
            released.set()
        return answers, address

    async def test_the_back_end_gets_work_again_when_its_entry_returns(self) -> None:
        answers, address = await self.run_with_one_waiting(((),))
        self.assertEqual(sorted(item.status for item in answers), [200, 503])
        self.proxy.use_machines(MachineList(3, ()))
        self.machines = [msgspec.structs.replace(item) for item in self.machines]
        self.use_machines(4)
        self.assertEqual((await raw_call(address, POST)).status, 200)

    async def test_a_late_entry_of_a_back_end_that_left_brings_no_work(self) -> None:
        """The list wrongly contains a back end as live that it has reported as leaving."""
        _, address = await self.run_with_one_waiting(())
        leaving = msgspec.structs.replace(self.machines[0], state=MachineState.LEAVING)
        for number, machines in enumerate(((leaving,), (), tuple(self.machines)), 5):
            self.gateways[0].use_machines(MachineList(number, machines))
        self.proxy.use_machines(MachineList(8, tuple(self.machines)))
        self.assert_refused(await raw_call(address, POST), 503, "not-run")


if __name__ == "__main__":
    unittest.main()
