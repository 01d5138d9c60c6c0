"""The condition for a run to pass, and the text of its report."""

import unittest

import msgspec

from pewtertack.lab.history.verdicts import Guarantee, Judgement, Verdict, Violation
from pewtertack.lab.platform.application import ReaderCounters
from pewtertack.lab.records import CallOutcome, CallResult
from pewtertack.lab.report.convergence import Convergence
from pewtertack.lab.report.report import Report, routes_of
from pewtertack.lab.report.resources import NodeResources
from pewtertack.lab.report.statistics import distribution_of
from pewtertack.lab.report.table import format_report
from pewtertack.lab.report.traffic import PeerTraffic

EMPTY = distribution_of([])


def call_result(request_id: str, outcome: CallOutcome, latency: float) -> CallResult:
    return CallResult(
        time=1.0,
        request_id=request_id,
        node="n1",
        route="lookup",
        status=200,
        outcome=outcome,
        checksum_ok=True,
        own_answer=True,
        repeatable=True,
        latency=latency,
    )


def report(judgement: Judgement, *problems: str) -> Report:
    violation = Violation(1.0, "n1", "revision 1 in force after 2")
    violations = (violation,) if judgement is Judgement.VIOLATED else ()
    return Report(
        scenario="quiet",
        seed=1,
        without="",
        seconds=1.0,
        nodes=1,
        backends=1,
        edits=0,
        convergence=Convergence(EMPTY, EMPTY, 0, 0),
        traffic=PeerTraffic(1, 1.0, 1.0, 0.0, 0.0, 0.0),
        resources=NodeResources(EMPTY, EMPTY),
        source=ReaderCounters(),
        routes=routes_of(
            [
                call_result("a", CallOutcome.ANSWERED, 0.2),
                call_result("b", CallOutcome.NOT_RUN, 9.0),
            ]
        ),
        verdicts=[Verdict(Guarantee.REVISIONS_MONOTONIC, judgement, 1, violations)],
        required=[Guarantee.REVISIONS_MONOTONIC],
        problems=list(problems),
        stray_lines=[],
    )


class ReportTest(unittest.TestCase):
    def test_a_run_passes_only_if_required_guarantees_held_without_problems(self) -> None:
        self.assertTrue(report(Judgement.HELD).passed)
        self.assertFalse(report(Judgement.VIOLATED).passed)
        self.assertFalse(report(Judgement.UNTESTED).passed)
        self.assertFalse(report(Judgement.HELD, "n1 is not running at the end").passed)

    def test_the_text_contains_violations_and_problems(self) -> None:
        text = format_report(report(Judgement.VIOLATED, "odd"))
        self.assertIn("revision 1 in force after 2", text)
        self.assertIn("problem: odd", text)

    def test_latencies_cover_answered_calls_only(self) -> None:
        (route,) = report(Judgement.HELD).routes.values()
        self.assertEqual(route.outcomes, {"answered": 1, "not-run": 1})
        self.assertEqual(route.latency.max, 0.2)

    def test_the_report_survives_json_encoding_and_decoding(self) -> None:
        encoded = msgspec.json.encode(report(Judgement.HELD))
        self.assertEqual(msgspec.json.decode(encoded, type=Report), report(Judgement.HELD))
