"""What a series with a slow source is asked to do, checked before anything is started."""

from __future__ import annotations

import math

from pewtertack.lab.disabled_mechanisms import check_mechanism
from pewtertack.lab.errors import SlowSourceOptionError

FEWEST_NODES = 4
"""Three zones, and a majority that lives on while one node is stopped."""
MOST_NODES = 24
MOST_SECONDS = 24 * 3600.0
SHORTEST_BOUND = 0.1
LONGEST_BOUND = 60.0
DEFAULT_BOUND = 3.0


class SlowSourceOptions:
    """The options of one series.

    Args:
        seconds: for how long faults go on.
        seed: decides them.
        nodes: how many.
        bound: seconds beyond one answer of the source within which an edit is in force.
        without: a mechanism that is switched off in all nodes.

    Raises:
        SlowSourceOptionError: an option makes no sense.
        LabUsageError: there is no such mechanism.
    """

    __slots__ = ("bound", "nodes", "seconds", "seed", "without")

    def __init__(
        self,
        seconds: float,
        seed: int,
        nodes: int = FEWEST_NODES,
        bound: float = DEFAULT_BOUND,
        without: str = "",
    ) -> None:
        self.seconds = seconds
        self.seed = seed
        self.nodes = nodes
        self.bound = bound
        self.without = without
        self._check()

    def _check(self) -> None:
        if not math.isfinite(self.seconds) or not 0 < self.seconds <= MOST_SECONDS:
            raise SlowSourceOptionError(
                f"--seconds {self.seconds:g}: above 0, at most {MOST_SECONDS:g}"
            )
        if self.seed < 0:
            raise SlowSourceOptionError(f"--seed {self.seed}: 0 or more")
        if not FEWEST_NODES <= self.nodes <= MOST_NODES:
            accepted = f"from {FEWEST_NODES} to {MOST_NODES}"
            raise SlowSourceOptionError(f"--nodes {self.nodes}: {accepted}")
        if not SHORTEST_BOUND <= self.bound <= LONGEST_BOUND:
            accepted = f"from {SHORTEST_BOUND:g} to {LONGEST_BOUND:g}"
            raise SlowSourceOptionError(f"--bound {self.bound:g}: {accepted}")
        if self.without:
            check_mechanism(self.without)
