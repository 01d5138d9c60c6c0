"""Choice of a back end: load, zones, slow start, leaving."""

import unittest
from collections import Counter
from random import Random
from typing import Any

from pewtertack.core.machines import MachineList, MachineState
from pewtertack.routing.attempt_results import AttemptResult
from pewtertack.routing.backend import LoadReport, parse_load
from pewtertack.routing.dispatcher import Dispatcher
from pewtertack.routing.outcomes import NoBackendError
from tests.routing.samples import backend, dispatcher, machines, service, ticket


def placed(subject: Dispatcher, now: float = 0.0, **settings: Any) -> str:
    """Place one request, answer it at once and return the name of its back end."""
    request = ticket(now + 5, service(**settings))
    subject.submit(request, now)
    assert request.backend is not None
    name = request.backend.name
    subject.note_answer(request, now, None, leaving=False)
    subject.finish(request, now, AttemptResult.ANSWERED)
    return name


class ChoiceTest(unittest.TestCase):
    def test_a_busy_back_end_is_avoided(self) -> None:
        subject = dispatcher("a", "b", "c")
        held = ticket()
        subject.submit(held, 0.0)
        assert held.backend is not None
        counts = Counter(placed(subject) for _ in range(60))
        self.assertLess(counts[held.backend.name], 10)

    def test_a_report_counts_less_as_it_ages(self) -> None:
        subject = dispatcher("a", "b")
        first = ticket()
        subject.submit(first, 0.0)
        busy = first.backend
        assert busy is not None
        subject.note_answer(first, 0.0, LoadReport(6, 6), leaving=False)
        subject.finish(first, 0.0, AttemptResult.ANSWERED)
        soon = Counter(placed(subject, 0.1) for _ in range(20))
        late = Counter(placed(subject, 20.0) for _ in range(100))
        self.assertEqual(soon[busy.name], 0)
        self.assertGreater(late[busy.name], 20)

    def test_the_own_zone_is_preferred_until_it_is_saturated(self) -> None:
        subject = Dispatcher(Random(1))
        subject.use_zone("ikeja")
        listed = (backend("near"), backend("far", zone="yaba"), backend("far2", zone="yaba"))
        subject.use_machines(MachineList(1, listed), 0.0)
        self.assertEqual({placed(subject) for _ in range(20)}, {"near"})
        requests = [ticket() for _ in range(5)]
        for request in requests:
            subject.submit(request, 0.0)
        self.assertEqual(
            {request.backend.name for request in requests if request.backend},
            {"near", "far", "far2"},
        )

    def test_a_new_back_end_gets_little_work_during_its_slow_start(self) -> None:
        subject = dispatcher("a", "b")
        subject.use_machines(machines("a", "b", "cold", number=2), 100.0)
        early = Counter(placed(subject, 100.0, slow_start=10.0) for _ in range(200))
        late = Counter(placed(subject, 111.0, slow_start=10.0) for _ in range(200))
        self.assertLess(early["cold"], 20)
        self.assertGreater(late["cold"], 40)

    def test_a_back_end_that_announces_leaving_gets_no_work_in_this_incarnation(self) -> None:
        subject = dispatcher("a")
        request = ticket()
        subject.submit(request, 0.0)
        subject.note_answer(request, 0.0, None, leaving=True)
        subject.finish(request, 0.0, AttemptResult.ANSWERED)
        subject.use_machines(machines("a", number=2), 1.0)
        with self.assertRaises(NoBackendError):
            placed(subject, 1.0)
        subject.use_machines(machines("a", number=3, address="127.0.0.1:2"), 2.0)
        self.assertEqual(placed(subject, 2.0), "a")

    def test_leaving_by_the_list_is_permanent_and_old_lists_are_ignored(self) -> None:
        subject = dispatcher("a", "b")
        listed = (backend("a", state=MachineState.LEAVING), backend("b"))
        subject.use_machines(MachineList(3, listed), 1.0)
        subject.use_machines(machines("a", number=2), 2.0)
        self.assertEqual({placed(subject, 2.0) for _ in range(20)}, {"b"})
        subject.use_machines(machines("a", "b", number=4), 3.0)
        self.assertEqual({placed(subject, 3.0) for _ in range(20)}, {"b"})

    def test_a_stalled_back_end_is_avoided(self) -> None:
        subject = dispatcher("a", "b")
        stuck = ticket(50.0)
        subject.submit(stuck, 0.0)
        assert stuck.backend is not None
        other = ({"a", "b"} - {stuck.backend.name}).pop()
        busy = ticket(50.0)
        subject.submit(busy, 2.9)
        subject.note_answer(busy, 3.0, LoadReport(4, 6), leaving=False)
        subject.finish(busy, 3.0, AttemptResult.ANSWERED)
        self.assertEqual({placed(subject, 3.0) for _ in range(20)}, {other})

    def test_malformed_load_reports_are_ignored(self) -> None:
        self.assertEqual(parse_load("3/6"), LoadReport(3, 6))
        for text in (None, "", "3", "3/0", "-1/6", "a/b", "1/" + "9" * 30):
            self.assertIsNone(parse_load(text))
