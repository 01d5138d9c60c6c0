"""Checks of each revision that comes into force: order, references, integrity and validity."""

from __future__ import annotations

from collections.abc import Iterator

from pewtertack.lab.history.timeline import Timeline
from pewtertack.lab.history.verdicts import CheckBounds, Guarantee, Verdict, Violation, judge
from pewtertack.lab.records import RevisionInForce


def check_revisions_monotonic(timeline: Timeline, _bounds: CheckBounds) -> Verdict:
    """Check that revision numbers in force never decrease on a node, also across restarts."""
    events = list(timeline.in_force())
    return judge(Guarantee.REVISIONS_MONOTONIC, len(events), _decreases(events))


def _decreases(events: list[RevisionInForce]) -> Iterator[Violation]:
    newest: dict[str, int] = {}
    for event in events:
        before = newest.get(event.node, 0)
        if event.revision < before:
            message = f"revision {event.revision} in force after {before}"
            yield Violation(event.time, event.node, message)
        newest[event.node] = max(before, event.revision)


def check_routes_complete(timeline: Timeline, _bounds: CheckBounds) -> Verdict:
    """Check that the service and secrets of each route in force exist on the same node."""
    judged = 0
    violations: list[Violation] = []
    for event in timeline.in_force():
        judged += len(event.routes)
        violations += _incomplete_routes(event)
    return judge(Guarantee.ROUTES_COMPLETE, judged, violations)


def _incomplete_routes(event: RevisionInForce) -> Iterator[Violation]:
    for name, route in event.routes.items():
        missing = [secret for secret in route.secrets if secret not in event.secrets]
        if route.service not in event.services:
            missing.append(route.service)
        if missing:
            message = f"route {name} of revision {event.revision} lacks {', '.join(missing)}"
            yield Violation(event.time, event.node, message)


def check_revisions_intact(timeline: Timeline, _bounds: CheckBounds) -> Verdict:
    """Check that each revision in force equals an edit, with one digest per number."""
    edited = timeline.edited_digests()
    first: dict[int, str] = {}
    judged = 0
    violations: list[Violation] = []
    for event in timeline.in_force():
        judged += 1
        if event.digest not in edited.get(event.revision, ()):
            message = f"revision {event.revision} with digest {event.digest} was never edited"
            violations.append(Violation(event.time, event.node, message))
        elif first.setdefault(event.revision, event.digest) != event.digest:
            message = f"revision {event.revision} is in force with two different digests"
            violations.append(Violation(event.time, event.node, message))
    return judge(Guarantee.REVISIONS_INTACT, judged, violations)


def check_rejected_never_in_force(timeline: Timeline, _bounds: CheckBounds) -> Verdict:
    """Check that no invalid revision comes into force; the invalid edits are counted as judged."""
    invalid = {edit.revision for edit in timeline.edits if not edit.valid}
    violations = (
        Violation(event.time, event.node, f"invalid revision {event.revision} in force")
        for event in timeline.in_force()
        if event.revision in invalid
    )
    return judge(Guarantee.REJECTED_NEVER_IN_FORCE, len(invalid), violations)
