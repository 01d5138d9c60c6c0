"""Choice of a back end: the better of two drawn at random, the own zone first."""

from __future__ import annotations

from collections.abc import Container, Sequence
from random import Random

from pewtertack.routing.backend import Backend

SATURATED = 1.0
"""Estimated occupancy from which a back end of the own zone is no longer preferred."""
NONE_EXCLUDED: frozenset[str] = frozenset()


def choose(
    local: Sequence[Backend],
    remote: Sequence[Backend],
    now: float,
    random: Random,
    excluded: Container[str] = NONE_EXCLUDED,
) -> Backend | None:
    """Return a back end that may take one more request, or ``None``.

    Two are drawn from the own zone; when none there is usable and unsaturated,
    two are drawn from all that are usable. Names in ``excluded`` (tried before
    by the same request) are taken only when nothing else is usable.
    """
    chosen = _better_of_two(local, now, random, excluded, SATURATED)
    if chosen is not None:
        return chosen
    usable = [backend for backend in (*local, *remote) if backend.usable(now)]
    fresh = [backend for backend in usable if backend.name not in excluded]
    return _better(fresh or usable, now, random)


def _better_of_two(
    backends: Sequence[Backend],
    now: float,
    random: Random,
    excluded: Container[str],
    saturated: float,
) -> Backend | None:
    def fits(backend: Backend) -> bool:
        return (
            backend.usable(now)
            and backend.name not in excluded
            and backend.occupancy(now) < saturated
        )

    drawn = random.sample(backends, 2) if len(backends) > 2 else backends
    fitting = [backend for backend in drawn if fits(backend)]
    if not fitting and len(backends) > 2:
        fitting = [backend for backend in backends if fits(backend)]
    return _better(fitting, now, random)


def _better(backends: Sequence[Backend], now: float, random: Random) -> Backend | None:
    drawn = random.sample(backends, min(2, len(backends)))
    return min(drawn, key=lambda backend: backend.score(now), default=None)
