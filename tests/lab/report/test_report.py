"""When a run counts as passed, and what its text shows."""

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

NOTHING = distribution_of([])


def told(request_id: str, outcome: CallOutcome, latency: float) -> CallResult:
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
    offence = Violation(1.0, "n1", "revision 1 in force after 2")
    offences = (offence,) if judgement is Judgement.VIOLATED else ()
    return Report(
        scenario="quiet",
        seed=1,
        without="",
        seconds=1.0,
        nodes=1,
        backends=1,
        edits=0,
        convergence=Convergence(NOTHING, NOTHING, 0, 0),
        traffic=PeerTraffic(1, 1.0, 1.0, 0.0, 0.0, 0.0),
        resources=NodeResources(NOTHING, NOTHING),
        source=ReaderCounters(),
        routes=routes_of(
            [told("a", CallOutcome.ANSWERED, 0.2), told("b", CallOutcome.NOT_RUN, 9.0)]
        ),
        verdicts=[Verdict(Guarantee.REVISIONS_MONOTONIC, judgement, 1, offences)],
        required=[Guarantee.REVISIONS_MONOTONIC],
        problems=list(problems),
        stray_lines=[],
    )


class ReportTest(unittest.TestCase):
    def test_only_a_judged_and_held_promise_passes(self) -> None:
        self.assertTrue(report(Judgement.HELD).passed)
        self.assertFalse(report(Judgement.VIOLATED).passed)
        self.assertFalse(report(Judgement.UNTESTED).passed)
        self.assertFalse(report(Judgement.HELD, "n1 does not run at the end").passed)

    def test_the_text_names_offences_and_problems(self) -> None:
        text = format_report(report(Judgement.VIOLATED, "odd"))
        self.assertIn("revision 1 in force after 2", text)
        self.assertIn("problem: odd", text)

    def test_latencies_are_those_of_answers(self) -> None:
        (route,) = report(Judgement.HELD).routes.values()
        self.assertEqual(route.outcomes, {"answered": 1, "not-run": 1})
        self.assertEqual(route.latency.max, 0.2)

    def test_the_report_is_json(self) -> None:
        encoded = msgspec.json.encode(report(Judgement.HELD))
        self.assertEqual(msgspec.json.decode(encoded, type=Report), report(Judgement.HELD))
