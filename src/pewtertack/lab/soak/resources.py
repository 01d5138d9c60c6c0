"""Samples the memory and descriptors of nodes during a soak and checks that they do not grow."""

from __future__ import annotations

import contextlib
import os
import statistics
import time
from collections.abc import Iterator

import anyio

from pewtertack.lab.fleet.fleet import Fleet
from pewtertack.lab.process_statistics import read_process

SAMPLE_INTERVAL_SECONDS = 2.0
WARMUP_SAMPLES = 5
"""Number of first samples of a process that are not compared, because it still loads code and opens
connections."""
COMPARED_SAMPLES = 3
MAX_GROWTH_BYTES = 48_000_000
MAX_GROWTH_DESCRIPTORS = 120
"""More than the connections of all callers with one node, including surges."""


class ResourceSample:
    """Resource use of one process of a node at one time."""

    __slots__ = ("descriptors", "resident_bytes", "time")

    def __init__(self, sampled_at: float, resident_bytes: int, descriptors: int) -> None:
        self.time = sampled_at
        self.resident_bytes = resident_bytes
        self.descriptors = descriptors


class ResourceMonitor:
    """Samples the processes of nodes, by node and process id."""

    __slots__ = ("_fleet", "samples")

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self.samples: dict[tuple[str, int], list[ResourceSample]] = {}

    async def run(self) -> None:
        """Sample until cancelled."""
        while True:
            self.sample()
            await anyio.sleep(SAMPLE_INTERVAL_SECONDS)

    def sample(self) -> None:
        """Take one sample of each running node."""
        for name in self._fleet.running_nodes():
            pid = self._fleet.node_pid(name)
            with contextlib.suppress(OSError):  # the process has just exited
                self.samples.setdefault((name, pid), []).append(_take_sample(pid))

    def problems(self) -> list[str]:
        """Return a text for each resource of a process that grew too much."""
        return [
            line
            for key, samples in self.samples.items()
            for line in growth_problems(key[0], samples)
        ]


def _take_sample(pid: int) -> ResourceSample:
    descriptors = len(os.listdir(f"/proc/{pid}/fd"))
    return ResourceSample(time.time(), read_process(pid).resident_bytes, descriptors)


def growth_problems(node: str, samples: list[ResourceSample]) -> Iterator[str]:
    """Yield a text for each resource that grew too much between the warmup and the last samples."""
    compared = samples[WARMUP_SAMPLES:]
    if len(compared) < 2 * COMPARED_SAMPLES:
        return
    first, last = compared[:COMPARED_SAMPLES], compared[-COMPARED_SAMPLES:]
    grown_bytes = _median_resident(last) - _median_resident(first)
    if grown_bytes > MAX_GROWTH_BYTES:
        yield f"{node}: memory grew by {grown_bytes / 1_000_000:.0f} MB"
    added_descriptors = min(sample.descriptors for sample in last) - max(
        sample.descriptors for sample in first
    )
    if added_descriptors > MAX_GROWTH_DESCRIPTORS:
        yield f"{node}: {added_descriptors} more descriptors than after the warmup"


def _median_resident(samples: list[ResourceSample]) -> float:
    return statistics.median(sample.resident_bytes for sample in samples)
