"""Checks that evacuated zones receive no requests."""

from __future__ import annotations

import msgspec

from pewtertack.lab.history.timeline import Incarnation, Timeline
from pewtertack.lab.history.verdicts import CheckBounds, Guarantee, Verdict, Violation, judge
from pewtertack.lab.records import ExecutionStart, ZoneEvacuated, ZoneEvacuationEnded


class _Evacuation(msgspec.Struct):
    """The evacuation of one zone: its first revision and, if it has finished, the one after it."""

    start: ZoneEvacuated
    finish: ZoneEvacuationEnded | None = None

    def applies_to(self, incarnation: Incarnation, begin: float, end: float) -> bool:
        """Return whether the process ran with the evacuation in force from ``begin`` to ``end``."""
        if not (incarnation.is_running_at(begin) and incarnation.is_running_at(end)):
            return False
        if any(pause.overlaps(begin, end) for pause in incarnation.pauses):
            return False
        number = incarnation.revision_at(end)
        lasts = self.finish is None or number < self.finish.revision
        return incarnation.revision_at(begin) >= self.start.revision and lasts


def check_evacuated_gets_no_requests(timeline: Timeline, bounds: CheckBounds) -> Verdict:
    """Check that no request reaches an evacuated zone once all nodes have the evacuation in force.

    The executions judged are those that start, on any back end, while all nodes that exist have
    had the evacuation in force for `CheckBounds.evacuated` seconds. No execution is judged until
    this also holds for the nodes that started or were paused in the meantime.
    """
    evacuations = _evacuations(timeline)
    judged = 0
    violations: list[Violation] = []
    for line in timeline.lines:
        if not isinstance(line, ExecutionStart):
            continue
        for evacuation in evacuations:
            if not _applies_everywhere(evacuation, timeline, line.time, bounds.evacuated):
                continue
            judged += 1
            if line.backend in evacuation.start.backends:
                message = (
                    f"request {line.request_id} started while"
                    f" zone {evacuation.start.zone} is evacuated"
                )
                violations.append(Violation(line.time, line.backend, message))
    return judge(Guarantee.EVACUATED_GETS_NO_REQUESTS, judged, violations)


def _evacuations(timeline: Timeline) -> list[_Evacuation]:
    found: list[_Evacuation] = []
    for line in timeline.lines:
        if isinstance(line, ZoneEvacuated):
            found.append(_Evacuation(line))
        elif isinstance(line, ZoneEvacuationEnded):
            for evacuation in found:
                if evacuation.start.zone == line.zone and evacuation.finish is None:
                    evacuation.finish = line
    return found


def _applies_everywhere(
    evacuation: _Evacuation, timeline: Timeline, time: float, seconds: float
) -> bool:
    if time < evacuation.start.time + seconds:
        return False
    if evacuation.finish is not None and time >= evacuation.finish.time:
        return False
    incarnations = [
        incarnation
        for incarnation in timeline.incarnations
        if incarnation.span.overlaps(time - seconds, time)
    ]
    return bool(incarnations) and all(
        evacuation.applies_to(incarnation, time - seconds, time) for incarnation in incarnations
    )
