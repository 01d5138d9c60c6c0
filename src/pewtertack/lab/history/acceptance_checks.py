"""Checks of the whole fleet: accepted revisions get everywhere and stay.

A revision counts as accepted from the moment when the first proxy serves by it.
A process owes a revision once it had one undisturbed stretch of the bound:
running, not paused, and its zone not cut from any other.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from pewtertack.lab.history.timeline import Interval, Life, Timeline
from pewtertack.lab.history.verdicts import CheckBounds, Offence, Promise, Verdict, judge


def check_in_force_everywhere(timeline: Timeline, bounds: CheckBounds) -> Verdict:
    """Accepted revisions, and valid edits, are in force on every process that owes them."""
    accepted = _deadlines_of_accepted(timeline, bounds)
    edited = _deadlines_of_edits(timeline, bounds)
    judged = 0
    offences: list[Offence] = []
    for life, number, deadline in (*accepted, *edited):
        judged += 1
        has = life.number_at(deadline)
        if has < number:
            message = f"revision {has} in force where {number} is due"
            offences.append(Offence(deadline, life.node, message))
    return judge(Promise.IN_FORCE_EVERYWHERE, judged, offences)


def _deadlines_of_accepted(
    timeline: Timeline, bounds: CheckBounds
) -> Iterator[tuple[Life, int, float]]:
    for number, accepted_at in timeline.first_in_force().items():
        for life in timeline.lives:
            disturbances = [*life.pauses, *timeline.cuts_around(life.zone)]
            start = _undisturbed(accepted_at, life, disturbances, bounds.convergence)
            if start + bounds.convergence <= timeline.end:
                yield life, number, start + bounds.convergence


def _deadlines_of_edits(
    timeline: Timeline, bounds: CheckBounds
) -> Iterator[tuple[Life, int, float]]:
    disturbances = list(_all_disturbances(timeline))
    for edit in timeline.edits:
        if not edit.valid:
            continue
        for life in timeline.lives:
            start = _undisturbed(edit.time, life, disturbances, bounds.recovery)
            if start + bounds.recovery <= timeline.end:
                yield life, edit.revision, start + bounds.recovery


def _all_disturbances(timeline: Timeline) -> Iterator[Interval]:
    yield from timeline.source_faults
    for cut in timeline.cuts:
        yield cut.span
    for life in timeline.lives:
        yield from life.pauses
        yield Interval(life.span.start, life.span.start)
        if life.span.end <= timeline.end:
            yield Interval(life.span.end, life.span.end)


def _undisturbed(
    earliest: float, life: Life, disturbances: Iterable[Interval], length: float
) -> float:
    """Return when the first undisturbed stretch of ``length`` within ``life`` begins.

    Infinite when the life ends before such a stretch.
    """
    start = max(earliest, life.span.start)
    for span in sorted(disturbances, key=lambda item: item.start):
        if span.start < start + length and span.end >= start:
            start = span.end
    return start if start + length < life.span.end else float("inf")


def check_never_reverted(timeline: Timeline, bounds: CheckBounds) -> Verdict:
    """No process begins to serve, or wakes and serves, by less than was accepted before.

    The bound is how long a revision may be in force elsewhere before a process
    that begins to serve must have it.
    """
    accepted = sorted(timeline.first_in_force().items(), key=lambda item: item[1])
    judged = 0
    offences: list[Offence] = []
    for life, moment, known_since in _beginnings(timeline, bounds):
        due = _newest_before(accepted, known_since - bounds.convergence)
        judged += 1
        if life.number_at(moment) < due:
            message = f"serves by revision {life.number_at(moment)} though {due} was accepted"
            offences.append(Offence(moment, life.node, message))
    return judge(Promise.NEVER_REVERTED, judged, offences)


def _beginnings(timeline: Timeline, bounds: CheckBounds) -> Iterator[tuple[Life, float, float]]:
    """Yield each process with a moment to judge and the time it should know of."""
    for life in timeline.lives:
        moments = [(span.start, span.start) for span in life.serving]
        moments += [(pause.end + bounds.wake_grace, pause.end) for pause in life.pauses]
        cuts = timeline.cuts_around(life.zone)
        for moment, known_since in moments:
            cut = any(span.overlaps(known_since - bounds.convergence, moment) for span in cuts)
            if life.is_serving_at(moment) and not cut:
                yield life, moment, known_since


def _newest_before(accepted: list[tuple[int, float]], time: float) -> int:
    return max((number for number, since in accepted if since <= time), default=0)
