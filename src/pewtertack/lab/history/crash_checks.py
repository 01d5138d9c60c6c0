"""Checks of requests that end the back ends that run them."""

from __future__ import annotations

from collections import defaultdict
from typing import TypeGuard

from pewtertack.core.configuration.resolved import DEFAULT_CRASH_LIMIT
from pewtertack.lab.history.timeline import Timeline
from pewtertack.lab.history.verdicts import CheckBounds, Guarantee, Verdict, Violation, judge
from pewtertack.lab.records import ExecutionEnd, ExecutionResult

CRASHING_REQUEST_PREFIX = "ending-"
"""Begins the ids of such requests: ``ending-<which>-<attempt>``."""
ON_THEIR_WAY = 3
"""Attempts that may have been under way when a request came to its limit."""


def check_crashing_requests_limited(timeline: Timeline, _bounds: CheckBounds) -> Verdict:
    """No request ends many more back ends than its route allows, wherever it comes again."""
    ends: defaultdict[str, list[ExecutionEnd]] = defaultdict(list)
    for line in timeline.lines:
        if _ended(line):
            ends[line.request_id.rpartition("-")[0]].append(line)
    most = DEFAULT_CRASH_LIMIT + ON_THEIR_WAY
    offences = [
        Violation(found[most].time, name, f"{len(found)} back ends ended, {most} may")
        for name, found in ends.items()
        if len(found) > most
    ]
    return judge(Guarantee.CRASHING_REQUESTS_LIMITED, len(ends), offences)


def _ended(line: object) -> TypeGuard[ExecutionEnd]:
    return (
        isinstance(line, ExecutionEnd)
        and line.result is ExecutionResult.DIED
        and line.request_id.startswith(CRASHING_REQUEST_PREFIX)
    )
