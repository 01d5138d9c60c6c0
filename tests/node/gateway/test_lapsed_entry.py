"""A back end whose entry goes and comes back while requests wait for it at its gateway.

Nodes were cut from the store and their back ends ran on. Their entries lapsed; each gateway
handed back what waited. The entries came back after some ten seconds, and callers were still
refused for want of slots: of eight such back ends, the three where requests had waited when the
entry went were refused as left for good, and all nodes sent them nothing any more. The refusal
of the waiting requests had been taken for the back end's own word that it is gone.
"""

import unittest
from typing import Any

import anyio
import msgspec

from pewtertack.core.machines import MachineList, MachineState
from pewtertack.node.gateway.incarnations import Incarnations
from pewtertack.routing.outcomes import BackendGoneError, BackendLeftError
from tests.node.gateway.test_gateway import POST, GatewayTestCase, answer_well, raw_call
from tests.node.gateway.test_lives import BEFORE, LIVING, request, said


class IncarnationsTest(unittest.TestCase):
    def test_what_waits_is_not_told_that_the_back_end_is_gone_when_its_entry_goes(self) -> None:
        subject = Incarnations(lambda: 0.0)
        subject.apply_machine_list(said(BEFORE))
        found = subject.get("b1")
        waiting = [request() for _ in range(LIVING.slots + 1)]
        for item in waiting:
            found.admission.submit(item, 0.0)
        subject.apply_machine_list({})
        refusal = waiting[-1].refusal
        self.assertIsNotNone(refusal)
        self.assertNotIsInstance(refusal, BackendGoneError)
        subject.apply_machine_list(said(BEFORE))
        self.assertTrue(found.takes_work)

    def test_what_waits_is_told_that_it_left_when_it_is_said_to_leave(self) -> None:
        subject = Incarnations(lambda: 0.0)
        subject.apply_machine_list(said(BEFORE))
        waiting = [request() for _ in range(LIVING.slots + 1)]
        for item in waiting:
            subject.get("b1").admission.submit(item, 0.0)
        subject.apply_machine_list(said(BEFORE, state=MachineState.LEAVING))
        self.assertIsInstance(waiting[-1].refusal, BackendLeftError)
        subject.apply_machine_list({})
        subject.apply_machine_list(said(BEFORE))
        self.assertFalse(subject.get("b1").takes_work)


class LapsedEntryTest(GatewayTestCase):
    async def run_with_one_waiting(self, back: tuple[Any, ...]) -> tuple[list[Any], str]:
        """Let one request run and one wait while the gateway's list changes; ``back`` follows."""
        released = anyio.Event()

        async def hold_the_first(reader: Any, writer: Any, head: str) -> bool:
            if len(self.heads) == 1:
                await released.wait()
            return await answer_well(reader, writer, head)

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
            for number, machines in enumerate(back, 2):
                self.gateways[0].use_machines(MachineList(number, machines))
            await anyio.sleep(0.1)
            released.set()
        return answers, address

    async def test_it_gets_work_again_when_its_entry_comes_back(self) -> None:
        answers, address = await self.run_with_one_waiting(((),))
        self.assertEqual(sorted(item.status for item in answers), [200, 503])
        self.proxy.use_machines(MachineList(3, ()))
        self.machines = [msgspec.structs.replace(item) for item in self.machines]
        self.use_machines(4)
        self.assertEqual((await raw_call(address, POST)).status, 200)

    async def test_a_late_entry_of_one_that_left_brings_no_work_back(self) -> None:
        """The list lies: it names one as live that it has named as leaving before."""
        _, address = await self.run_with_one_waiting(())
        left = msgspec.structs.replace(self.machines[0], state=MachineState.LEAVING)
        for number, machines in enumerate(((left,), (), tuple(self.machines)), 5):
            self.gateways[0].use_machines(MachineList(number, machines))
        self.proxy.use_machines(MachineList(8, tuple(self.machines)))
        self.assert_refused(await raw_call(address, POST), 503, "not-run")


if __name__ == "__main__":
    unittest.main()
