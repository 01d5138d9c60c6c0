"""Back ends that have ended get no work while their entries are still in the list."""

import unittest
from random import Random
from typing import Any

import msgspec

from pewtertack.core.machines import Machine, MachineList, MachineRole, MachineState
from pewtertack.node.proxy.failure_results import result_of_failure
from pewtertack.routing.attempt_results import AttemptResult
from pewtertack.routing.backend_events import BackendEvent, BackendLeaving
from pewtertack.routing.dispatcher import Dispatcher
from pewtertack.routing.outcomes import (
    BackendGoneError,
    BackendLeftError,
    GatewayRefusedError,
    NoBackendError,
)
from tests.routing.samples import dispatcher, ticket

TEMPLATE = Machine(
    "", MachineRole.BACKEND, "ikeja", "127.0.0.1:1", "logbook", gateway="127.0.0.1:9", slots=4
)


def entry(name: str, listed_at: int, **changes: Any) -> Machine:
    return msgspec.structs.replace(TEMPLATE, name=name, listed_at=listed_at, **changes)


class SuccessorTest(unittest.TestCase):
    def setUp(self) -> None:
        self.subject = dispatcher()
        self.number = 1

    def use(self, *entries: Machine) -> None:
        self.number += 1
        self.subject.use_machines(MachineList(self.number, entries), 0.0)

    def accepting(self) -> list[str]:
        backends = self.subject.service("logbook").backends
        return sorted(item.name for item in backends if item.usable(0.0))

    def test_of_two_at_one_address_the_later_one_accepts_work(self) -> None:
        for entries in ((entry("a", 7), entry("b", 9)), (entry("b", 9), entry("a", 7))):
            self.use(*entries)
            self.assertEqual(self.accepting(), ["b"])
        self.use(entry("a", 7), entry("b", 9), entry("c", 12))
        self.assertEqual(self.accepting(), ["c"])

    def test_start_times_decide_before_the_age_of_entries(self) -> None:
        self.use(entry("a", 7, started_at=10), entry("b", 9, started_at=20))
        self.assertEqual(self.accepting(), ["b"])
        self.use(entry("a", 7, started_at=30), entry("b", 9, started_at=20))
        self.assertEqual(self.accepting(), ["a"])
        self.use(entry("a", 7, started_at=30), entry("b", 9))
        self.assertEqual(self.accepting(), ["b"])

    def test_an_outdated_entry_at_another_address_has_no_effect(self) -> None:
        self.use(entry("b", 9, started_at=200, address="127.0.0.1:2"))
        late = entry("b", 9, started_at=100)
        self.use(late, entry("y", 12, started_at=150))
        self.assertEqual(self.accepting(), ["b", "y"])

    def test_back_ends_of_unknown_order_accept_work(self) -> None:
        self.use(entry("a", 7), entry("b", 9, address="127.0.0.1:2"))
        self.assertEqual(self.accepting(), ["a", "b"])
        self.use(entry("a", 0), entry("b", 0), entry("c", 9))
        self.assertEqual(self.accepting(), ["a", "b", "c"])
        self.use(entry("a", 0), entry("b", 5), entry("c", 9))
        self.assertEqual(self.accepting(), ["a", "c"])

    def test_a_back_end_of_another_service_is_a_successor_too(self) -> None:
        self.use(entry("a", 7), entry("b", 9, service="archive"))
        self.assertEqual(self.accepting(), [])
        with self.assertRaises(NoBackendError):
            self.subject.submit(ticket(), 0.0)

    def test_the_former_accepts_work_again_if_the_successor_is_gone(self) -> None:
        self.use(entry("a", 7), entry("b", 9))
        request = ticket()
        self.subject.submit(request, 0.0)
        assert request.backend is not None
        self.assertEqual(request.backend.name, "b")
        self.subject.finish(request, 0.1, AttemptResult.GONE)
        self.assertEqual(self.accepting(), ["a"])
        self.use(entry("a", 7), entry("b", 9))
        self.assertEqual(self.accepting(), ["a"])
        self.use(entry("a", 7))
        self.assertEqual(self.accepting(), ["a"])

    def test_the_former_accepts_work_again_if_the_successor_leaves(self) -> None:
        self.use(entry("a", 7), entry("b", 9, state=MachineState.LEAVING))
        self.assertEqual(self.accepting(), ["a"])


class LeftForGoodTest(unittest.TestCase):
    def refused(self, code: str) -> AttemptResult:
        return result_of_failure(GatewayRefusedError("refused", None, code))

    def test_left_for_good_is_distinguished_from_not_listed(self) -> None:
        self.assertEqual(self.refused(BackendLeftError.code), AttemptResult.GONE)
        self.assertEqual(self.refused(BackendGoneError.code), AttemptResult.UNREACHABLE)

    def test_a_back_end_that_left_is_tried_once_and_reported(self) -> None:
        events: list[BackendEvent] = []
        subject = Dispatcher(Random(1), events.append)
        subject.use_zone("ikeja")
        machines = (entry("a", 7), entry("b", 9, address="127.0.0.1:2"))
        subject.use_machines(MachineList(2, machines), 0.0)
        first = ticket()
        subject.submit(first, 0.0)
        assert first.backend is not None
        subject.finish(first, 0.1, AttemptResult.GONE)
        self.assertFalse(first.backend.health.ejected)
        self.assertFalse(first.backend.unreachable)
        self.assertEqual(events[-1], BackendLeaving(first.backend))
        names = set()
        for _ in range(20):
            request = ticket()
            subject.submit(request, 0.2)
            assert request.backend is not None
            names.add(request.backend.name)
            subject.finish(request, 0.3, AttemptResult.ANSWERED)
        self.assertNotIn(first.backend.name, names)
