"""Checks that completely sent requests are answered, during graceful shutdowns and otherwise.

A request counts as read by its node if its last byte was sent `CheckBounds.unread` seconds
before the connection ended. A partial response does not count as an answer. Exchanges are not
judged if their node was killed or paused during or just before them, nor if the response was
cut by a kill of the gateway node or by its pause during the shutdown.
"""

from __future__ import annotations

import math
from collections.abc import Iterator

from pewtertack.lab.history.interrupted_responses import GatewayDisturbances
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

EXIT_GRACE_SECONDS = 1.0
"""How long after the end of the process callers may notice the end of their connections."""

UNANSWERED_OUTCOMES = (CallOutcome.CUT, CallOutcome.TIMED_OUT)
"""Outcomes without a complete response.

The timeouts of the callers judged here are longer than any node may take to answer.
"""


class _NodeDisturbances:
    """The graceful shutdowns of one node, and its kills and pauses."""

    __slots__ = ("disturbances", "shutdowns")

    def __init__(self) -> None:
        self.shutdowns: list[Interval] = []
        self.disturbances: list[Interval] = []

    def shutdown_during(self, result: CallResult) -> Interval | None:
        """Return the first graceful shutdown that overlaps an exchange."""
        started_at = result.time - result.latency
        for shutdown in self.shutdowns:
            if shutdown.overlaps(started_at, result.time):
                return shutdown
        return None

    def is_disturbed(self, result: CallResult, unplanned: float) -> bool:
        """Return whether the node was killed or paused during an exchange or just before it."""
        started_at = result.time - result.latency - unplanned
        return any(span.overlaps(started_at, result.time) for span in self.disturbances)


def check_shutdown_answers_all(timeline: Timeline, bounds: CheckBounds) -> Verdict:
    """Check that requests read before or during a graceful shutdown are answered or refused."""
    judged = 0
    violations: list[Violation] = []
    for result, shutdown in _judged_exchanges(timeline, bounds):
        if shutdown is None:
            continue
        judged += 1
        if result.outcome in UNANSWERED_OUTCOMES:
            after = result.time - shutdown.start
            message = f"{_describe_failure(result)}, {after:.3f} s after SIGTERM"
            violations.append(Violation(result.time, result.request_id, message))
    return judge(Guarantee.SHUTDOWN_ANSWERS_ALL, judged, violations)


def check_running_node_answers_all(timeline: Timeline, bounds: CheckBounds) -> Verdict:
    """Check that requests that a node reads while running undisturbed are answered or refused."""
    judged = 0
    violations: list[Violation] = []
    for result, shutdown in _judged_exchanges(timeline, bounds):
        if shutdown is not None:
            continue
        judged += 1
        if result.outcome in UNANSWERED_OUTCOMES:
            violations.append(Violation(result.time, result.request_id, _describe_failure(result)))
    return judge(Guarantee.RUNNING_NODE_ANSWERS_ALL, judged, violations)


def _describe_failure(result: CallResult) -> str:
    """Describe how far the exchange got, for a violation's message."""
    received = result.broken_off_after
    failure = "no response" if received is None else f"response broken off after {received} bytes"
    request = (
        f"{result.route} request sent completely {result.whole_for or 0.0:.3f} s before the end"
    )
    return f"{failure} from {result.node}, {request}"


def _judged_exchanges(
    timeline: Timeline, bounds: CheckBounds
) -> Iterator[tuple[CallResult, Interval | None]]:
    """Yield the exchanges to judge, each with the graceful shutdown that it overlaps, if any."""
    disturbances = _disturbances_by_node(timeline)
    gateways = GatewayDisturbances(timeline)
    for result in timeline.lines:
        if not isinstance(result, CallResult) or not _was_read(result, bounds):
            continue
        node = disturbances.get(result.node, _NodeDisturbances())
        shutdown = node.shutdown_during(result)
        stopped_at = None if shutdown is None else shutdown.start
        if node.is_disturbed(result, bounds.unplanned):
            continue
        if not gateways.may_have_cut(result, bounds.unplanned, stopped_at):
            yield result, shutdown


def _was_read(result: CallResult, bounds: CheckBounds) -> bool:
    """Return whether the node has certainly read the request."""
    if result.outcome in UNANSWERED_OUTCOMES:
        return result.whole_for is not None and result.whole_for >= bounds.unread
    return result.outcome is not CallOutcome.NOT_CONNECTED


def _disturbances_by_node(timeline: Timeline) -> dict[str, _NodeDisturbances]:
    disturbances: dict[str, _NodeDisturbances] = {}
    for line in timeline.lines:
        if isinstance(line, NodeStart | NodeStop | NodeExit | NodeKill | NodePause | NodeResume):
            _add_line(disturbances.setdefault(line.node, _NodeDisturbances()), line)
    return disturbances


def _add_line(
    node: _NodeDisturbances,
    line: NodeStart | NodeStop | NodeExit | NodeKill | NodePause | NodeResume,
) -> None:
    match line:
        case NodeStop():
            node.shutdowns.append(Interval(line.time))
        case NodeStart() | NodeExit():
            _end_last(node.shutdowns, line.time + EXIT_GRACE_SECONDS)
        case NodeKill():
            _end_last(node.shutdowns, line.time + EXIT_GRACE_SECONDS)
            node.disturbances.append(Interval(line.time, line.time + EXIT_GRACE_SECONDS))
        case NodePause():
            node.disturbances.append(Interval(line.time))
        case NodeResume():
            _end_last(node.disturbances, line.time)


def _end_last(intervals: list[Interval], time: float) -> None:
    """End the last interval if it is open."""
    if intervals and intervals[-1].end == math.inf:
        intervals[-1].end = time
