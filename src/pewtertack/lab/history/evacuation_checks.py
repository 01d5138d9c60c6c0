"""Checks of zones that operators have evacuated."""

from __future__ import annotations

import msgspec

from pewtertack.lab.history.timeline import Incarnation, Timeline
from pewtertack.lab.history.verdicts import CheckBounds, Guarantee, Verdict, Violation, judge
from pewtertack.lab.records import ExecutionStart, ZoneEvacuated, ZoneEvacuationEnded


class _Evacuation(msgspec.Struct):
    """A zone's back ends, the revision that evacuates them and the one that ends it."""

    begun: ZoneEvacuated
    ended: ZoneEvacuationEnded | None = None

    def holds_on(self, incarnation: Incarnation, begin: float, end: float) -> bool:
        """Tell whether the process ran and served by the evacuation all the while."""
        if not (incarnation.is_running_at(begin) and incarnation.is_running_at(end)):
            return False
        if any(pause.overlaps(begin, end) for pause in incarnation.pauses):
            return False
        number = incarnation.number_at(end)
        lasts = self.ended is None or number < self.ended.revision
        return incarnation.number_at(begin) >= self.begun.revision and lasts


def check_evacuated_gets_no_requests(timeline: Timeline, bounds: CheckBounds) -> Verdict:
    """Where all nodes serve by an evacuation, no request reaches a back end of the zone.

    Judged is what begins anywhere while every node that lives has had the evacuation in force
    for `CheckBounds.evacuated`; a node that starts or is paused meanwhile is waited for.
    """
    evacuations = _evacuations(timeline)
    judged = 0
    offences: list[Violation] = []
    for line in timeline.lines:
        if not isinstance(line, ExecutionStart):
            continue
        for evacuation in evacuations:
            if not _holds_everywhere(evacuation, timeline, line.time, bounds.evacuated):
                continue
            judged += 1
            if line.backend in evacuation.begun.backends:
                message = f"request {line.request_id} while {evacuation.begun.zone} is evacuated"
                offences.append(Violation(line.time, line.backend, message))
    return judge(Guarantee.EVACUATED_GETS_NO_REQUESTS, judged, offences)


def _evacuations(timeline: Timeline) -> list[_Evacuation]:
    found: list[_Evacuation] = []
    for line in timeline.lines:
        if isinstance(line, ZoneEvacuated):
            found.append(_Evacuation(line))
        elif isinstance(line, ZoneEvacuationEnded):
            for evacuation in found:
                if evacuation.begun.zone == line.zone and evacuation.ended is None:
                    evacuation.ended = line
    return found


def _holds_everywhere(
    evacuation: _Evacuation, timeline: Timeline, time: float, seconds: float
) -> bool:
    if time < evacuation.begun.time + seconds:
        return False
    if evacuation.ended is not None and time >= evacuation.ended.time:
        return False
    incarnations = [
        incarnation
        for incarnation in timeline.incarnations
        if incarnation.span.overlaps(time - seconds, time)
    ]
    return bool(incarnations) and all(
        evacuation.holds_on(incarnation, time - seconds, time) for incarnation in incarnations
    )
