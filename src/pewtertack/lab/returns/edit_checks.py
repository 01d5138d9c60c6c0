"""What a series of returns must not show."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

EDIT_BOUND = 3.0
"""Seconds within which an acknowledged edit is in force, beside the time the store is away."""
EDIT_MARGIN = 1.0
"""The store's absence counts from so many seconds before an edit: readers begin slowly again."""


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
