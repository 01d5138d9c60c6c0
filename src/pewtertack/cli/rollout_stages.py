"""The stages that a revision has reached at one node, and when, from the node's status."""

from __future__ import annotations

from pewtertack.core.replication.stages import MAX_TRACKED_REVISIONS, Stage
from pewtertack.node.status import NodeStatus, StagesStatus


def newest_reported_revision(node: NodeStatus) -> int:
    """Return the newest revision known to a node."""
    return max(node.newest_heard, node.held.number, node.committed.number)


def revision_at_stage(node: NodeStatus, stage: Stage) -> int:
    """Return the newest revision that has reached a stage at a node."""
    numbers = {
        Stage.REPORTED: newest_reported_revision(node),
        Stage.HELD: max(node.held.number, node.in_force.number),
        Stage.COMMITTED: node.committed.number,
        Stage.IN_FORCE: node.in_force.number,
    }
    return numbers[stage]


def stage_times(revision: int, node: NodeStatus) -> dict[Stage, float]:
    """Return the Unix times at which ``revision`` or a newer one reached its stages."""
    tracked = node.stages
    if len(tracked) >= MAX_TRACKED_REVISIONS and tracked[-1].number > revision:
        return {}  # the node no longer tracks when the revision was reported
    times: dict[Stage, float] = {}
    for item in tracked:
        if item.number < revision:
            continue
        for stage, at in _recorded_times(item):
            times[stage] = min(at, times.get(stage, at))
    return times


def _recorded_times(item: StagesStatus) -> list[tuple[Stage, float]]:
    times = {
        Stage.REPORTED: item.heard,
        Stage.HELD: item.held,
        Stage.COMMITTED: item.committed,
        Stage.IN_FORCE: item.in_force,
    }
    return [(stage, at) for stage, at in times.items() if at is not None]
