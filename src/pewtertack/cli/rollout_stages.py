"""Which stages a revision has reached at one node, and when, from what the node tells."""

from __future__ import annotations

from pewtertack.core.replication.stages import MAX_TRACKED_REVISIONS, Stage
from pewtertack.node.status import NodeStatus, StagesStatus


def newest_reported_revision(node: NodeStatus) -> int:
    """Return the newest revision that a node has heard of."""
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
    kept = node.stages
    if len(kept) >= MAX_TRACKED_REVISIONS and kept[-1].number > revision:
        return {}  # when it was heard of is no longer known
    moments: dict[Stage, float] = {}
    for item in kept:
        if item.number < revision:
            continue
        for stage, at in _times(item):
            moments[stage] = min(at, moments.get(stage, at))
    return moments


def _times(item: StagesStatus) -> list[tuple[Stage, float]]:
    times = {
        Stage.REPORTED: item.heard,
        Stage.HELD: item.held,
        Stage.COMMITTED: item.committed,
        Stage.IN_FORCE: item.in_force,
    }
    return [(stage, at) for stage, at in times.items() if at is not None]
