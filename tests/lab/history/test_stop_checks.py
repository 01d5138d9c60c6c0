"""What was sent whole is answered: around planned stops and otherwise; back ends that return."""

import unittest

from pewtertack.lab.history.checker import check_history
from pewtertack.lab.history.verdicts import Judgement, Promise
from pewtertack.lab.records import (
    BackendLeaving,
    BackendReturn,
    ExecutionStart,
    HistoryLine,
    NodeExit,
    NodeKill,
    NodePause,
    NodeResume,
    NodeStart,
    NodeStop,
    Told,
    ToldOutcome,
)

STOP = [
    NodeStart(time=0.0, node="b", zone="z"),
    NodeStop(time=10.0, node="b"),
    NodeExit(time=12.0, node="b", code=0),
]


def told(time: float, outcome: ToldOutcome, whole_for: float | None = 1.0) -> Told:
    return Told(
        time=time,
        request_id="r1",
        node="b",
        route="upload",
        status=0,
        outcome=outcome,
        checksum_ok=True,
        own_answer=True,
        repeatable=False,
        latency=2.0,
        whole_for=whole_for,
    )


class StopChecksTest(unittest.TestCase):
    def judge(self, *lines: HistoryLine) -> tuple[Judgement, Judgement]:
        verdicts = check_history(lines)
        by_promise = {verdict.promise: verdict.judgement for verdict in verdicts}
        return by_promise[Promise.STOP_ANSWERS_ALL], by_promise[Promise.SENT_IS_ANSWERED]

    def test_an_answer_and_a_refusal_hold(self) -> None:
        for outcome in (ToldOutcome.ANSWERED, ToldOutcome.NOT_RUN, ToldOutcome.UNKNOWN):
            judged = self.judge(*STOP, told(11.0, outcome), told(9.0, outcome))
            self.assertEqual(judged, (Judgement.HELD, Judgement.HELD))

    def test_no_answer_during_a_planned_stop(self) -> None:
        for outcome in (ToldOutcome.CUT, ToldOutcome.TIMED_OUT):
            judged = self.judge(*STOP, told(12.01, outcome))
            self.assertEqual(judged, (Judgement.VIOLATED, Judgement.TOO_THIN))

    def test_no_answer_from_a_node_that_runs(self) -> None:
        judged = self.judge(*STOP, told(9.0, ToldOutcome.CUT))
        self.assertEqual(judged, (Judgement.TOO_THIN, Judgement.VIOLATED))

    def test_what_was_not_sent_whole_in_time_is_not_judged(self) -> None:
        for whole_for in (None, 0.1):
            judged = self.judge(*STOP, told(12.0, ToldOutcome.CUT, whole_for))
            self.assertEqual(judged, (Judgement.TOO_THIN, Judgement.TOO_THIN))

    def test_a_kill_or_a_pause_cuts_what_it_cuts(self) -> None:
        kill = NodeKill(time=11.0, node="b")
        pause = [NodePause(time=8.0, node="b"), NodeResume(time=8.5, node="b")]
        for disturbance in ([kill], pause):
            judged = self.judge(*STOP, *disturbance, told(11.2, ToldOutcome.CUT))
            self.assertEqual(judged, (Judgement.TOO_THIN, Judgement.TOO_THIN))
        judged = self.judge(*STOP, NodeKill(time=11.0, node="a"), told(11.2, ToldOutcome.CUT))
        self.assertEqual(judged[0], Judgement.VIOLATED)


class LeavingTest(unittest.TestCase):
    def judge(self, *lines: HistoryLine) -> Judgement:
        verdicts = check_history([BackendLeaving(time=1.0, backend="x"), *lines])
        return {verdict.promise: verdict.judgement for verdict in verdicts}[Promise.LEAVING_UNUSED]

    def test_work_after_the_return_is_no_offence_and_work_before_it_stays_one(self) -> None:
        returned = BackendReturn(time=9.0, backend="x")
        late = ExecutionStart(time=8.0, request_id="r1", backend="x")
        later = ExecutionStart(time=10.0, request_id="r2", backend="x")
        self.assertEqual(self.judge(returned, later), Judgement.HELD)
        self.assertEqual(self.judge(returned, late, later), Judgement.VIOLATED)
        self.assertEqual(self.judge(later), Judgement.VIOLATED)
