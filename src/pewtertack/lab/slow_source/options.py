"""Options of a series with a slow source, validated before anything is started."""

from __future__ import annotations

import math

from pewtertack.lab.disabled_mechanisms import check_mechanism
from pewtertack.lab.errors import SlowSourceOptionError

MIN_NODES = 4
"""Enough for three zones, and for a majority while one node is stopped."""
MAX_NODES = 24
MAX_SECONDS = 24 * 3600.0
MIN_BOUND_SECONDS = 0.1
MAX_BOUND_SECONDS = 60.0
DEFAULT_BOUND_SECONDS = 3.0


class SlowSourceOptions:
    """The options of one series.

    Args:
        seconds: duration of the faults.
        seed: decides the faults.
        nodes: number of nodes.
        bound: time limit until an edit is in force, in seconds beyond one response of the source.
        without: a mechanism that is disabled in all nodes.

    Raises:
        SlowSourceOptionError: an option is out of range.
        LabUsageError: the mechanism does not exist.
    """

    __slots__ = ("bound", "nodes", "seconds", "seed", "without")

    def __init__(
        self,
        seconds: float,
        seed: int,
        nodes: int = MIN_NODES,
        bound: float = DEFAULT_BOUND_SECONDS,
        without: str = "",
    ) -> None:
        self.seconds = seconds
        self.seed = seed
        self.nodes = nodes
        self.bound = bound
        self.without = without
        self._validate()

    def _validate(self) -> None:
        if not math.isfinite(self.seconds) or not 0 < self.seconds <= MAX_SECONDS:
            raise SlowSourceOptionError(
                f"--seconds {self.seconds:g}: must be above 0 and at most {MAX_SECONDS:g}"
            )
        if self.seed < 0:
            raise SlowSourceOptionError(f"--seed {self.seed}: must be 0 or more")
        if not MIN_NODES <= self.nodes <= MAX_NODES:
            accepted = f"must be from {MIN_NODES} to {MAX_NODES}"
            raise SlowSourceOptionError(f"--nodes {self.nodes}: {accepted}")
        if not MIN_BOUND_SECONDS <= self.bound <= MAX_BOUND_SECONDS:
            accepted = f"must be from {MIN_BOUND_SECONDS:g} to {MAX_BOUND_SECONDS:g}"
            raise SlowSourceOptionError(f"--bound {self.bound:g}: {accepted}")
        if self.without:
            check_mechanism(self.without)
