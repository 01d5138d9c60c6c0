"""Requests of long answers are refused for what others put on the link, for nothing else."""

import contextlib
import unittest

from pewtertack.node.gateway.link_check import LinkCheck
from pewtertack.node.pacing import LinkPacer
from pewtertack.routing.admission import Admission
from pewtertack.routing.admission_ticket import AdmissionTicket
from pewtertack.routing.link import LinkScheduler
from pewtertack.routing.outcomes import DeadlineUnmeetableError

MEGABITS = 10.0
DOWNLOAD = 90_000
RANK = (1, 2)
OBJECTIVE, DEADLINE = 0.4, 5.0


def nobody() -> None:
    """Wake nobody."""


class LinkCheckTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 1000.0
        self.share = LinkScheduler(MEGABITS)
        self.admission = Admission(4)
        self.pacer = LinkPacer(lambda: self.now, self.share)

    def submit(self, objective: float = OBJECTIVE, within: bool = False) -> AdmissionTicket:
        """Submit a request as a gateway does."""
        made = AdmissionTicket("export", RANK, self.now + objective, self.now + DEADLINE)
        made.nested = within
        LinkCheck(self.pacer, self.admission, made).check(self.now)
        self.admission.submit(made, self.now)
        return made

    def serve(self, seconds: float) -> None:
        made = self.submit()
        self.now += seconds
        self.admission.finish(made, self.now, True)
        self.share.note_answer_size("export", DOWNLOAD)
        self.share.note_sent(DOWNLOAD, self.now)
        self.now += 1.0

    def test_a_slow_time_does_not_shut_a_route_for_good(self) -> None:
        for seconds in (0.05, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 0.05):
            self.serve(seconds)

    def test_on_an_idle_link_nothing_is_refused_for_its_objective(self) -> None:
        self.serve(0.05)
        for objective in (0.08, -0.1):
            self.assertTrue(self.submit(objective).granted)

    def test_what_is_too_long_for_its_deadline_is_refused_but_for_a_probe_a_second(self) -> None:
        self.share.note_answer_size("export", 50_000_000)
        passed = 0
        for _ in range(100):
            with contextlib.suppress(DeadlineUnmeetableError):
                passed += self.submit().granted
            self.now += 0.05
        self.assertIn(passed, (3, 4))

    def test_what_may_be_broken_off_at_its_deadline_is_refused(self) -> None:
        """An answer that had run was cut at its caller's deadline, close behind its objective.

        What stood before it took somewhat longer than reckoned.
        """
        self.serve(0.05)
        own = self.share.transfer_time("export")
        while self.share.queue_time(RANK, self.now) < 1.0:
            self.share.enqueue(RANK, DOWNLOAD, self.now + 60.0, nobody)
        ahead = self.share.queue_time(RANK, self.now)
        run = self.admission.expected_time("export")
        for deadline, taken in ((run + own + ahead * 1.1, False), (run + own + ahead * 2, True)):
            made = AdmissionTicket("export", RANK, self.now + 60.0, self.now + deadline)
            with self.subTest(deadline=deadline):
                check = LinkCheck(self.pacer, self.admission, made)
                with (
                    contextlib.nullcontext()
                    if taken
                    else self.assertRaises(DeadlineUnmeetableError)
                ):
                    check.check(self.now)

    def test_what_others_make_late_is_refused_and_calls_within_by_their_deadline(self) -> None:
        self.serve(0.05)
        for _ in range(10):
            self.share.enqueue(RANK, DOWNLOAD, self.now + 1.0, nobody)
        with self.assertRaises(DeadlineUnmeetableError):
            self.submit()
        self.assertTrue(self.submit(within=True).granted)
        for _ in range(60):
            self.share.enqueue(RANK, DOWNLOAD, self.now + 1.0, nobody)
        with self.assertRaises(DeadlineUnmeetableError):
            self.submit(within=True)
