"""How long edits took until they were in force."""

from __future__ import annotations

import math
from collections.abc import Iterator

import msgspec

from pewtertack.lab.history.timeline import Incarnation, Interval, Timeline
from pewtertack.lab.records import Edit
from pewtertack.lab.report.statistics import Distribution, distribution_of


class Convergence(msgspec.Struct, frozen=True):
    """Seconds from valid edits to when they, or newer ones, were in force.

    A pair of an edit and a process that ran at its time counts in ``each_node``
    unless the process was disturbed meanwhile: paused, cut off, or the source at
    fault. ``whole_fleet`` has one value for each edit: its slowest such process.
    """

    each_node: Distribution
    whole_fleet: Distribution
    disturbed: int
    """Pairs left out."""
    missing: int
    """Undisturbed pairs where the edit was not in force at the end of the history."""


def measure_convergence(timeline: Timeline) -> Convergence:
    """Measure all valid edits but the first tree."""
    each: list[float] = []
    slowest: list[float] = []
    disturbed = missing = 0
    for edit in timeline.edits:
        if not edit.valid or edit.revision == 1:
            continue
        delays, left_out, absent = _measure_edit(timeline, edit)
        each += delays
        slowest += [max(delays)] if delays else []
        disturbed += left_out
        missing += absent
    return Convergence(distribution_of(each), distribution_of(slowest), disturbed, missing)


def _measure_edit(timeline: Timeline, edit: Edit) -> tuple[list[float], int, int]:
    """Return the delays of one edit, the disturbed pairs and the missing ones."""
    delays: list[float] = []
    disturbed = missing = 0
    for incarnation in timeline.incarnations:
        if not incarnation.span.start < edit.time < incarnation.span.end or not _had_any(
            incarnation, edit.time
        ):
            continue
        reached = _reached(incarnation, edit.revision)
        if _is_disturbed(timeline, incarnation, edit.time, reached):
            disturbed += 1
        elif reached != math.inf:
            delays.append(reached - edit.time)
        elif incarnation.span.end < math.inf:
            disturbed += 1
        else:
            missing += 1
    return delays, disturbed, missing


def _had_any(incarnation: Incarnation, time: float) -> bool:
    """Tell whether the process had joined: something was in force on it."""
    return incarnation.number_at(time) > 0


def _reached(incarnation: Incarnation, revision: int) -> float:
    times = (event.time for event in incarnation.in_force if event.revision >= revision)
    return min(times, default=math.inf)


def _is_disturbed(timeline: Timeline, incarnation: Incarnation, start: float, end: float) -> bool:
    spans = _disturbances(timeline, incarnation)
    return any(span.overlaps(start, end) for span in spans)


def _disturbances(timeline: Timeline, incarnation: Incarnation) -> Iterator[Interval]:
    yield from incarnation.pauses
    yield from timeline.cuts_around(incarnation.zone)
    yield from timeline.source_faults
