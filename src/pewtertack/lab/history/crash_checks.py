"""Checks of requests that crash the back ends that execute them."""

from __future__ import annotations

from collections import defaultdict
from typing import TypeGuard

from pewtertack.core.configuration.resolved import DEFAULT_CRASH_LIMIT
from pewtertack.lab.history.timeline import Timeline
from pewtertack.lab.history.verdicts import CheckBounds, Guarantee, Verdict, Violation, judge
from pewtertack.lab.records import ExecutionEnd, ExecutionResult

CRASHING_REQUEST_PREFIX = "ending-"
"""The prefix of the ids of such requests: ``ending-<request>-<attempt>``."""
MAX_CONCURRENT_ATTEMPTS = 3
"""The number of attempts that may be in progress when a request reaches its crash limit."""


def check_crashing_requests_limited(timeline: Timeline, _bounds: CheckBounds) -> Verdict:
    """Check that no request crashes more back ends than the limit and attempts in progress."""
    crashes: defaultdict[str, list[ExecutionEnd]] = defaultdict(list)
    for line in timeline.lines:
        if _is_counted_crash(line):
            crashes[line.request_id.rpartition("-")[0]].append(line)
    maximum = DEFAULT_CRASH_LIMIT + MAX_CONCURRENT_ATTEMPTS
    violations = [
        Violation(ends[maximum].time, name, f"{len(ends)} back ends crashed, {maximum} allowed")
        for name, ends in crashes.items()
        if len(ends) > maximum
    ]
    return judge(Guarantee.CRASHING_REQUESTS_LIMITED, len(crashes), violations)


def _is_counted_crash(line: object) -> TypeGuard[ExecutionEnd]:
    return (
        isinstance(line, ExecutionEnd)
        and line.result is ExecutionResult.DIED
        and line.request_id.startswith(CRASHING_REQUEST_PREFIX)
    )
