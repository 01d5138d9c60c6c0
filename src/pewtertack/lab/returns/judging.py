"""What a series of returns must not show."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from pewtertack.lab.returns.world import SEEN_SECONDS, LateRequest

EDIT_BOUND = 3.0
"""Seconds within which an acknowledged edit is in force, beside the time the store is away."""
EDIT_MARGIN = 1.0
"""The store's absence counts from so many seconds before an edit: readers begin slowly again."""


def knew_better(starts: Sequence[float], asked: LateRequest) -> bool:
    """Tell whether the asking node had known the back end and seen it leave.

    One whose process has begun to serve since knows nothing of it.
    """
    known_by = asked.removed_at - SEEN_SECONDS
    return not any(known_by < start <= asked.at for start in starts)


def late_edits(
    edits: Mapping[int, float],
    in_force: Sequence[tuple[float, int]],
    serving_since: float,
    away: Sequence[tuple[float, float]],
) -> list[str]:
    """Return the acknowledged edits that a node which served throughout had late or never."""
    late = []
    for version, at in edits.items():
        if not 0 < serving_since <= at:
            continue
        bound = at + EDIT_BOUND
        bound += sum(end - begin for begin, end in away if at - EDIT_MARGIN <= begin <= bound)
        if not any(moment <= bound and held >= version for moment, held in in_force):
            late.append(f"version {version} not within {bound - at:.1f} s")
    return late
