"""Choice of a back end: the better of two drawn at random, the own zone first."""

from __future__ import annotations

from collections.abc import Container, Sequence
from random import Random

import msgspec

from pewtertack.routing.backend import STALL_PENALTY, Backend

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

    drawn = _draw_two(backends, random)
    fitting = [backend for backend in drawn if fits(backend)]
    if not fitting and len(backends) > 2:
        fitting = [backend for backend in backends if fits(backend)]
    return _better(fitting, now, random)


def _better(backends: Sequence[Backend], now: float, random: Random) -> Backend | None:
    if len(backends) < 2:
        return backends[0] if backends else None
    first, second = _draw_two(backends, random)
    return second if second.score(now) < first.score(now) else first


def _draw_two(backends: Sequence[Backend], random: Random) -> Sequence[Backend]:
    """Return two different back ends in random order; fewer if there are no two.

    ``random.sample`` takes twice as long.
    """
    count = len(backends)
    if count < 2:
        return backends
    first = int(random.random() * count)
    second = int(random.random() * (count - 1))
    return backends[first], backends[second + (second >= first)]


class Wish(msgspec.Struct, frozen=True):
    """What a request asks of the back end beside whose node it will wait. Seconds."""

    expected_time: float
    """Mean time of the route's answers, 0 while unknown."""
    mean_time: float
    """Mean time of all answers of the service."""
    patience: float
    """How long the request may wait in its own zone, where no bytes cross zones."""
    excluded: Container[str]


def choose_gateway(
    local: Sequence[Backend], remote: Sequence[Backend], wish: Wish, now: float
) -> Backend | None:
    """Return the back end whose gateway to ask, or ``None``.

    The own zone is left only when the wait there is too long and elsewhere it is not:
    an answer that is late all the same is not worth the bytes between zones.
    Back ends in ``wish.excluded`` are taken only when no other is usable.
    """
    usable = [item for item in (*local, *remote) if item.usable(now)]
    fresh = [item for item in usable if item.name not in wish.excluded] or usable
    near = _soonest([item for item in fresh if item in local], wish, now)
    if near is not None and near.expected_wait(now, wish.mean_time) <= wish.patience:
        return near
    far = _soonest([item for item in fresh if item not in local], wish, now)
    if near is None or far is None:
        return near or far
    return far if far.expected_wait(now, wish.mean_time) <= wish.patience else near


def _soonest(backends: Sequence[Backend], wish: Wish, now: float) -> Backend | None:
    """Return the back end from which the answer is expected first."""

    def cost(backend: Backend) -> tuple[float, float]:
        wait = backend.expected_wait(now, wish.mean_time)
        stalled = STALL_PENALTY if backend.stalled(now, wish.mean_time) else 1.0
        slowness = backend.slowness * stalled
        return wait + wish.expected_time * slowness, backend.occupancy(now) * stalled

    return min(backends, key=cost, default=None)
