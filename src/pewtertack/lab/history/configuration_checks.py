"""Checks of single changes: order, completeness, wholeness, validity."""

from __future__ import annotations

from collections.abc import Iterator

from pewtertack.lab.history.timeline import Timeline
from pewtertack.lab.history.verdicts import CheckBounds, Guarantee, Verdict, Violation, judge
from pewtertack.lab.records import RevisionInForce


def check_revisions_monotonic(timeline: Timeline, _bounds: CheckBounds) -> Verdict:
    """No node name ever has an older revision in force than before, in any process."""
    events = list(timeline.in_force())
    return judge(Guarantee.REVISIONS_MONOTONIC, len(events), _steps_back(events))


def _steps_back(events: list[RevisionInForce]) -> Iterator[Violation]:
    newest: dict[str, int] = {}
    for event in events:
        before = newest.get(event.node, 0)
        if event.revision < before:
            message = f"revision {event.revision} in force after {before}"
            yield Violation(event.time, event.node, message)
        newest[event.node] = max(before, event.revision)


def check_routes_complete(timeline: Timeline, _bounds: CheckBounds) -> Verdict:
    """Every route in force finds its service and its secrets on the same proxy."""
    judged = 0
    offences: list[Violation] = []
    for event in timeline.in_force():
        judged += len(event.routes)
        offences += _incomplete_routes(event)
    return judge(Guarantee.ROUTES_COMPLETE, judged, offences)


def _incomplete_routes(event: RevisionInForce) -> Iterator[Violation]:
    for name, route in event.routes.items():
        missing = [secret for secret in route.secrets if secret not in event.secrets]
        if route.service not in event.services:
            missing.append(route.service)
        if missing:
            message = f"route {name} of revision {event.revision} lacks {', '.join(missing)}"
            yield Violation(event.time, event.node, message)


def check_revisions_intact(timeline: Timeline, _bounds: CheckBounds) -> Verdict:
    """What is in force is a whole edit, the same under one number everywhere."""
    edited = timeline.edited_digests()
    first: dict[int, str] = {}
    judged = 0
    offences: list[Violation] = []
    for event in timeline.in_force():
        judged += 1
        if event.digest not in edited.get(event.revision, ()):
            message = f"revision {event.revision} with digest {event.digest} was never edited"
            offences.append(Violation(event.time, event.node, message))
        elif first.setdefault(event.revision, event.digest) != event.digest:
            message = f"revision {event.revision} is in force elsewhere with another digest"
            offences.append(Violation(event.time, event.node, message))
    return judge(Guarantee.REVISIONS_INTACT, judged, offences)


def check_rejected_never_in_force(timeline: Timeline, _bounds: CheckBounds) -> Verdict:
    """No invalid revision is ever in force. Judged are the invalid edits."""
    invalid = {edit.revision for edit in timeline.edits if not edit.valid}
    offences = (
        Violation(event.time, event.node, f"invalid revision {event.revision} in force")
        for event in timeline.in_force()
        if event.revision in invalid
    )
    return judge(Guarantee.REJECTED_NEVER_IN_FORCE, len(invalid), offences)
