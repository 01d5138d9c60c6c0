"""Checks of the whole fleet: accepted revisions get everywhere and stay.

A revision counts as accepted from the moment when the first proxy serves by it.
A process owes a revision once it had one undisturbed stretch of the bound:
running, not paused, its zone not cut from any other, and a majority of the
members running, because a node that starts without one has nobody to ask.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from pewtertack.lab.history.timeline import Incarnation, Interval, Timeline
from pewtertack.lab.history.verdicts import CheckBounds, Guarantee, Verdict, Violation, judge


def check_in_force_everywhere(timeline: Timeline, bounds: CheckBounds) -> Verdict:
    """Accepted revisions, and valid edits, are in force on every process that owes them."""
    accepted = _deadlines_of_accepted(timeline, bounds)
    edited = _deadlines_of_edits(timeline, bounds)
    judged = 0
    offences: list[Violation] = []
    for incarnation, number, deadline in (*accepted, *edited):
        judged += 1
        has = incarnation.number_at(deadline)
        if has < number:
            message = f"revision {has} in force where {number} is due"
            offences.append(Violation(deadline, incarnation.node, message))
    return judge(Guarantee.IN_FORCE_EVERYWHERE, judged, offences)


def _deadlines_of_accepted(
    timeline: Timeline, bounds: CheckBounds
) -> Iterator[tuple[Incarnation, int, float]]:
    no_majority = timeline.without_majority(bounds.recovery)
    for number, accepted_at in timeline.first_in_force().items():
        for incarnation in timeline.incarnations:
            disturbances = [
                *incarnation.pauses,
                *timeline.cuts_around(incarnation.zone),
                *no_majority,
            ]
            start = _undisturbed(accepted_at, incarnation, disturbances, bounds.convergence)
            if start + bounds.convergence <= timeline.end:
                yield incarnation, number, start + bounds.convergence


def _deadlines_of_edits(
    timeline: Timeline, bounds: CheckBounds
) -> Iterator[tuple[Incarnation, int, float]]:
    disturbances = list(_all_disturbances(timeline))
    digests = timeline.edited_digests()
    for edit in timeline.edits:
        if not edit.valid or len(digests[edit.revision]) > 1:
            continue  # two trees under one number: a newer number ends the conflict
        for incarnation in timeline.incarnations:
            start = _undisturbed(edit.time, incarnation, disturbances, bounds.recovery)
            if start + bounds.recovery <= timeline.end:
                yield incarnation, edit.revision, start + bounds.recovery


def _all_disturbances(timeline: Timeline) -> Iterator[Interval]:
    yield from timeline.source_faults
    for cut in timeline.cuts:
        yield cut.span
    for incarnation in timeline.incarnations:
        yield from incarnation.pauses
        yield Interval(incarnation.span.start, incarnation.span.start)
        if incarnation.span.end <= timeline.end:
            yield Interval(incarnation.span.end, incarnation.span.end)


def _undisturbed(
    earliest: float, incarnation: Incarnation, disturbances: Iterable[Interval], length: float
) -> float:
    """Return when the first undisturbed stretch of ``length`` within ``life`` begins.

    Infinite when the life ends before such a stretch.
    """
    start = max(earliest, incarnation.span.start)
    for span in sorted(disturbances, key=lambda item: item.start):
        if span.start < start + length and span.end >= start:
            start = span.end
    return start if start + length < incarnation.span.end else float("inf")


def check_never_reverted(timeline: Timeline, bounds: CheckBounds) -> Verdict:
    """No process begins to serve, or wakes and serves, by less than was accepted before.

    The bound is how long a revision may be in force elsewhere before a process
    that begins to serve must have it.
    """
    accepted = sorted(timeline.first_in_force().items(), key=lambda item: item[1])
    judged = 0
    offences: list[Violation] = []
    for incarnation, start in _beginnings(timeline, bounds):
        due = _newest_before(accepted, start.known_since - bounds.convergence)
        judged += 1
        if start.number < due:
            message = f"serves by revision {start.number} though {due} was accepted"
            offences.append(Violation(start.time, incarnation.node, message))
    return judge(Guarantee.NEVER_REVERTED, judged, offences)


@dataclass(frozen=True, slots=True)
class _Beginning:
    """A moment at which a process serves by ``number`` and should know what is in force.

    ``known_since`` is when it could first ask; both times are in seconds.
    """

    time: float
    known_since: float
    number: int


def _beginnings(
    timeline: Timeline, bounds: CheckBounds
) -> Iterator[tuple[Incarnation, _Beginning]]:
    for incarnation in timeline.incarnations:
        starts = [_Beginning(span.start, span.start, span.number) for span in incarnation.serving]
        starts += _wakings(incarnation, bounds)
        cuts = timeline.cuts_around(incarnation.zone)
        for start in starts:
            earliest = start.known_since - bounds.convergence
            if not any(span.overlaps(earliest, start.time) for span in cuts):
                yield incarnation, start


def _wakings(incarnation: Incarnation, bounds: CheckBounds) -> Iterator[_Beginning]:
    """Yield the ends of pauses after which the process serves."""
    for pause in incarnation.pauses:
        moment = pause.end + bounds.wake_grace
        if incarnation.is_serving_at(moment):
            yield _Beginning(moment, pause.end, incarnation.number_at(moment))


def _newest_before(accepted: list[tuple[int, float]], time: float) -> int:
    return max((number for number, since in accepted if since <= time), default=0)
