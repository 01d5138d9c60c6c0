"""Counts, limits and queue positions are consistent whatever callers and back ends do."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from pewtertack.core.configuration.resolved import WorkClass
from pewtertack.core.machines import MachineList, MachineState
from pewtertack.routing.attempt_results import AttemptResult
from pewtertack.routing.backend import LoadReport
from pewtertack.routing.dispatcher import Dispatcher
from pewtertack.routing.outcomes import NotRunError
from pewtertack.routing.queueing import Ticket
from tests.routing.samples import backend, dispatcher, service, ticket

NAMES = ("a", "b", "c")
Step = tuple[str, int, AttemptResult, WorkClass, float]
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["submit", "submit", "submit", "finish", "finish", "recheck", "leave"]),
        st.integers(0, 20),
        st.sampled_from(list(AttemptResult)),
        st.sampled_from(list(WorkClass)),
        st.floats(0, 0.5),
    ),
    max_size=80,
)


class DispatcherProperties(unittest.TestCase):
    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(STEPS)
    def test_counts_limits_and_queue_positions(self, steps: list[Step]) -> None:
        subject, now = dispatcher(*NAMES), 0.0
        tickets: list[Ticket] = []
        leaving: set[str] = set()
        for action, pick, result, work_class, pause in steps:
            now += pause
            granted_before = {item for item in tickets if item.backend}
            if action == "submit":
                self.submit(subject, tickets, ticket(now + 2, work_class=work_class), now)
            elif action == "finish":
                self.finish(subject, tickets, pick, result, now)
            elif action == "recheck":
                self.recheck(subject, tickets, now)
            elif len(leaving) < 2:
                leaving.add(NAMES[pick % 3])
                left = [backend(name, state=MachineState.LEAVING) for name in leaving]
                stay = [backend(name) for name in NAMES if name not in leaving]
                subject.use_machines(MachineList(2, (*left, *stay)), now)
            fresh = {item for item in tickets if item.backend} - granted_before
            self.assertFalse(leaving & {item.backend.name for item in fresh if item.backend})
            self.verify(subject, tickets)
        self.recheck(subject, tickets, now + 20)
        self.assertTrue(all(item.backend or item.refusal for item in tickets))

    def recheck(self, subject: Dispatcher, tickets: list[Ticket], now: float) -> None:
        for item in tickets:
            if not (item.backend or item.refusal):
                subject.check(item, now)

    def submit(self, subject: Dispatcher, tickets: list[Ticket], item: Ticket, now: float) -> None:
        try:
            subject.submit(item, now)
        except NotRunError:
            return
        tickets.append(item)

    def finish(
        self,
        subject: Dispatcher,
        tickets: list[Ticket],
        pick: int,
        result: AttemptResult,
        now: float,
    ) -> None:
        running = [item for item in tickets if item.backend and not item.finished]
        if running:
            item = running[pick % len(running)]
            if result is AttemptResult.ANSWERED:
                subject.note_answer(item, now, LoadReport(pick % 9, 6), leaving=False)
            subject.finish(item, now, result)

    def verify(self, subject: Dispatcher, tickets: list[Ticket]) -> None:
        running = [item for item in tickets if item.backend and not item.finished]
        state = subject.service("logbook")
        self.assertEqual(state.in_flight, len(running))
        for item in state.backends:
            in_flight = sum(one.backend is item for one in running)
            self.assertEqual(item.in_flight, in_flight)
            self.assertLessEqual(in_flight, service().slots_per_backend)
        waiting = [item for item in tickets if not (item.backend or item.refusal)]
        self.assertEqual(len(state.queue), len(waiting))
        self.assertLessEqual(len(waiting), 20)
