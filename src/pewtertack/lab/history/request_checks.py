"""Checks of requests: whole and own answers, truth of refusals, stops and leaving."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from math import inf

from pewtertack.lab.history.broken_off import DisturbedGateways
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

NEVER_BEGUN = (CallOutcome.NOT_RUN, CallOutcome.NOT_CONNECTED)


def check_responses_intact_and_matching(timeline: Timeline, _bounds: CheckBounds) -> Verdict:
    """Every answer arrives whole and belongs to the request that got it."""
    answered = [told for told in _told(timeline) if told.outcome is CallOutcome.ANSWERED]
    offences: list[Violation] = []
    for told in answered:
        if not told.checksum_ok:
            offences.append(Violation(told.time, told.request_id, "answer with a wrong checksum"))
        if not told.own_answer:
            offences.append(Violation(told.time, told.request_id, "answer to another request"))
    return judge(Guarantee.RESPONSES_INTACT_AND_MATCHING, len(answered), offences)


def check_not_run_is_accurate(timeline: Timeline, _bounds: CheckBounds) -> Verdict:
    """A request refused as not run was never executed by any back end."""
    refused = [told for told in _told(timeline) if told.outcome in NEVER_BEGUN]
    executed = {start.request_id: start.backend for start in _executions(timeline)}
    offences = (
        Violation(
            told.time, told.request_id, f"{told.outcome}, but ran on {executed[told.request_id]}"
        )
        for told in refused
        if told.request_id in executed
    )
    return judge(Guarantee.NOT_RUN_IS_ACCURATE, len(refused), offences)


def check_at_most_once(timeline: Timeline, _bounds: CheckBounds) -> Verdict:
    """A request that may not be repeated is executed at most once."""
    single = {told.request_id: told.time for told in _told(timeline) if not told.repeatable}
    runs = Counter(start.request_id for start in _executions(timeline))
    offences = (
        Violation(time, request_id, f"ran {runs[request_id]} times")
        for request_id, time in single.items()
        if runs[request_id] > 1
    )
    return judge(Guarantee.AT_MOST_ONCE, sum(1 for name in single if runs[name]), offences)


def check_leaving_gets_no_work(timeline: Timeline, bounds: CheckBounds) -> Verdict:
    """A leaving back end gets no new work after the bound."""
    leaving: dict[str, float] = {}
    judged = 0
    offences: list[Violation] = []
    for line in timeline.lines:
        match line:
            case BackendLeaving():
                leaving[line.backend] = line.time
                judged += 1
            case BackendLeaveCancelled():
                leaving.pop(line.backend, None)
            case ExecutionStart() if line.time > leaving.get(line.backend, inf) + bounds.leaving:
                message = f"request {line.request_id} after it began to leave"
                offences.append(Violation(line.time, line.backend, message))
    return judge(Guarantee.LEAVING_GETS_NO_WORK, judged, offences)


def check_shutdown_cuts_nothing(timeline: Timeline, bounds: CheckBounds) -> Verdict:
    """No exchange that was in flight when its node was asked to stop breaks off."""
    judged = 0
    offences: list[Violation] = []
    gateways = DisturbedGateways(timeline)
    for told, stop in _in_flight_at_stop(timeline):
        if gateways.broke_off(told, bounds.unplanned, stop.time):
            continue
        judged += 1
        if told.outcome is CallOutcome.CUT:
            message = f"cut {told.time - stop.time:.3f} s into the stop of {stop.node}"
            if told.begun_for is not None:
                message += f", its first byte sent {told.begun_for:.4f} s before"
            offences.append(Violation(told.time, told.request_id, message))
    return judge(Guarantee.SHUTDOWN_CUTS_NOTHING, judged, offences)


def _in_flight_at_stop(timeline: Timeline) -> Iterator[tuple[CallResult, NodeStop]]:
    stops = [line for line in timeline.lines if isinstance(line, NodeStop)]
    kills = [line for line in timeline.lines if isinstance(line, NodeKill)]
    for stop in stops:
        killed_at = [kill.time for kill in kills if kill.node == stop.node]
        for told in _told(timeline):
            began = _sent_at(told)
            in_flight = told.node == stop.node and began <= stop.time <= told.time
            if in_flight and not any(began <= time <= told.time for time in killed_at):
                yield told, stop


def _sent_at(told: CallResult) -> float:
    """Return when its first byte was sent; when its call began where that was not measured."""
    return told.time - (told.latency if told.begun_for is None else told.begun_for)


def _told(timeline: Timeline) -> Iterator[CallResult]:
    return (line for line in timeline.lines if isinstance(line, CallResult))


def _executions(timeline: Timeline) -> Iterator[ExecutionStart]:
    return (line for line in timeline.lines if isinstance(line, ExecutionStart))
