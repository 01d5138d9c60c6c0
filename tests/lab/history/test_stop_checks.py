"""What was sent whole is answered: around planned stops and otherwise; back ends that return."""

import unittest

from pewtertack.lab.history.checker import check_history
from pewtertack.lab.history.verdicts import Guarantee, Judgement, Verdict
from pewtertack.lab.records import (
    BackendLeaveCancelled,
    BackendLeaving,
    CallOutcome,
    CallResult,
    ExecutionStart,
    HistoryLine,
    NodeExit,
    NodeKill,
    NodePause,
    NodeResume,
    NodeStart,
    NodeStop,
)

STOP = [
    NodeStart(time=0.0, node="b", zone="z"),
    NodeStop(time=10.0, node="b"),
    NodeExit(time=12.0, node="b", code=0),
]


GATEWAY = NodeStart(time=0.0, node="g", zone="z", beside="x")
RUN = ExecutionStart(time=8.0, request_id="r1", backend="x")


def told(
    time: float,
    outcome: CallOutcome,
    whole_for: float | None = 1.0,
    broken_off_after: int | None = None,
    begun_for: float | None = None,
) -> CallResult:
    return CallResult(
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
        broken_off_after=broken_off_after,
        begun_for=begun_for,
    )


class StopChecksTest(unittest.TestCase):
    def judge(self, *lines: HistoryLine) -> tuple[Judgement, Judgement]:
        verdicts = check_history(lines)
        by_promise = {verdict.promise: verdict.judgement for verdict in verdicts}
        return by_promise[Guarantee.SHUTDOWN_ANSWERS_ALL], by_promise[
            Guarantee.RUNNING_NODE_ANSWERS_ALL
        ]

    def test_an_answer_and_a_refusal_hold(self) -> None:
        for outcome in (CallOutcome.ANSWERED, CallOutcome.NOT_RUN, CallOutcome.UNKNOWN):
            judged = self.judge(*STOP, told(11.0, outcome), told(9.0, outcome))
            self.assertEqual(judged, (Judgement.HELD, Judgement.HELD))

    def test_no_answer_during_a_planned_stop(self) -> None:
        for outcome in (CallOutcome.CUT, CallOutcome.TIMED_OUT):
            judged = self.judge(*STOP, told(12.01, outcome))
            self.assertEqual(judged, (Judgement.VIOLATED, Judgement.UNTESTED))

    def test_no_answer_from_a_node_that_runs(self) -> None:
        judged = self.judge(*STOP, told(9.0, CallOutcome.CUT))
        self.assertEqual(judged, (Judgement.UNTESTED, Judgement.VIOLATED))

    def test_what_was_not_sent_whole_in_time_is_not_judged(self) -> None:
        for whole_for in (None, 0.1):
            judged = self.judge(*STOP, told(12.0, CallOutcome.CUT, whole_for))
            self.assertEqual(judged, (Judgement.UNTESTED, Judgement.UNTESTED))

    def test_a_kill_or_a_pause_cuts_what_it_cuts(self) -> None:
        kill = NodeKill(time=11.0, node="b")
        pause = [NodePause(time=8.0, node="b"), NodeResume(time=8.5, node="b")]
        for disturbance in ([kill], pause):
            judged = self.judge(*STOP, *disturbance, told(11.2, CallOutcome.CUT))
            self.assertEqual(judged, (Judgement.UNTESTED, Judgement.UNTESTED))
        judged = self.judge(*STOP, NodeKill(time=11.0, node="a"), told(11.2, CallOutcome.CUT))
        self.assertEqual(judged[0], Judgement.VIOLATED)


class InFlightTest(unittest.TestCase):
    """Calls that wait for those before them on their connection when its node is stopped."""

    def judge(self, begun_for: float | None) -> Judgement:
        cut = told(10.002, CallOutcome.CUT, whole_for=0.0001, begun_for=begun_for)
        verdicts = check_history([*STOP, cut])
        return next(v.judgement for v in verdicts if v.promise is Guarantee.SHUTDOWN_CUTS_NOTHING)

    def test_one_of_which_something_was_sent_is_in_flight(self) -> None:
        for begun_for in (0.003, 1.0, None):
            self.assertIs(self.judge(begun_for), Judgement.VIOLATED)

    def test_one_of_which_nothing_had_been_sent_is_not(self) -> None:
        self.assertIs(self.judge(0.001), Judgement.UNTESTED)


