"""Measurement of the time from edits until they are in force."""

from __future__ import annotations

import math
from collections.abc import Iterator

import msgspec

from pewtertack.lab.history.timeline import Incarnation, Interval, Timeline
from pewtertack.lab.records import Edit
from pewtertack.lab.report.statistics import Distribution, distribution_of


class Convergence(msgspec.Struct, frozen=True):
    """Seconds from valid edits until they, or newer ones, are in force.

    ``each_node`` has one value for each pair of an edit and a process that was running at the
    time of the edit. Pairs are left out if, before the edit came into force, the process ended,
    was paused or was cut off with its zone, or the source was faulty. ``whole_fleet`` has one
    value for each edit: the maximum over its pairs.
    """

    each_node: Distribution
    whole_fleet: Distribution
    disturbed: int
    """The number of pairs left out."""
    missing: int
    """The number of undisturbed pairs whose edit was not in force at the end of the history."""


def measure_convergence(timeline: Timeline) -> Convergence:
    """Measure the convergence of all valid edits except the first tree."""
    node_delays: list[float] = []
    fleet_delays: list[float] = []
    disturbed = missing = 0
    for edit in timeline.edits:
        if not edit.valid or edit.revision == 1:
            continue
        delays, edit_disturbed, edit_missing = _measure_edit(timeline, edit)
        node_delays += delays
        fleet_delays += [max(delays)] if delays else []
        disturbed += edit_disturbed
        missing += edit_missing
    return Convergence(
        distribution_of(node_delays), distribution_of(fleet_delays), disturbed, missing
    )


def _measure_edit(timeline: Timeline, edit: Edit) -> tuple[list[float], int, int]:
    """Return the delays of one edit and the numbers of its disturbed and missing pairs."""
    delays: list[float] = []
    disturbed = missing = 0
    for incarnation in timeline.incarnations:
        if not incarnation.span.start < edit.time < incarnation.span.end or not _has_revision(
            incarnation, edit.time
        ):
            continue
        in_force_at = _first_in_force_at(incarnation, edit.revision)
        if _is_disturbed(timeline, incarnation, edit.time, in_force_at):
            disturbed += 1
        elif in_force_at != math.inf:
            delays.append(in_force_at - edit.time)
        elif incarnation.span.end < math.inf:
            disturbed += 1
        else:
            missing += 1
    return delays, disturbed, missing


def _has_revision(incarnation: Incarnation, time: float) -> bool:
    """Return whether the process had joined, that is, had a revision in force."""
    return incarnation.revision_at(time) > 0


def _first_in_force_at(incarnation: Incarnation, revision: int) -> float:
    times = (event.time for event in incarnation.in_force if event.revision >= revision)
    return min(times, default=math.inf)


def _is_disturbed(timeline: Timeline, incarnation: Incarnation, start: float, end: float) -> bool:
    spans = _disturbances(timeline, incarnation)
    return any(span.overlaps(start, end) for span in spans)


def _disturbances(timeline: Timeline, incarnation: Incarnation) -> Iterator[Interval]:
    yield from incarnation.pauses
    yield from timeline.cuts_of_zone(incarnation.zone)
    yield from timeline.source_faults
