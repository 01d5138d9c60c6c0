"""What many hops add together, by resampling the measured times of one hop."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from pewtertack.lab.errors import LabUsageError
from pewtertack.lab.hop.measurement import HopSamples

DRAWS = 20_000


@dataclass(frozen=True, slots=True)
class AddedLatency:
    """Milliseconds that the proxies of a chain add, as a difference of quantiles."""

    p50: float
    p99: float
    p99_times_depth: float
    """What adding up one hop's p99 would give."""


def added_latency(hop: HopSamples, depth: int, seed: int) -> AddedLatency:
    """Sum ``depth`` times drawn with replacement, proxied and direct apart.

    Hops are taken to be independent of each other: what strikes all hops of a
    call together, such as a pause of their common machine, is left out.

    Raises:
        LabUsageError: there are no samples.
    """
    if not (hop.direct and hop.proxied):
        raise LabUsageError("the hop's samples are empty")
    random = Random(f"{seed}:{depth}")
    direct = _sums(random, hop.direct, depth)
    proxied = _sums(random, hop.proxied, depth)
    one_hop = _quantile(sorted(hop.proxied), 0.99) - _quantile(sorted(hop.direct), 0.99)
    return AddedLatency(
        p50=_quantile(proxied, 0.5) - _quantile(direct, 0.5),
        p99=_quantile(proxied, 0.99) - _quantile(direct, 0.99),
        p99_times_depth=one_hop * depth,
    )


def _sums(random: Random, times: Sequence[float], depth: int) -> list[float]:
    return sorted(sum(random.choices(times, k=depth)) for _ in range(DRAWS))


def _quantile(ordered: Sequence[float], share: float) -> float:
    return ordered[int(len(ordered) * share)]
