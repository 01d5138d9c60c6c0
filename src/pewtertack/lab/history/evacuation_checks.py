"""Checks of zones that operators have evacuated."""

from __future__ import annotations

import msgspec

from pewtertack.lab.history.timeline import Life, Timeline
from pewtertack.lab.history.verdicts import CheckBounds, Offence, Promise, Verdict, judge
from pewtertack.lab.records import ExecutionStart, ZoneEvacuated, ZoneTakenBack


class _Evacuation(msgspec.Struct):
    """A zone's back ends, the revision that evacuates them and the one that ends it."""

    begun: ZoneEvacuated
    ended: ZoneTakenBack | None = None

    def holds_on(self, life: Life, begin: float, end: float) -> bool:
        """Tell whether the process ran and served by the evacuation all the while."""
        if not (life.is_running_at(begin) and life.is_running_at(end)):
            return False
        if any(pause.overlaps(begin, end) for pause in life.pauses):
            return False
        number = life.number_at(end)
        lasts = self.ended is None or number < self.ended.revision
        return life.number_at(begin) >= self.begun.revision and lasts


def check_evacuated_unused(timeline: Timeline, bounds: CheckBounds) -> Verdict:
    """Where all nodes serve by an evacuation, no request reaches a back end of the zone.

    Judged is what begins anywhere while every node that lives has had the evacuation in force
    for `CheckBounds.evacuated`; a node that starts or is paused meanwhile is waited for.
    """
    evacuations = _evacuations(timeline)
    judged = 0
    offences: list[Offence] = []
    for line in timeline.lines:
        if not isinstance(line, ExecutionStart):
            continue
        for evacuation in evacuations:
            if not _holds_everywhere(evacuation, timeline, line.time, bounds.evacuated):
                continue
            judged += 1
            if line.backend in evacuation.begun.backends:
                message = f"request {line.request_id} while {evacuation.begun.zone} is evacuated"
                offences.append(Offence(line.time, line.backend, message))
    return judge(Promise.EVACUATED_UNUSED, judged, offences)


def _evacuations(timeline: Timeline) -> list[_Evacuation]:
    found: list[_Evacuation] = []
    for line in timeline.lines:
        if isinstance(line, ZoneEvacuated):
            found.append(_Evacuation(line))
        elif isinstance(line, ZoneTakenBack):
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
    lives = [life for life in timeline.lives if life.span.overlaps(time - seconds, time)]
    return bool(lives) and all(evacuation.holds_on(life, time - seconds, time) for life in lives)
