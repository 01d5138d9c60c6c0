"""A back end that starts again under its name holds and knows nothing of before."""

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
LIVE, LEAVING = MachineState.LIVE, MachineState.LEAVING


def told(number: int, started_at: int, state: MachineState = LIVE, **rest: Any) -> MachineList:
    """A list with one back end as its entry said it."""
    said = backend("b1", state=state)
    machine = Machine(
        "b1", said.role, said.zone, said.address, said.service, state, started_at=started_at, **rest
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

    def test_another_start_is_another_back_end(self) -> None:
        former = self.use(told(1, BEFORE, cold=True, slots=6))
        former.in_flight, former.slowness = 3, 5.0
        former.note_report(0.0, LoadReport(6, 6))
        for _ in range(3):
            former.health.note_failure(0.0, False, 3, 5.0, True)
        self.assertTrue(former.health.ejected)
        heir = self.use(told(2, AFTER, slots=6))
        self.assertIsNot(heir, former)
        self.assertTrue(former.removed)
        self.assertFalse(heir.health.ejected)
        self.assertEqual((heir.in_flight, heir.other_requests, heir.slowness), (0, 0, 1.0))
        self.assertFalse(heir.listed_cold)

    def test_leaving_and_return_within_one_reading_are_told_apart(self) -> None:
        self.use(told(1, BEFORE))
        self.assertTrue(self.use(told(2, BEFORE, LEAVING)).leaving)
        self.assertFalse(self.use(told(3, AFTER)).leaving)
        self.assertEqual(self.changes(), [ListChange.GONE, ListChange.SEEN])
        self.assertTrue(self.use(told(4, AFTER, LEAVING)).leaving)
        self.assertEqual(self.changes(), [ListChange.LEAVING])

    def test_one_that_left_and_lives_on_stays_leaving(self) -> None:
        self.use(told(1, BEFORE, LEAVING))
        self.assertTrue(self.use(told(2, BEFORE)).leaving)

    def test_a_late_entry_of_the_life_before_changes_nothing(self) -> None:
        heir = self.use(told(1, AFTER, slots=6))
        for state in (LIVE, LEAVING):
            late = told(2, BEFORE, state, slots=2, cold=True, gateway="127.0.0.1:9")
            self.assertIs(self.use(late), heir)
            self.assertEqual(
                (heir.leaving, heir.removed, heir.listed_cold, heir.gateway, heir.slots),
                (False, False, False, "", 6),
            )
            self.assertEqual(self.changes(), [])

    def test_a_late_entry_brings_no_life_back_that_has_ended(self) -> None:
        self.use(told(1, BEFORE))
        self.use(told(2, AFTER))
        self.registry.update(MachineList(3, ()), 0.0)
        self.registry.update(told(4, BEFORE), 0.0)
        self.assertEqual(list(self.registry.all()), [])
        self.use(told(5, AFTER + 1))

    def test_a_start_that_is_told_for_the_first_time_is_no_new_life(self) -> None:
        former = self.use(told(1, 0))
        self.assertIs(self.use(told(2, BEFORE)), former)
        self.assertIs(self.use(told(3, 0)), former)
        self.assertIsNot(self.use(told(4, AFTER)), former)


class DispatcherTest(unittest.TestCase):
    def setUp(self) -> None:
        self.events: list[BackendEvent] = []
        self.subject = Dispatcher(Random(1), self.events.append)
        self.subject.use_zone("ikeja")
        self.subject.use_machines(told(1, BEFORE), 0.0)

    def submitted(self, now: float) -> Ticket:
        request = ticket(50.0, service(ejection_failures=1), repeatable=True)
        self.subject.submit(request, now)
        return request

    def test_what_ends_at_the_former_life_says_nothing_of_the_next(self) -> None:
        late, answered = self.submitted(0.0), self.submitted(0.0)
        self.subject.use_machines(told(2, AFTER), 1.0)
        self.subject.note_answer(answered, 1.1, LoadReport(6, 6), leaving=True)
        self.subject.finish(late, 2.0, AttemptResult.BROKEN)
        heir = self.submitted(2.0).backend
        assert heir is not None
        self.assertEqual(heir.started_at, AFTER)
        self.assertEqual((heir.in_flight, heir.other_requests, heir.leaving), (1, 0, False))
        self.assertTrue(all(isinstance(event, BackendListed) for event in self.events))
