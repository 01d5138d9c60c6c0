"""Checks that edits come into force in time despite restores of the store."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

EDIT_BOUND_SECONDS = 3.0
"""Seconds within which an acknowledged edit is in force, plus the time of store outages."""
OUTAGE_MARGIN_SECONDS = 1.0
"""Outages that began up to this many seconds before an edit also extend the bound, because readers
back off from an unreachable store and resume slowly."""


def late_edits(
    edits: Mapping[int, float],
    in_force: Sequence[tuple[float, int]],
    serving_since: float,
    away: Sequence[tuple[float, float]],
) -> list[str]:
    """Return the edits that a node put in force late or never, though it served since before them.

    Args:
        edits: when each version was acknowledged, in monotonic seconds.
        in_force: when the node put versions in force, in monotonic seconds, with the versions.
        serving_since: since when the node has served; 0 if it does not.
        away: begin and end of the outages of the store.
    """
    late = []
    for version, at in edits.items():
        if not 0 < serving_since <= at:
            continue
        bound = at + EDIT_BOUND_SECONDS
        bound += sum(
            end - begin for begin, end in away if at - OUTAGE_MARGIN_SECONDS <= begin <= bound
        )
        if not any(moment <= bound and held >= version for moment, held in in_force):
            late.append(f"version {version} not in force within {bound - at:.1f} s")
    return late
