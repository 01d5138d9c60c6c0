"""Checks of requests that were sent whole: around planned stops and at all other times.

A request counts as read by its node when its last byte was sent `CheckBounds.unread` before
the connection ended. An answer that broke off in the middle is no answer. Not judged is what was
cut by a kill of the node, or around its pause, or broken off by a kill of the gateway's node or by
its pause during the stop.
"""

from __future__ import annotations

import math
from collections.abc import Iterator

from pewtertack.lab.history.broken_off import DisturbedGateways
from pewtertack.lab.history.timeline import Interval, Timeline
from pewtertack.lab.history.verdicts import CheckBounds, Guarantee, Verdict, Violation, judge
from pewtertack.lab.records import (
    CallOutcome,
    CallResult,
    NodeExit,
    NodeKill,
    NodePause,
    NodeResume,
    NodeStart,
    NodeStop,
)

EXIT_GRACE = 1.0
"""How much later than the process's end a caller may see its connection end, in seconds."""

LEFT_WITHOUT = (CallOutcome.CUT, CallOutcome.TIMED_OUT)
"""Ends without an answer. The callers that are judged here wait longer than any node may take."""


class _NodeSpans:
    """The planned stops of one node, and its kills and pauses."""

    __slots__ = ("disturbances", "stops")

    def __init__(self) -> None:
        self.stops: list[Interval] = []
        self.disturbances: list[Interval] = []

    def stop_around(self, told: CallResult) -> Interval | None:
        """Return the planned stop during which an exchange was under way."""
        began = told.time - told.latency
        for stop in self.stops:
            if stop.overlaps(began, told.time):
                return stop
        return None

    def disturbed(self, told: CallResult, unplanned: float) -> bool:
        """Tell whether the node was killed or paused during an exchange or just before."""
        began = told.time - told.latency - unplanned
        return any(span.overlaps(began, told.time) for span in self.disturbances)


def check_shutdown_answers_all(timeline: Timeline, bounds: CheckBounds) -> Verdict:
    """What a node had read when it was stopped by plan, or read since, is answered or refused."""
    judged = 0
    offences: list[Violation] = []
    for told, stop in _read_exchanges(timeline, bounds):
        if stop is None:
            continue
        judged += 1
        if told.outcome in LEFT_WITHOUT:
            after = told.time - stop.start
            message = f"{_lacking(told)}, {after:.3f} s after SIGTERM"
            offences.append(Violation(told.time, told.request_id, message))
    return judge(Guarantee.SHUTDOWN_ANSWERS_ALL, judged, offences)


def check_running_node_answers_all(timeline: Timeline, bounds: CheckBounds) -> Verdict:
    """What a node read while it ran undisturbed is answered or refused."""
    judged = 0
    offences: list[Violation] = []
    for told, stop in _read_exchanges(timeline, bounds):
        if stop is not None:
            continue
        judged += 1
        if told.outcome in LEFT_WITHOUT:
            offences.append(Violation(told.time, told.request_id, _lacking(told)))
    return judge(Guarantee.RUNNING_NODE_ANSWERS_ALL, judged, offences)


def _lacking(told: CallResult) -> str:
    """Say what the caller did not get."""
    came = told.broken_off_after
    what = "no answer" if came is None else f"answer broken off after {came} bytes"
    sent = f"{told.route} sent whole {told.whole_for or 0.0:.3f} s before the end"
    return f"{what} from {told.node}, {sent}"


def _read_exchanges(
    timeline: Timeline, bounds: CheckBounds
) -> Iterator[tuple[CallResult, Interval | None]]:
    """Yield the exchanges that are judged, with the planned stop that they fell into."""
    spans = _spans_by_node(timeline)
    gateways = DisturbedGateways(timeline)
    for told in timeline.lines:
        if not isinstance(told, CallResult) or not _was_read(told, bounds):
            continue
        node = spans.get(told.node, _NodeSpans())
        stop = node.stop_around(told)
        stopped_at = None if stop is None else stop.start
        if node.disturbed(told, bounds.unplanned):
            continue
        if not gateways.broke_off(told, bounds.unplanned, stopped_at):
            yield told, stop


def _was_read(told: CallResult, bounds: CheckBounds) -> bool:
    """Tell whether the node has certainly read the request."""
    if told.outcome in LEFT_WITHOUT:
        return told.whole_for is not None and told.whole_for >= bounds.unread
    return told.outcome is not CallOutcome.NOT_CONNECTED


def _spans_by_node(timeline: Timeline) -> dict[str, _NodeSpans]:
    spans: dict[str, _NodeSpans] = {}
    for line in timeline.lines:
        if isinstance(line, NodeStart | NodeStop | NodeExit | NodeKill | NodePause | NodeResume):
            _take(spans.setdefault(line.node, _NodeSpans()), line)
    return spans


def _take(
    node: _NodeSpans,
    line: NodeStart | NodeStop | NodeExit | NodeKill | NodePause | NodeResume,
) -> None:
    match line:
        case NodeStop():
            node.stops.append(Interval(line.time))
        case NodeStart() | NodeExit():
            _end(node.stops, line.time + EXIT_GRACE)
        case NodeKill():
            _end(node.stops, line.time + EXIT_GRACE)
            node.disturbances.append(Interval(line.time, line.time + EXIT_GRACE))
        case NodePause():
            node.disturbances.append(Interval(line.time))
        case NodeResume():
            _end(node.disturbances, line.time)


def _end(spans: list[Interval], time: float) -> None:
    """End the last span if it lasts."""
    if spans and spans[-1].end == math.inf:
        spans[-1].end = time
