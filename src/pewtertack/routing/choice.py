"""Choice of a back end: the better of two drawn at random, the own zone first."""

from __future__ import annotations

from collections.abc import Container, Sequence
from random import Random

import msgspec

from pewtertack.routing.backend import STALL_PENALTY, Backend

SATURATED_OCCUPANCY = 1.0
"""Estimated occupancy from which a back end of the own zone is no longer preferred."""
COMPARE_ALL_UP_TO = 8
"""Up to so many back ends are all compared; what 13 machines in 4 zones need."""
SAMPLE_SIZE = 3
"""So many of more are. In virtual time (18 senders, 11 gateways of 3 slots, half loaded) two
or three bring the mean wait from 26 to 7 to 10 ms."""
MAX_DRAWS = 12
"""Attempts to draw them; those that are not usable do not count."""
CROWDING_FACTOR = 1.5
"""How much longer an answer is taken to need at a back end whose slots are all taken. Without
it all fill the fastest one first and meet there, since reports are old by the time that others
read them. In virtual time (8 senders, 7 gateways, seeds 1 and 2) the mean wait falls from
10.6 and 15.2 ms to 9.7 and 14.2 at half load, from 79 and 85 to 79 and 80 at 0.95."""
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
    chosen = _better_of_two(local, now, random, excluded, SATURATED_OCCUPANCY)
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


class GatewayCriteria(msgspec.Struct, frozen=True):
    """What a request asks of the back end beside whose node it will wait. Seconds."""

    expected_time: float
    """Mean time of the route's answers, 0 while unknown."""
    mean_time: float
    """Mean time of all answers of the service."""
    max_wait: float
    """How long the request may wait in its own zone, where no bytes cross zones."""
    excluded: Container[str]
    """Those that earlier attempts have tried."""
    refused: Container[str] = NONE_EXCLUDED
    """Those of them that have refused it."""
    link_seconds: float = 0.0
    """What its answer takes the link of the back end's node alone; 0 if it is short."""


def choose_gateway(
    local: Sequence[Backend],
    remote: Sequence[Backend],
    wish: GatewayCriteria,
    now: float,
    random: Random,
) -> Backend | None:
    """Return the back end whose gateway to ask, or ``None``.

    Of many, a few drawn at random are compared: senders that all look at all meet at the
    one they believe free, and reports are old where each sender has many to hear from.
    The own zone is left only when the wait there is too long and elsewhere it is not:
    an answer that is late all the same is not worth the bytes between zones.
    Back ends in ``wish.excluded`` are taken only when no other is usable, and those in
    ``wish.refused`` last: what has refused a request will do so again.
    """
    chosen = _choose_untried(local, remote, wish, now, random)
    for excluded in (wish.refused, NONE_EXCLUDED):
        if chosen is None and wish.excluded:
            others = msgspec.structs.replace(wish, excluded=excluded)
            chosen = _choose_untried(local, remote, others, now, random)
    return chosen


def _choose_untried(
    local: Sequence[Backend],
    remote: Sequence[Backend],
    wish: GatewayCriteria,
    now: float,
    random: Random,
) -> Backend | None:
    near = _fastest(_sample(local, wish, now, random), wish, now, random)
    if near is not None and _is_soon_enough(near, wish, now):
        return near
    if len(local) > COMPARE_ALL_UP_TO:
        near = _fastest(_untried(local, wish, now), wish, now, random)
        if near is not None and _is_soon_enough(near, wish, now):
            return near
    far = _fastest(_sample(remote, wish, now, random), wish, now, random)
    if near is None or far is None:
        return near or far
    return far if _is_soon_enough(far, wish, now) else near


def _is_soon_enough(backend: Backend, wish: GatewayCriteria, now: float) -> bool:
    if wish.link_seconds and backend.link_wait(now) - wish.expected_time > wish.max_wait:
        return False  # its answer will have to wait longer for the link
    return backend.expected_wait(now, wish.mean_time) <= wish.max_wait


def _untried(backends: Sequence[Backend], wish: GatewayCriteria, now: float) -> list[Backend]:
    return [item for item in backends if item.usable(now) and item.name not in wish.excluded]


def _sample(
    backends: Sequence[Backend], wish: GatewayCriteria, now: float, random: Random
) -> Sequence[Backend]:
    """Return a few back ends to compare, at random; all where they are few."""
    count = len(backends)
    if count <= COMPARE_ALL_UP_TO:
        return _untried(backends, wish, now)
    drawn: list[Backend] = []
    for _ in range(MAX_DRAWS):
        item = backends[int(random.random() * count)]
        if item not in drawn and item.name not in wish.excluded and item.usable(now):
            drawn.append(item)
            if len(drawn) == SAMPLE_SIZE:
                return drawn
    return drawn or _untried(backends, wish, now)


def _fastest(
    backends: Sequence[Backend], wish: GatewayCriteria, now: float, random: Random
) -> Backend | None:
    """Return the back end from which the answer is expected first, any of those that are alike."""

    def cost(backend: Backend) -> tuple[float, float]:
        wait = backend.expected_wait(now, wish.mean_time)
        stalled = STALL_PENALTY if backend.stalled(now, wish.mean_time) else 1.0
        slowness = backend.known_slowness(now) * stalled
        occupancy = backend.occupancy(now)
        crowding = 1 + CROWDING_FACTOR * occupancy * occupancy
        ready = wait + wish.expected_time * slowness * crowding
        if wish.link_seconds:
            ready = max(ready, backend.link_wait(now))
        return ready, occupancy * stalled

    if len(backends) < 2:
        return backends[0] if backends else None
    costs = [cost(backend) for backend in backends]
    least = min(costs)
    if costs.count(least) == 1:
        return backends[costs.index(least)]
    alike = [backend for backend, own in zip(backends, costs, strict=True) if own == least]
    return alike[int(random.random() * len(alike))]