class BrokenOffAnswerTest(unittest.TestCase):
    """Answers of which callers got a part."""

    def judge(self, *lines: HistoryLine) -> dict[Guarantee, Verdict]:
        verdicts = check_history([*STOP, GATEWAY, RUN, *lines])
        return {verdict.promise: verdict for verdict in verdicts}

    def test_a_part_is_no_answer_during_a_planned_stop_or_otherwise(self) -> None:
        for time, promise in (
            (12.01, Guarantee.SHUTDOWN_ANSWERS_ALL),
            (9.0, Guarantee.RUNNING_NODE_ANSWERS_ALL),
        ):
            for outcome in (CallOutcome.CUT, CallOutcome.TIMED_OUT):
                verdict = self.judge(told(time, outcome, broken_off_after=16_384))[promise]
                self.assertIs(verdict.judgement, Judgement.VIOLATED)
                self.assertIn("broken off after 16384 bytes", verdict.offences[0].message)

    def test_a_kill_of_the_node_that_passed_it_on_cuts_what_it_cuts(self) -> None:
        broken_off = told(9.0, CallOutcome.CUT, broken_off_after=0)
        judged = self.judge(NodeKill(time=8.9, node="g"), broken_off)
        self.assertIs(judged[Guarantee.RUNNING_NODE_ANSWERS_ALL].judgement, Judgement.UNTESTED)
        broken_off = told(11.9, CallOutcome.CUT, broken_off_after=0)
        judged = self.judge(NodeKill(time=11.8, node="g"), broken_off)
        self.assertIs(judged[Guarantee.SHUTDOWN_ANSWERS_ALL].judgement, Judgement.UNTESTED)
        self.assertIs(judged[Guarantee.SHUTDOWN_CUTS_NOTHING].judgement, Judgement.UNTESTED)
        judged = self.judge(NodeKill(time=11.8, node="h"), broken_off)
        self.assertIs(judged[Guarantee.SHUTDOWN_CUTS_NOTHING].judgement, Judgement.VIOLATED)

    def test_a_pause_of_that_node_until_the_end_of_a_stop_cuts_what_it_cuts(self) -> None:
        broken_off = told(11.9, CallOutcome.CUT, broken_off_after=81_840)
        resumed = NodeResume(time=11.2, node="g")
        for pause in ([NodePause(time=9.8, node="g")], [NodePause(time=9.8, node="g"), resumed]):
            judged = self.judge(*pause, broken_off)
            self.assertIs(judged[Guarantee.SHUTDOWN_ANSWERS_ALL].judgement, Judgement.UNTESTED)
            self.assertIs(judged[Guarantee.SHUTDOWN_CUTS_NOTHING].judgement, Judgement.UNTESTED)

    def test_no_other_pause_excuses_it(self) -> None:
        before = [NodePause(time=9.8, node="g"), NodeResume(time=10.4, node="g")]
        other = [NodePause(time=10.5, node="h")]
        for pause in (before, other):
            judged = self.judge(*pause, told(11.9, CallOutcome.CUT, broken_off_after=81_840))
            self.assertIs(judged[Guarantee.SHUTDOWN_ANSWERS_ALL].judgement, Judgement.VIOLATED)
        begun = [NodePause(time=9.8, node="g")]
        judged = self.judge(*begun, told(11.9, CallOutcome.CUT))
        self.assertIs(judged[Guarantee.SHUTDOWN_ANSWERS_ALL].judgement, Judgement.VIOLATED)

    def test_no_other_end_of_another_node_excuses_it(self) -> None:
        broken_off = told(9.0, CallOutcome.CUT, broken_off_after=16_384)
        for line in (
            NodeStop(time=7.5, node="g"),
            NodePause(time=7.5, node="g"),
            NodeKill(time=6.9, node="g"),
            NodeKill(time=8.9, node="h"),
        ):
            judged = self.judge(line, broken_off)
            self.assertIs(judged[Guarantee.RUNNING_NODE_ANSWERS_ALL].judgement, Judgement.VIOLATED)

    def test_where_no_answer_had_begun_the_caller_s_node_could_have_answered(self) -> None:
        for outcome in (CallOutcome.CUT, CallOutcome.TIMED_OUT):
            judged = self.judge(NodeKill(time=8.9, node="g"), told(9.0, outcome))
            self.assertIs(judged[Guarantee.RUNNING_NODE_ANSWERS_ALL].judgement, Judgement.VIOLATED)


class LeavingTest(unittest.TestCase):
    def judge(self, *lines: HistoryLine) -> Judgement:
        verdicts = check_history([BackendLeaving(time=1.0, backend="x"), *lines])
        return {verdict.promise: verdict.judgement for verdict in verdicts}[
            Guarantee.LEAVING_GETS_NO_WORK
        ]

    def test_work_after_the_return_is_no_offence_and_work_before_it_stays_one(self) -> None:
        returned = BackendLeaveCancelled(time=9.0, backend="x")
        late = ExecutionStart(time=8.0, request_id="r1", backend="x")
        later = ExecutionStart(time=10.0, request_id="r2", backend="x")
        self.assertEqual(self.judge(returned, later), Judgement.HELD)
        self.assertEqual(self.judge(returned, late, later), Judgement.VIOLATED)
        self.assertEqual(self.judge(later), Judgement.VIOLATED)
