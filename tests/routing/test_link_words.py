"""Senders choose a back end whose node's link is free, according to gateways' reports."""

import unittest
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from pewtertack.core.machines import MachineList
from pewtertack.routing.attempt_results import AttemptResult
from pewtertack.routing.backend import Backend, LoadReport
from pewtertack.routing.dispatcher import Dispatcher
from pewtertack.routing.link_words import (
    MAX_REPORTED_MS,
    MILLISECONDS_PER_SECOND,
    LinkReport,
    format_link_report,
    parse_link_report,
)
from pewtertack.routing.queueing import Ticket
from tests.routing.samples import route, service
from tests.routing.test_gateway_choice import gated

TRANSFER_SECONDS = 0.15
"""Time for which a long answer alone occupies a link."""
EXECUTION_SECONDS = 0.1
OBJECTIVE = 2.0


class LinkReportTest(unittest.TestCase):
    @given(st.floats(0.0, 100.0), st.floats(0.0, 100.0))
    def test_a_formatted_report_is_parsed(
        self, queue_seconds: float, transfer_seconds: float
    ) -> None:
        text = format_link_report(queue_seconds, transfer_seconds)
        if text is None:
            self.assertLess(max(queue_seconds, transfer_seconds), 1 / MILLISECONDS_PER_SECOND)
            return
        report = parse_link_report(text)
        assert report is not None
        longest = MAX_REPORTED_MS / MILLISECONDS_PER_SECOND
        self.assertAlmostEqual(
            report.queue_seconds, min(queue_seconds, longest), delta=1 / MILLISECONDS_PER_SECOND
        )
        self.assertAlmostEqual(
            report.transfer_seconds,
            min(transfer_seconds, longest),
            delta=1 / MILLISECONDS_PER_SECOND,
        )

    def test_there_is_no_report_on_an_idle_link_of_short_answers(self) -> None:
        self.assertIsNone(format_link_report(0.0, 0.0))

    def test_malformed_reports_are_rejected(self) -> None:
        for text in ("", "/", "5", "5/", "/5", "-1/5", "1.5/5", "5/5/5", "x/5", "٣/5", "10001/0"):
            with self.subTest(text):
                self.assertIsNone(parse_link_report(text))

    @given(st.text(max_size=20))
    def test_any_text_can_be_parsed(self, text: str) -> None:
        report = parse_link_report(text)
        if report is not None:
            self.assertLessEqual(
                max(report.queue_seconds, report.transfer_seconds),
                MAX_REPORTED_MS / MILLISECONDS_PER_SECOND,
            )


class FirstOfEquals(Random):
    """Always draws the first of several equal back ends."""

    def random(self) -> float:
        return 0.0


class LinkChoiceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 0.0
        self.reset()

    def reset(self) -> None:
        """Start with a dispatcher that knows nothing of any back end."""
        self.subject = Dispatcher(FirstOfEquals())
        self.subject.use_zone("ikeja")

    def use(self, *names: str, far: tuple[str, ...] = ()) -> Dispatcher:
        near = [gated(name) for name in names]
        others = [gated(name, zone="yaba") for name in far]
        self.subject.use_machines(MachineList(2, (*near, *others)), self.now)
        return self.subject

    def submit(self, name: str = "export") -> Ticket:
        request = Ticket(route(name, target_latency=OBJECTIVE), service(), self.now + 6.0)
        self.subject.submit(request, self.now)
        return request

    def chosen(self, name: str = "export") -> str:
        ticket = self.submit(name)
        self.subject.finish(ticket, self.now, AttemptResult.CANCELLED)
        assert ticket.backend is not None
        return ticket.backend.name

    def report_link(
        self, name: str, queue_seconds: float, transfer_seconds: float = TRANSFER_SECONDS
    ) -> None:
        """Let the back end's gateway report on its link, with the answer to a request there."""
        ticket = Ticket(route("export", target_latency=OBJECTIVE), service(), self.now + 6.0)
        ticket.started_at = self.now - EXECUTION_SECONDS
        ticket.backend = next(item for item in self.backends if item.name == name)
        ticket.backend.note_start(self.now)
        self.subject.service("logbook").in_flight += 1
        self.subject.note_answer(ticket, self.now, LoadReport(1, 2), leaving=False)
        self.subject.note_link_report(
            ticket, LinkReport(queue_seconds, transfer_seconds), self.now, with_answer=True
        )
        self.subject.finish(ticket, self.now, AttemptResult.ANSWERED)

    @property
    def backends(self) -> tuple[Backend, ...]:
        """All back ends; the first one is chosen if they are equal."""
        self.subject.service("logbook").configure(service())
        return self.subject.service("logbook").backends

    def forget_links(self) -> None:
        for item in self.backends:
            item.link_free_at = 0.0

    def test_the_back_end_with_the_free_link_is_chosen(self) -> None:
        self.use("busy", "free")
        self.assertEqual(self.chosen(), "busy")
        self.report_link("busy", 1.0)
        self.assertEqual(self.chosen(), "free")

    def test_short_answers_ignore_link_reports(self) -> None:
        self.use("busy", "free")
        self.report_link("busy", 5.0)
        self.assertEqual(self.chosen("lookup"), "busy")

    def test_a_reported_queue_shrinks_at_the_rate_of_the_link(self) -> None:
        self.use("busy", "free")
        self.report_link("busy", 1.0)
        self.now = 1.0
        self.assertEqual([item.link_wait(self.now) for item in self.backends], [0.0, 0.0])
        self.assertEqual(self.chosen(), "busy")

    def test_a_gateway_that_crashes_after_a_report_is_forgotten(self) -> None:
        self.use("busy", "free")
        self.report_link("busy", MAX_REPORTED_MS / MILLISECONDS_PER_SECOND)
        self.use("free")
        self.assertEqual(self.chosen(), "free")
        self.use("busy", "free")
        self.forget_links()
        self.assertEqual(self.chosen(), "busy")

    def test_a_wrong_report_counts_until_the_next(self) -> None:
        self.use("liar", "free")
        self.report_link("liar", MAX_REPORTED_MS / MILLISECONDS_PER_SECOND)
        self.assertEqual(self.chosen(), "free")
        self.now = 0.1
        ticket = self.submit("lookup")
        ticket.backend = self.backends[0]
        self.subject.note_link_report(
            ticket, LinkReport(0.0, TRANSFER_SECONDS), self.now, with_answer=True
        )
        self.assertLess(ticket.backend.link_wait(self.now), TRANSFER_SECONDS)

    def test_own_requests_count_until_the_next_report(self) -> None:
        self.use("one", "two")
        self.report_link("one", 0.0)
        names = [self.submit().backend for _ in range(6)]
        self.assertEqual([sum(item is other for item in names) for other in set(names)], [3, 3])

    def test_another_zone_is_chosen_if_the_own_links_would_make_it_late(self) -> None:
        for queue_seconds, expected in ((1.0, "near"), (OBJECTIVE, "far")):
            with self.subTest(queue_seconds):
                self.reset()
                self.use("near", far=("far",))
                self.report_link("near", queue_seconds)
                self.assertEqual(self.chosen(), expected)

    def test_the_own_zone_is_chosen_if_all_links_are_full(self) -> None:
        self.use("near", far=("far",))
        self.report_link("near", 2 * OBJECTIVE)
        far = self.backends[1]
        far.note_link_queue(self.now, 3 * OBJECTIVE)
        self.assertEqual(self.chosen(), "near")

    def test_a_route_whose_answers_become_short_ignores_links(self) -> None:
        self.use("busy", "free")
        self.report_link("busy", 5.0)
        self.report_link("free", 0.1, transfer_seconds=0.0)
        self.assertEqual(self.chosen(), "busy")

    def test_a_refusal_reports_the_link_but_no_execution_time(self) -> None:
        self.use("busy", "free")
        refused = self.submit()
        assert refused.backend is not None
        self.subject.note_link_report(
            refused, LinkReport(1.0, TRANSFER_SECONDS), self.now, with_answer=False
        )
        self.subject.finish(refused, self.now, AttemptResult.REFUSED)
        self.assertEqual(refused.backend.link_wait(self.now), 1.0)
        self.assertEqual(self.subject.service("logbook")._long_routes, {})


if __name__ == "__main__":
    unittest.main()
