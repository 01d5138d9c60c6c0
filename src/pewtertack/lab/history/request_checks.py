"""Checks of calls: responses, refusals, repeated executions, leaving back ends and shutdowns."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from math import inf

from pewtertack.lab.history.interrupted_responses import GatewayDisturbances
from pewtertack.lab.history.timeline import Timeline
from pewtertack.lab.history.verdicts import CheckBounds, Guarantee, Verdict, Violation, judge
from pewtertack.lab.records import (
    BackendLeaveCancelled,
    BackendLeaving,
    CallOutcome,
    CallResult,
    ExecutionStart,
    NodeKill,
    NodeStop,
)

NEVER_EXECUTED_OUTCOMES = (CallOutcome.NOT_RUN, CallOutcome.NOT_CONNECTED)


def check_responses_intact_and_matching(timeline: Timeline, _bounds: CheckBounds) -> Verdict:
    """Check that each response arrives intact and belongs to the request it was sent for."""
    answered = [
        result for result in _call_results(timeline) if result.outcome is CallOutcome.ANSWERED
    ]
    violations: list[Violation] = []
    for result in answered:
        if not result.checksum_ok:
            violations.append(
                Violation(result.time, result.request_id, "response with a wrong checksum")
            )
        if not result.own_answer:
            violations.append(
                Violation(result.time, result.request_id, "response to another request")
            )
    return judge(Guarantee.RESPONSES_INTACT_AND_MATCHING, len(answered), violations)


def check_not_run_is_accurate(timeline: Timeline, _bounds: CheckBounds) -> Verdict:
    """Check that no back end executed a request that was refused as not run."""
    refused = [
        result for result in _call_results(timeline) if result.outcome in NEVER_EXECUTED_OUTCOMES
    ]
    executed = {start.request_id: start.backend for start in _executions(timeline)}
    violations = (
        Violation(
            result.time,
            result.request_id,
            f"{result.outcome}, but ran on {executed[result.request_id]}",
        )
        for result in refused
        if result.request_id in executed
    )
    return judge(Guarantee.NOT_RUN_IS_ACCURATE, len(refused), violations)


def check_at_most_once(timeline: Timeline, _bounds: CheckBounds) -> Verdict:
    """Check that a request that must not be repeated is executed at most once."""
    non_repeatable = {
        result.request_id: result.time
        for result in _call_results(timeline)
        if not result.repeatable
    }
    executions = Counter(start.request_id for start in _executions(timeline))
    violations = (
        Violation(time, request_id, f"ran {executions[request_id]} times")
        for request_id, time in non_repeatable.items()
        if executions[request_id] > 1
    )
    return judge(
        Guarantee.AT_MOST_ONCE, sum(1 for name in non_repeatable if executions[name]), violations
    )


def check_leaving_gets_no_work(timeline: Timeline, bounds: CheckBounds) -> Verdict:
    """Check that a leaving back end receives no new requests after the bound."""
    leaving: dict[str, float] = {}
    judged = 0
    violations: list[Violation] = []
    for line in timeline.lines:
        match line:
            case BackendLeaving():
                leaving[line.backend] = line.time
                judged += 1
            case BackendLeaveCancelled():
                leaving.pop(line.backend, None)
            case ExecutionStart() if line.time > leaving.get(line.backend, inf) + bounds.leaving:
                message = f"request {line.request_id} started after the back end began to leave"
                violations.append(Violation(line.time, line.backend, message))
    return judge(Guarantee.LEAVING_GETS_NO_WORK, judged, violations)


def check_shutdown_cuts_nothing(timeline: Timeline, bounds: CheckBounds) -> Verdict:
    """Check that no exchange in flight at the start of its node's graceful shutdown is cut."""
    judged = 0
    violations: list[Violation] = []
    gateways = GatewayDisturbances(timeline)
    for result, stop in _in_flight_at_shutdown(timeline):
        if gateways.may_have_cut(result, bounds.unplanned, stop.time):
            continue
        judged += 1
        if result.outcome is CallOutcome.CUT:
            message = f"cut {result.time - stop.time:.3f} s into the shutdown of {stop.node}"
            if result.begun_for is not None:
                message += f", {result.begun_for:.4f} s after its first byte was sent"
            violations.append(Violation(result.time, result.request_id, message))
    return judge(Guarantee.SHUTDOWN_CUTS_NOTHING, judged, violations)


def _in_flight_at_shutdown(timeline: Timeline) -> Iterator[tuple[CallResult, NodeStop]]:
    stops = [line for line in timeline.lines if isinstance(line, NodeStop)]
    kills = [line for line in timeline.lines if isinstance(line, NodeKill)]
    for stop in stops:
        kill_times = [kill.time for kill in kills if kill.node == stop.node]
        for result in _call_results(timeline):
            sent_at = _first_sent_at(result)
            in_flight = result.node == stop.node and sent_at <= stop.time <= result.time
            if in_flight and not any(sent_at <= time <= result.time for time in kill_times):
                yield result, stop


def _first_sent_at(result: CallResult) -> float:
    """Return when the first byte was sent, or the start of the call if that was not measured."""
    return result.time - (result.latency if result.begun_for is None else result.begun_for)


def _call_results(timeline: Timeline) -> Iterator[CallResult]:
    return (line for line in timeline.lines if isinstance(line, CallResult))


def _executions(timeline: Timeline) -> Iterator[ExecutionStart]:
    return (line for line in timeline.lines if isinstance(line, ExecutionStart))
