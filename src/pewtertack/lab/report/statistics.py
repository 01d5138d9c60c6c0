"""Percentiles of samples."""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

import msgspec


class Distribution(msgspec.Struct, frozen=True):
    """Nearest-rank percentiles, in the unit of the sample; zeros if the sample is empty."""

    count: int
    p50: float
    p99: float
    max: float


def percentile(ordered: Sequence[float], share: float) -> float:
    """Return the nearest-rank percentile of a sorted sample; 0 if the sample is empty.

    ``share`` is between 0 and 1.
    """
    if not ordered:
        return 0.0
    rank = math.ceil(share * len(ordered))
    return ordered[max(rank, 1) - 1]


def distribution_of(values: Iterable[float]) -> Distribution:
    """Return the percentiles of ``values``, rounded to six decimal places."""
    ordered = sorted(values)
    p50, p99, maximum = (round(percentile(ordered, share), 6) for share in (0.5, 0.99, 1.0))
    return Distribution(len(ordered), p50, p99, maximum)
