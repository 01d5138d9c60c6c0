"""What a soak is asked to do, checked before anything is started."""

from __future__ import annotations

import math

from pewtertack.lab.disabled_mechanisms import check_mechanism
from pewtertack.lab.errors import SoakOptionError

MOST_MINUTES = 24 * 60.0
ZONES = ("ikeja", "yaba")
FEWEST_NODES = 2 * len(ZONES)
"""A back end beside each, and a majority that lives on while one is stopped."""
MOST_NODES = 24
DEFAULT_NODES = 6
MEMORY_BYTES = 120_000_000
"""Of one process, with room to spare."""
OTHER_PROCESSES = 10
"""Back ends, platform, relay and callers."""
MEMORY_SHARE = 0.5
MEMORY_FILE = "/proc/meminfo"
MEMORY_KEY = "MemAvailable:"


class SoakOptions:
    """The options of one soak.

    Args:
        minutes: how long faults go on.
        seed: decides the faults and the callers' requests.
        nodes: how many nodes, the same number in each zone.
        disabled_mechanism: a mechanism that is switched off in all nodes.

    Raises:
        SoakOptionError: an option makes no sense, or the machine has too little memory.
        LabUsageError: there is no such mechanism.
    """

    __slots__ = ("minutes", "nodes", "seed", "disabled_mechanism")

    def __init__(
        self, minutes: float, seed: int, nodes: int = DEFAULT_NODES, disabled_mechanism: str = ""
    ) -> None:
        self.minutes = minutes
        self.seed = seed
        self.nodes = nodes
        self.disabled_mechanism = disabled_mechanism
        self._check()

    @property
    def seconds(self) -> float:
        """How long faults go on."""
        return self.minutes * 60

    def _check(self) -> None:
        if not math.isfinite(self.minutes) or not 0 < self.minutes <= MOST_MINUTES:
            raise SoakOptionError(f"--minutes {self.minutes:g}: above 0, at most {MOST_MINUTES:g}")
        if self.seed < 0:
            raise SoakOptionError(f"--seed {self.seed}: 0 or more")
        if not FEWEST_NODES <= self.nodes <= MOST_NODES or self.nodes % len(ZONES):
            accepted = f"an even number from {FEWEST_NODES} to {MOST_NODES}"
            raise SoakOptionError(f"--nodes {self.nodes}: {accepted}")
        if self.disabled_mechanism:
            check_mechanism(self.disabled_mechanism)
        needed = (self.nodes + OTHER_PROCESSES) * MEMORY_BYTES
        if needed > MEMORY_SHARE * available_memory():
            raise SoakOptionError(f"--nodes {self.nodes}: too little memory, {needed} bytes needed")


def available_memory() -> float:
    """Return the bytes that the machine can give to new processes; infinite if unknown."""
    try:
        with open(MEMORY_FILE) as file:
            lines = [line.split() for line in file]
    except OSError:
        return math.inf
    found = [int(fields[1]) * 1024 for fields in lines if fields[0] == MEMORY_KEY]
    return found[0] if found else math.inf
