"""Choice of a back end: the best of a few drawn at random, the own zone first.

Where a gateway admits requests up to ``SAMPLE_SIZE`` are compared, elsewhere two.
"""

from __future__ import annotations

from collections.abc import Container, Sequence
from random import Random

import msgspec

from pewtertack.routing.backend import STALL_PENALTY, Backend

SATURATED_OCCUPANCY = 1.0
"""Estimated occupancy from which a back end of the own zone is no longer preferred."""
COMPARE_ALL_UP_TO = 8
"""Up to this number all back ends are compared; a fleet of 13 machines in 4 zones needs it."""
SAMPLE_SIZE = 3
"""Number of back ends compared where there are more. With 18 senders and 11 half-loaded gateways of
3 slots, a sample of two or three reduces the simulated mean wait from 26 ms to 7 to 10 ms."""
MAX_DRAWS = 12
"""Maximum number of draws for a sample; back ends that are not usable are skipped."""
CROWDING_FACTOR = 1.5
"""Relative increase of the expected answer time at a back end whose slots are all taken. Without
it all senders fill the fastest back end first and collide there, since reports are outdated by the
time that others read them. With 8 senders and 7 gateways it reduces the simulated mean wait, for
two seeds, from 10.6 and 15.2 ms to 9.7 and 14.2 at half load, and from 79 and 85 ms to 79 and 80
at a load of 0.95."""
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
    """What a request requires of the gateway that it is sent to. Times in seconds."""

    expected_time: float
    """Mean time of the route's answers, 0 while unknown."""
    mean_time: float
    """Mean time of all answers of the service."""
    max_wait: float
    """How long the request may wait in its own zone, where no bytes cross zones."""
    excluded: Container[str]
    """Back ends that earlier attempts have tried."""
    refused: Container[str] = NONE_EXCLUDED
    """Those of them whose gateways have refused it."""
    link_seconds: float = 0.0
    """Time for which its answer alone occupies the link of the back end's node; 0 if short."""


def choose_gateway(
    local: Sequence[Backend],
    remote: Sequence[Backend],
    criteria: GatewayCriteria,
    now: float,
    random: Random,
) -> Backend | None:
    """Return the back end whose gateway to send the request to, or ``None``.

    If there are many, a few are drawn at random and compared: senders that all compare all of them
    collide at the one that seems free, since a sender with many back ends has outdated reports.
    The own zone is left only when the wait there is too long and elsewhere it is not:
    an answer that is late anyway is not worth the bytes between zones.
    Back ends in ``criteria.excluded`` are taken only when no other is usable, and those in
    ``criteria.refused`` last, since they are likely to refuse the request again.
    """
    chosen = _choose_untried(local, remote, criteria, now, random)
    for excluded in (criteria.refused, NONE_EXCLUDED):
        if chosen is None and criteria.excluded:
            others = msgspec.structs.replace(criteria, excluded=excluded)
            chosen = _choose_untried(local, remote, others, now, random)
    return chosen


def _choose_untried(
    local: Sequence[Backend],
    remote: Sequence[Backend],
    criteria: GatewayCriteria,
    now: float,
    random: Random,
) -> Backend | None:
    best_local = _fastest(_sample(local, criteria, now, random), criteria, now, random)
    if best_local is not None and _is_soon_enough(best_local, criteria, now):
        return best_local
    if len(local) > COMPARE_ALL_UP_TO:
        best_local = _fastest(_untried(local, criteria, now), criteria, now, random)
        if best_local is not None and _is_soon_enough(best_local, criteria, now):
            return best_local
    best_remote = _fastest(_sample(remote, criteria, now, random), criteria, now, random)
    if best_local is None or best_remote is None:
        return best_local or best_remote
    return best_remote if _is_soon_enough(best_remote, criteria, now) else best_local


def _is_soon_enough(backend: Backend, criteria: GatewayCriteria, now: float) -> bool:
    if (
        criteria.link_seconds
        and backend.link_wait(now) - criteria.expected_time > criteria.max_wait
    ):
        return False  # its answer would wait longer for the link
    return backend.expected_wait(now, criteria.mean_time) <= criteria.max_wait


def _untried(backends: Sequence[Backend], criteria: GatewayCriteria, now: float) -> list[Backend]:
    return [item for item in backends if item.usable(now) and item.name not in criteria.excluded]


def _sample(
    backends: Sequence[Backend], criteria: GatewayCriteria, now: float, random: Random
) -> Sequence[Backend]:
    """Return a few back ends drawn at random, or all if there are few."""
    count = len(backends)
    if count <= COMPARE_ALL_UP_TO:
        return _untried(backends, criteria, now)
    drawn: list[Backend] = []
    for _ in range(MAX_DRAWS):
        item = backends[int(random.random() * count)]
        if item not in drawn and item.name not in criteria.excluded and item.usable(now):
            drawn.append(item)
            if len(drawn) == SAMPLE_SIZE:
                return drawn
    return drawn or _untried(backends, criteria, now)


def _fastest(
    backends: Sequence[Backend], criteria: GatewayCriteria, now: float, random: Random
) -> Backend | None:
    """Return the back end expected to answer first; one at random if several are equal."""

    def cost(backend: Backend) -> tuple[float, float]:
        wait = backend.expected_wait(now, criteria.mean_time)
        stalled = STALL_PENALTY if backend.stalled(now, criteria.mean_time) else 1.0
        slowness = backend.known_slowness(now) * stalled
        occupancy = backend.occupancy(now)
        crowding = 1 + CROWDING_FACTOR * occupancy * occupancy
        ready = wait + criteria.expected_time * slowness * crowding
        if criteria.link_seconds:
            ready = max(ready, backend.link_wait(now))
        return ready, occupancy * stalled

    if len(backends) < 2:
        return backends[0] if backends else None
    costs = [cost(backend) for backend in backends]
    least = min(costs)
    if costs.count(least) == 1:
        return backends[costs.index(least)]
    tied = [backend for backend, own in zip(backends, costs, strict=True) if own == least]
    return tied[int(random.random() * len(tied))]
