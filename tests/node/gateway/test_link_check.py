"""Requests with long responses are refused only for the bytes that others have queued."""

import contextlib
import unittest

from pewtertack.node.gateway.link_check import LinkCheck
from pewtertack.node.pacing import LinkPacer
from pewtertack.routing.admission import Admission
from pewtertack.routing.admission_ticket import AdmissionTicket
from pewtertack.routing.link import LinkScheduler
from pewtertack.routing.outcomes import DeadlineUnmeetableError

LINK_MBPS = 10.0
DOWNLOAD_BYTES = 90_000
RANK = (1, 2)
OBJECTIVE, DEADLINE = 0.4, 5.0


def wake_nobody() -> None:
    """Wake nobody."""


class LinkCheckTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 1000.0
        self.scheduler = LinkScheduler(LINK_MBPS)
        self.admission = Admission(4)
        self.pacer = LinkPacer(lambda: self.now, self.scheduler)

    def submit(self, objective: float = OBJECTIVE, nested: bool = False) -> AdmissionTicket:
        """Check and submit a request as a gateway does."""
        ticket = AdmissionTicket("export", RANK, self.now + objective, self.now + DEADLINE)
        ticket.nested = nested
        LinkCheck(self.pacer, self.admission, ticket).check(self.now)
        self.admission.submit(ticket, self.now)
        return ticket

    def serve(self, seconds: float) -> None:
        ticket = self.submit()
        self.now += seconds
        self.admission.finish(ticket, self.now, True)
        self.scheduler.note_answer_size("export", DOWNLOAD_BYTES)
        self.scheduler.note_sent(DOWNLOAD_BYTES, self.now)
        self.now += 1.0

    def test_slow_executions_do_not_block_a_route_forever(self) -> None:
        for seconds in (0.05, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 0.05):
            self.serve(seconds)

    def test_no_request_is_refused_for_its_objective_on_an_idle_link(self) -> None:
        self.serve(0.05)
        for objective in (0.08, -0.1):
            self.assertTrue(self.submit(objective).granted)

    def test_a_response_too_long_for_its_deadline_is_refused_except_one_probe_a_second(
        self,
    ) -> None:
        self.scheduler.note_answer_size("export", 50_000_000)
        granted_count = 0
        for _ in range(100):
            with contextlib.suppress(DeadlineUnmeetableError):
                granted_count += self.submit().granted
            self.now += 0.05
        self.assertIn(granted_count, (3, 4))

    def test_a_response_that_may_be_cut_at_its_deadline_is_refused(self) -> None:
        """Guards against a response that is cut at its caller's deadline after it has run.

        The bytes queued before it took somewhat longer to send than predicted, and the deadline
        was shortly after the objective.
        """
        self.serve(0.05)
        transfer = self.scheduler.transfer_time("export")
        while self.scheduler.queue_time(RANK, self.now) < 1.0:
            self.scheduler.enqueue(RANK, DOWNLOAD_BYTES, self.now + 60.0, wake_nobody)
        queued = self.scheduler.queue_time(RANK, self.now)
        execution_seconds = self.admission.expected_time("export")
        for deadline, accepted in (
            (execution_seconds + transfer + queued * 1.1, False),
            (execution_seconds + transfer + queued * 2, True),
        ):
            ticket = AdmissionTicket("export", RANK, self.now + 60.0, self.now + deadline)
            with self.subTest(deadline=deadline):
                check = LinkCheck(self.pacer, self.admission, ticket)
                with (
                    contextlib.nullcontext()
                    if accepted
                    else self.assertRaises(DeadlineUnmeetableError)
                ):
                    check.check(self.now)

    def test_a_response_delayed_by_others_is_refused_and_a_nested_call_only_for_its_deadline(
        self,
    ) -> None:
        self.serve(0.05)
        for _ in range(10):
            self.scheduler.enqueue(RANK, DOWNLOAD_BYTES, self.now + 1.0, wake_nobody)
        with self.assertRaises(DeadlineUnmeetableError):
            self.submit()
        self.assertTrue(self.submit(nested=True).granted)
        for _ in range(60):
            self.scheduler.enqueue(RANK, DOWNLOAD_BYTES, self.now + 1.0, wake_nobody)
        with self.assertRaises(DeadlineUnmeetableError):
            self.submit(nested=True)
