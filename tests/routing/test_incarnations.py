"""A back end that restarts under its name gets a new state."""

import unittest
from random import Random
from typing import Any

from pewtertack.core.machines import Machine, MachineList, MachineState
from pewtertack.routing.attempt_results import AttemptResult
from pewtertack.routing.backend import Backend, LoadReport
from pewtertack.routing.backend_events import BackendEvent, BackendListed
from pewtertack.routing.dispatcher import Dispatcher
from pewtertack.routing.queueing import Ticket
from pewtertack.routing.registry import BackendRegistry, ListChange
from tests.routing.samples import backend, service, ticket

BEFORE, AFTER = 1_700_000_000_000, 1_700_000_005_000
"""Start times of two incarnations in Unix milliseconds."""
LIVE, LEAVING = MachineState.LIVE, MachineState.LEAVING


def listed(number: int, started_at: int, state: MachineState = LIVE, **rest: Any) -> MachineList:
    """A list with one back end."""
    template = backend("b1", state=state)
    machine = Machine(
        "b1",
        template.role,
        template.zone,
        template.address,
        template.service,
        state,
        started_at=started_at,
        **rest,
    )
    return MachineList(number, (machine,))


class RegistryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.registry = BackendRegistry()

    def use(self, machines: MachineList) -> Backend:
        self.registry.update(machines, 0.0)
        (found,) = self.registry.all()
        return found

    def changes(self) -> list[ListChange]:
        return [change for _, change in self.registry.changes]

    def test_another_start_is_another_incarnation(self) -> None:
        former = self.use(listed(1, BEFORE, cold=True, slots=6))
        former.in_flight, former.slowness = 3, 5.0
        former.note_report(0.0, LoadReport(6, 6))
        for _ in range(3):
            former.health.note_failure(0.0, False, 3, 5.0, True)
        self.assertTrue(former.health.ejected)
        successor = self.use(listed(2, AFTER, slots=6))
        self.assertIsNot(successor, former)
        self.assertTrue(former.removed)
        self.assertFalse(successor.health.ejected)
        self.assertEqual(
            (successor.in_flight, successor.other_requests, successor.slowness), (0, 0, 1.0)
        )
        self.assertFalse(successor.listed_cold)

    def test_leaving_and_restart_between_two_lists_are_distinguished(self) -> None:
        self.use(listed(1, BEFORE))
        self.assertTrue(self.use(listed(2, BEFORE, LEAVING)).leaving)
        self.assertFalse(self.use(listed(3, AFTER)).leaving)
        self.assertEqual(self.changes(), [ListChange.GONE, ListChange.SEEN])
        self.assertTrue(self.use(listed(4, AFTER, LEAVING)).leaving)
        self.assertEqual(self.changes(), [ListChange.LEAVING])

    def test_leaving_is_permanent_for_an_incarnation(self) -> None:
        self.use(listed(1, BEFORE, LEAVING))
        self.assertTrue(self.use(listed(2, BEFORE)).leaving)

    def test_an_outdated_entry_of_a_former_incarnation_changes_nothing(self) -> None:
        successor = self.use(listed(1, AFTER, slots=6))
        for state in (LIVE, LEAVING):
            late = listed(2, BEFORE, state, slots=2, cold=True, gateway="127.0.0.1:9")
            self.assertIs(self.use(late), successor)
            self.assertEqual(
                (
                    successor.leaving,
                    successor.removed,
                    successor.listed_cold,
                    successor.gateway,
                    successor.slots,
                ),
                (False, False, False, "", 6),
            )
            self.assertEqual(self.changes(), [])

    def test_an_outdated_entry_does_not_bring_an_ended_incarnation_back(self) -> None:
        self.use(listed(1, BEFORE))
        self.use(listed(2, AFTER))
        self.registry.update(MachineList(3, ()), 0.0)
        self.registry.update(listed(4, BEFORE), 0.0)
        self.assertEqual(list(self.registry.all()), [])
        self.use(listed(5, AFTER + 1))

    def test_a_start_time_learned_later_is_no_new_incarnation(self) -> None:
        former = self.use(listed(1, 0))
        self.assertIs(self.use(listed(2, BEFORE)), former)
        self.assertIs(self.use(listed(3, 0)), former)
        self.assertIsNot(self.use(listed(4, AFTER)), former)


class DispatcherTest(unittest.TestCase):
    def setUp(self) -> None:
        self.events: list[BackendEvent] = []
        self.subject = Dispatcher(Random(1), self.events.append)
        self.subject.use_zone("ikeja")
        self.subject.use_machines(listed(1, BEFORE), 0.0)

    def submitted(self, now: float) -> Ticket:
        request = ticket(50.0, service(ejection_failures=1), repeatable=True)
        self.subject.submit(request, now)
        return request

    def test_results_of_a_former_incarnation_do_not_affect_the_next(self) -> None:
        late, answered = self.submitted(0.0), self.submitted(0.0)
        self.subject.use_machines(listed(2, AFTER), 1.0)
        self.subject.note_answer(answered, 1.1, LoadReport(6, 6), leaving=True)
        self.subject.finish(late, 2.0, AttemptResult.BROKEN)
        successor = self.submitted(2.0).backend
        assert successor is not None
        self.assertEqual(successor.started_at, AFTER)
        self.assertEqual(
            (successor.in_flight, successor.other_requests, successor.leaving), (1, 0, False)
        )
        self.assertTrue(all(isinstance(event, BackendListed) for event in self.events))
