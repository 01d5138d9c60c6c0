"""Memory and descriptors of nodes while a soak runs, and whether they stay flat."""

from __future__ import annotations

import contextlib
import os
import statistics
import time
from collections.abc import Iterator

import anyio

from pewtertack.lab.fleet.fleet import Fleet
from pewtertack.lab.process_statistics import read_process

SAMPLE_SECONDS = 2.0
WARM_SAMPLES = 5
"""Of a process's first samples, not compared: it still loads code and makes connections."""
COMPARED_SAMPLES = 3
MOST_GROWN_BYTES = 48_000_000
MOST_GROWN_DESCRIPTORS = 120
"""More than all callers and their surges have connections with one node."""


class ProcessUse:
    """What one process of a node held at one time."""

    __slots__ = ("descriptors", "resident_bytes", "time")

    def __init__(self, when: float, resident_bytes: int, descriptors: int) -> None:
        self.time = when
        self.resident_bytes = resident_bytes
        self.descriptors = descriptors


class ResourceWatch:
    """Samples the nodes' processes, by node and process id."""

    __slots__ = ("_fleet", "uses")

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self.uses: dict[tuple[str, int], list[ProcessUse]] = {}

    async def run(self) -> None:
        """Sample until cancelled."""
        while True:
            self.sample()
            await anyio.sleep(SAMPLE_SECONDS)

    def sample(self) -> None:
        """Read all nodes that run."""
        for name in self._fleet.running_nodes():
            pid = self._fleet.node_pid(name)
            with contextlib.suppress(OSError):  # it has just ended
                self.uses.setdefault((name, pid), []).append(_read(pid))

    def problems(self) -> list[str]:
        """Return a line for each process that grew beyond the bounds."""
        return [line for key, uses in self.uses.items() for line in growth_of(key[0], uses)]


def _read(pid: int) -> ProcessUse:
    descriptors = len(os.listdir(f"/proc/{pid}/fd"))
    return ProcessUse(time.time(), read_process(pid).resident_bytes, descriptors)


def growth_of(node: str, uses: list[ProcessUse]) -> Iterator[str]:
    """Yield what one process holds more at its end than once it was warm, beyond the bounds."""
    judged = uses[WARM_SAMPLES:]
    if len(judged) < 2 * COMPARED_SAMPLES:
        return
    first, last = judged[:COMPARED_SAMPLES], judged[-COMPARED_SAMPLES:]
    grown = _median_resident(last) - _median_resident(first)
    if grown > MOST_GROWN_BYTES:
        yield f"{node}: memory grew by {grown / 1_000_000:.0f} MB"
    opened = min(use.descriptors for use in last) - max(use.descriptors for use in first)
    if opened > MOST_GROWN_DESCRIPTORS:
        yield f"{node}: {opened} more descriptors than once it was warm"


def _median_resident(uses: list[ProcessUse]) -> float:
    return statistics.median(use.resident_bytes for use in uses)
