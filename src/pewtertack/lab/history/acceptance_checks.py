"""Checks that accepted revisions come into force on all nodes and stay in force.

A revision counts as accepted from the time at which it is in force on the first proxy. A
process must have it in force after one undisturbed interval as long as the bound. During
such an interval the process runs and is not paused, its zone is not cut off from any other,
and a majority of the members runs: a node that starts without a majority has no peers from
which it could learn the revision.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from pewtertack.lab.history.timeline import Incarnation, Interval, Timeline
from pewtertack.lab.history.verdicts import CheckBounds, Guarantee, Verdict, Violation, judge


def check_in_force_everywhere(timeline: Timeline, bounds: CheckBounds) -> Verdict:
    """Check that accepted revisions and valid edits come into force on time on all nodes."""
    accepted = _deadlines_of_accepted(timeline, bounds)
    edited = _deadlines_of_edits(timeline, bounds)
    judged = 0
    violations: list[Violation] = []
    for incarnation, number, deadline in (*accepted, *edited):
        judged += 1
        actual = incarnation.revision_at(deadline)
        if actual < number:
            message = f"revision {actual} in force at the deadline of revision {number}"
            violations.append(Violation(deadline, incarnation.node, message))
    return judge(Guarantee.IN_FORCE_EVERYWHERE, judged, violations)


def _deadlines_of_accepted(
    timeline: Timeline, bounds: CheckBounds
) -> Iterator[tuple[Incarnation, int, float]]:
    no_majority = timeline.intervals_without_majority(bounds.recovery)
    for number, accepted_at in timeline.first_in_force_times().items():
        for incarnation in timeline.incarnations:
            disturbances = [
                *incarnation.pauses,
                *timeline.cuts_of_zone(incarnation.zone),
                *no_majority,
            ]
            start = _find_undisturbed_start(
                accepted_at, incarnation, disturbances, bounds.convergence
            )
            if start + bounds.convergence <= timeline.end:
                yield incarnation, number, start + bounds.convergence


def _deadlines_of_edits(
    timeline: Timeline, bounds: CheckBounds
) -> Iterator[tuple[Incarnation, int, float]]:
    disturbances = list(_all_disturbances(timeline))
    digests = timeline.edited_digests()
    for edit in timeline.edits:
        if not edit.valid or len(digests[edit.revision]) > 1:
            continue  # the source forked; only an edit with a newer number resolves the conflict
        for incarnation in timeline.incarnations:
            start = _find_undisturbed_start(edit.time, incarnation, disturbances, bounds.recovery)
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


def _find_undisturbed_start(
    earliest: float, incarnation: Incarnation, disturbances: Iterable[Interval], length: float
) -> float:
    """Return the start of the first undisturbed interval of ``length`` seconds.

    Infinite if the incarnation ends before such an interval does.
    """
    start = max(earliest, incarnation.span.start)
    for span in sorted(disturbances, key=lambda item: item.start):
        if span.start < start + length and span.end >= start:
            start = span.end
    return start if start + length < incarnation.span.end else float("inf")


def check_never_reverted(timeline: Timeline, bounds: CheckBounds) -> Verdict:
    """Check that no process starts or resumes serving with a revision older than accepted ones.

    A process that starts serving must have each revision that has been in force on another
    node for ``bounds.convergence`` seconds.
    """
    accepted = sorted(timeline.first_in_force_times().items(), key=lambda item: item[1])
    judged = 0
    violations: list[Violation] = []
    for incarnation, checkpoint in _serving_checkpoints(timeline, bounds):
        due = _newest_accepted(accepted, checkpoint.known_since - bounds.convergence)
        judged += 1
        if checkpoint.number < due:
            message = f"serves revision {checkpoint.number} although revision {due} was accepted"
            violations.append(Violation(checkpoint.time, incarnation.node, message))
    return judge(Guarantee.NEVER_REVERTED, judged, violations)


@dataclass(frozen=True, slots=True)
class _ServingCheckpoint:
    """A time at which a process serves revision ``number`` and must know newer accepted ones.

    ``known_since`` is the earliest time at which it could learn of them; both are in seconds.
    """

    time: float
    known_since: float
    number: int


def _serving_checkpoints(
    timeline: Timeline, bounds: CheckBounds
) -> Iterator[tuple[Incarnation, _ServingCheckpoint]]:
    for incarnation in timeline.incarnations:
        checkpoints = [
            _ServingCheckpoint(span.start, span.start, span.number) for span in incarnation.serving
        ]
        checkpoints += _checkpoints_after_pauses(incarnation, bounds)
        cuts = timeline.cuts_of_zone(incarnation.zone)
        for checkpoint in checkpoints:
            earliest = checkpoint.known_since - bounds.convergence
            if not any(span.overlaps(earliest, checkpoint.time) for span in cuts):
                yield incarnation, checkpoint


def _checkpoints_after_pauses(
    incarnation: Incarnation, bounds: CheckBounds
) -> Iterator[_ServingCheckpoint]:
    """Yield a checkpoint for each pause after which the process serves."""
    for pause in incarnation.pauses:
        time = pause.end + bounds.wake_grace
        if incarnation.is_serving_at(time):
            yield _ServingCheckpoint(time, pause.end, incarnation.revision_at(time))


def _newest_accepted(accepted: list[tuple[int, float]], time: float) -> int:
    return max((number for number, since in accepted if since <= time), default=0)
