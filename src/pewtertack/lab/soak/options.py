"""Options of a soak, validated before any process is started."""

from __future__ import annotations

import math

from pewtertack.lab.disabled_mechanisms import check_mechanism
from pewtertack.lab.errors import SoakOptionError

MAX_MINUTES = 24 * 60.0
ZONES = ("ikeja", "yaba")
MIN_NODES = 2 * len(ZONES)
"""A local back end for each node, and a majority that runs while one is stopped."""
MAX_NODES = 24
DEFAULT_NODES = 6
MEMORY_BYTES_PER_PROCESS = 120_000_000
"""Memory of one process, with a margin."""
OTHER_PROCESS_COUNT = 10
"""Number of processes of back ends, platform, relay and callers."""
MAX_MEMORY_SHARE = 0.5
"""Fraction of the available memory that a soak may need."""
MEMORY_FILE = "/proc/meminfo"
MEMORY_KEY = "MemAvailable:"


class SoakOptions:
    """The options of one soak.

    Args:
        minutes: how long faults are injected.
        seed: determines the faults and the requests of callers.
        nodes: the number of nodes, equally many in each zone.
        disabled_mechanism: a mechanism to disable in all nodes; empty for none.

    Raises:
        SoakOptionError: an option is out of range, or the machine has too little memory.
        LabUsageError: there is no such mechanism.
    """

    __slots__ = ("disabled_mechanism", "minutes", "nodes", "seed")

    def __init__(
        self, minutes: float, seed: int, nodes: int = DEFAULT_NODES, disabled_mechanism: str = ""
    ) -> None:
        self.minutes = minutes
        self.seed = seed
        self.nodes = nodes
        self.disabled_mechanism = disabled_mechanism
        self._validate()

    @property
    def seconds(self) -> float:
        """How long faults are injected."""
        return self.minutes * 60

    def _validate(self) -> None:
        if not math.isfinite(self.minutes) or not 0 < self.minutes <= MAX_MINUTES:
            raise SoakOptionError(
                f"--minutes {self.minutes:g}: must be above 0 and at most {MAX_MINUTES:g}"
            )
        if self.seed < 0:
            raise SoakOptionError(f"--seed {self.seed}: must be 0 or more")
        if not MIN_NODES <= self.nodes <= MAX_NODES or self.nodes % len(ZONES):
            accepted = f"an even number from {MIN_NODES} to {MAX_NODES}"
            raise SoakOptionError(f"--nodes {self.nodes}: must be {accepted}")
        if self.disabled_mechanism:
            check_mechanism(self.disabled_mechanism)
        needed_bytes = (self.nodes + OTHER_PROCESS_COUNT) * MEMORY_BYTES_PER_PROCESS
        if needed_bytes > MAX_MEMORY_SHARE * available_memory():
            raise SoakOptionError(
                f"--nodes {self.nodes}: not enough memory, {needed_bytes} bytes needed"
            )


def available_memory() -> float:
    """Return the bytes available to new processes; infinity if unknown."""
    try:
        with open(MEMORY_FILE) as file:
            lines = [line.split() for line in file]
    except OSError:
        return math.inf
    available = [int(fields[1]) * 1024 for fields in lines if fields[0] == MEMORY_KEY]
    return available[0] if available else math.inf
