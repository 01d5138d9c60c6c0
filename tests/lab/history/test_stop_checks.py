"""Checks that completely sent requests are answered, and checks of leaving back ends."""

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

SHUTDOWN: list[HistoryLine] = [
    NodeStart(time=0.0, node="b", zone="z"),
    NodeStop(time=10.0, node="b"),
    NodeExit(time=12.0, node="b", code=0),
]


GATEWAY = NodeStart(time=0.0, node="g", zone="z", beside="x")
EXECUTION = ExecutionStart(time=8.0, request_id="r1", backend="x")


def call_result(
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


class ShutdownChecksTest(unittest.TestCase):
    def judge(self, *lines: HistoryLine) -> tuple[Judgement, Judgement]:
        verdicts = check_history(lines)
        by_guarantee = {verdict.promise: verdict.judgement for verdict in verdicts}
        return by_guarantee[Guarantee.SHUTDOWN_ANSWERS_ALL], by_guarantee[
            Guarantee.RUNNING_NODE_ANSWERS_ALL
        ]

    def test_responses_and_refusals_hold(self) -> None:
        for outcome in (CallOutcome.ANSWERED, CallOutcome.NOT_RUN, CallOutcome.UNKNOWN):
            judgements = self.judge(
                *SHUTDOWN, call_result(11.0, outcome), call_result(9.0, outcome)
            )
            self.assertEqual(judgements, (Judgement.HELD, Judgement.HELD))

    def test_a_call_without_response_during_a_shutdown_is_a_violation(self) -> None:
        for outcome in (CallOutcome.CUT, CallOutcome.TIMED_OUT):
            judgements = self.judge(*SHUTDOWN, call_result(12.01, outcome))
            self.assertEqual(judgements, (Judgement.VIOLATED, Judgement.UNTESTED))

    def test_a_call_without_response_from_a_running_node_is_a_violation(self) -> None:
        judgements = self.judge(*SHUTDOWN, call_result(9.0, CallOutcome.CUT))
        self.assertEqual(judgements, (Judgement.UNTESTED, Judgement.VIOLATED))

    def test_requests_not_sent_completely_in_time_are_not_judged(self) -> None:
        for whole_for in (None, 0.1):
            judgements = self.judge(*SHUTDOWN, call_result(12.0, CallOutcome.CUT, whole_for))
            self.assertEqual(judgements, (Judgement.UNTESTED, Judgement.UNTESTED))

    def test_cuts_by_a_kill_or_a_pause_of_the_node_are_not_judged(self) -> None:
        kill = NodeKill(time=11.0, node="b")
        pause: list[HistoryLine] = [NodePause(time=8.0, node="b"), NodeResume(time=8.5, node="b")]
        kills: list[HistoryLine] = [kill]
        for disturbance in (kills, pause):
            judgements = self.judge(*SHUTDOWN, *disturbance, call_result(11.2, CallOutcome.CUT))
            self.assertEqual(judgements, (Judgement.UNTESTED, Judgement.UNTESTED))
        judgements = self.judge(
            *SHUTDOWN, NodeKill(time=11.0, node="a"), call_result(11.2, CallOutcome.CUT)
        )
        self.assertEqual(judgements[0], Judgement.VIOLATED)


class InFlightTest(unittest.TestCase):
    """Calls that wait for earlier calls on their connection when the shutdown starts."""

    def judge(self, begun_for: float | None) -> Judgement:
        cut = call_result(10.002, CallOutcome.CUT, whole_for=0.0001, begun_for=begun_for)
        verdicts = check_history([*SHUTDOWN, cut])
        return next(v.judgement for v in verdicts if v.promise is Guarantee.SHUTDOWN_CUTS_NOTHING)

    def test_a_call_whose_first_byte_was_sent_is_in_flight(self) -> None:
        for begun_for in (0.003, 1.0, None):
            self.assertIs(self.judge(begun_for), Judgement.VIOLATED)

    def test_a_call_of_which_nothing_was_sent_is_not_in_flight(self) -> None:
        self.assertIs(self.judge(0.001), Judgement.UNTESTED)


class PartialResponseTest(unittest.TestCase):
    """Responses that callers received partially."""

    def judge(self, *lines: HistoryLine) -> dict[Guarantee, Verdict]:
        verdicts = check_history([*SHUTDOWN, GATEWAY, EXECUTION, *lines])
        return {verdict.promise: verdict for verdict in verdicts}

    def test_a_partial_response_is_no_answer_during_a_shutdown_or_otherwise(self) -> None:
        for time, guarantee in (
            (12.01, Guarantee.SHUTDOWN_ANSWERS_ALL),
            (9.0, Guarantee.RUNNING_NODE_ANSWERS_ALL),
        ):
            for outcome in (CallOutcome.CUT, CallOutcome.TIMED_OUT):
                verdict = self.judge(call_result(time, outcome, broken_off_after=16_384))[guarantee]
                self.assertIs(verdict.judgement, Judgement.VIOLATED)
                self.assertIn("broken off after 16384 bytes", verdict.offences[0].message)

    def test_a_kill_of_the_gateway_node_excuses_a_partial_response(self) -> None:
        cut_response = call_result(9.0, CallOutcome.CUT, broken_off_after=0)
        verdicts = self.judge(NodeKill(time=8.9, node="g"), cut_response)
        self.assertIs(verdicts[Guarantee.RUNNING_NODE_ANSWERS_ALL].judgement, Judgement.UNTESTED)
        cut_response = call_result(11.9, CallOutcome.CUT, broken_off_after=0)
        verdicts = self.judge(NodeKill(time=11.8, node="g"), cut_response)
        self.assertIs(verdicts[Guarantee.SHUTDOWN_ANSWERS_ALL].judgement, Judgement.UNTESTED)
        self.assertIs(verdicts[Guarantee.SHUTDOWN_CUTS_NOTHING].judgement, Judgement.UNTESTED)
        verdicts = self.judge(NodeKill(time=11.8, node="h"), cut_response)
        self.assertIs(verdicts[Guarantee.SHUTDOWN_CUTS_NOTHING].judgement, Judgement.VIOLATED)

    def test_a_late_pause_of_the_gateway_node_excuses_it_during_a_shutdown(
        self,
    ) -> None:
        cut_response = call_result(11.9, CallOutcome.CUT, broken_off_after=81_840)
        resumed = NodeResume(time=11.2, node="g")
        for pause in ([NodePause(time=9.8, node="g")], [NodePause(time=9.8, node="g"), resumed]):
            verdicts = self.judge(*pause, cut_response)
            self.assertIs(verdicts[Guarantee.SHUTDOWN_ANSWERS_ALL].judgement, Judgement.UNTESTED)
            self.assertIs(verdicts[Guarantee.SHUTDOWN_CUTS_NOTHING].judgement, Judgement.UNTESTED)

    def test_an_earlier_pause_or_one_of_another_node_excuses_nothing(self) -> None:
        before = [NodePause(time=9.8, node="g"), NodeResume(time=10.4, node="g")]
        other = [NodePause(time=10.5, node="h")]
        for pause in (before, other):
            verdicts = self.judge(
                *pause, call_result(11.9, CallOutcome.CUT, broken_off_after=81_840)
            )
            self.assertIs(verdicts[Guarantee.SHUTDOWN_ANSWERS_ALL].judgement, Judgement.VIOLATED)
        late_pause = [NodePause(time=9.8, node="g")]
        verdicts = self.judge(*late_pause, call_result(11.9, CallOutcome.CUT))
        self.assertIs(verdicts[Guarantee.SHUTDOWN_ANSWERS_ALL].judgement, Judgement.VIOLATED)

    def test_other_disturbances_excuse_nothing_while_the_node_runs(self) -> None:
        cut_response = call_result(9.0, CallOutcome.CUT, broken_off_after=16_384)
        for line in (
            NodeStop(time=7.5, node="g"),
            NodePause(time=7.5, node="g"),
            NodeKill(time=6.9, node="g"),
            NodeKill(time=8.9, node="h"),
        ):
            verdicts = self.judge(line, cut_response)
            self.assertIs(
                verdicts[Guarantee.RUNNING_NODE_ANSWERS_ALL].judgement, Judgement.VIOLATED
            )

    def test_a_kill_of_the_gateway_node_excuses_no_call_without_any_response(self) -> None:
        for outcome in (CallOutcome.CUT, CallOutcome.TIMED_OUT):
            verdicts = self.judge(NodeKill(time=8.9, node="g"), call_result(9.0, outcome))
            self.assertIs(
                verdicts[Guarantee.RUNNING_NODE_ANSWERS_ALL].judgement, Judgement.VIOLATED
            )


class LeavingTest(unittest.TestCase):
    def judge(self, *lines: HistoryLine) -> Judgement:
        verdicts = check_history([BackendLeaving(time=1.0, backend="x"), *lines])
        return {verdict.promise: verdict.judgement for verdict in verdicts}[
            Guarantee.LEAVING_GETS_NO_WORK
        ]

    def test_only_executions_after_leaving_was_cancelled_are_allowed(self) -> None:
        cancelled = BackendLeaveCancelled(time=9.0, backend="x")
        before = ExecutionStart(time=8.0, request_id="r1", backend="x")
        after = ExecutionStart(time=10.0, request_id="r2", backend="x")
        self.assertEqual(self.judge(cancelled, after), Judgement.HELD)
        self.assertEqual(self.judge(cancelled, before, after), Judgement.VIOLATED)
        self.assertEqual(self.judge(after), Judgement.VIOLATED)
