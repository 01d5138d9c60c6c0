"""Latency that a chain of hops adds, estimated by resampling the measured times of one hop."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from pewtertack.lab.errors import LabUsageError
from pewtertack.lab.hop.measurement import HopSamples

DRAW_COUNT = 20_000


@dataclass(frozen=True, slots=True)
class AddedLatency:
    """Latency in milliseconds that the proxies of a chain add: the difference of two quantiles."""

    p50: float
    p99: float
    p99_times_depth: float
    """The p99 of one hop times the depth, for comparison."""


def added_latency(hop: HopSamples, depth: int, seed: int) -> AddedLatency:
    """Estimate the latency that the proxies of ``depth`` hops add.

    The times of ``depth`` hops are drawn with replacement and summed, for proxied and direct
    hops separately. Hops are assumed to be independent: events that delay all hops of a call
    together, such as a pause of their common machine, are not included.

    Raises:
        LabUsageError: there are no samples.
    """
    if not (hop.direct and hop.proxied):
        raise LabUsageError("the samples of the hop are empty")
    random = Random(f"{seed}:{depth}")
    direct = _sorted_sums(random, hop.direct, depth)
    proxied = _sorted_sums(random, hop.proxied, depth)
    one_hop = _quantile(sorted(hop.proxied), 0.99) - _quantile(sorted(hop.direct), 0.99)
    return AddedLatency(
        p50=_quantile(proxied, 0.5) - _quantile(direct, 0.5),
        p99=_quantile(proxied, 0.99) - _quantile(direct, 0.99),
        p99_times_depth=one_hop * depth,
    )


def _sorted_sums(random: Random, times: Sequence[float], depth: int) -> list[float]:
    return sorted(sum(random.choices(times, k=depth)) for _ in range(DRAW_COUNT))


def _quantile(ordered: Sequence[float], share: float) -> float:
    return ordered[int(len(ordered) * share)]
