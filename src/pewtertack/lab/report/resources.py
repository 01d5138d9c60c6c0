"""Processor time and memory of the node processes, read from ``/proc``."""

from __future__ import annotations

import time
from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from pewtertack.lab.fleet.fleet import Fleet
from pewtertack.lab.process_statistics import ProcessSample, read_process
from pewtertack.lab.report.statistics import Distribution, distribution_of


class NodeResources(msgspec.Struct, frozen=True):
    """Resources of the nodes whose processes ran during the whole measurement.

    They include the handling of callers' requests as well as control traffic.
    """

    core_share: Distribution
    resident_megabytes: Distribution
    """Resident memory at the end of the measurement, in megabytes."""


@dataclass(frozen=True, slots=True)
class ResourceSample:
    """Statistics of the node processes at one time, by process id."""

    time: float
    processes: Mapping[int, ProcessSample]


def sample_resources(fleet: Fleet) -> ResourceSample:
    """Read the statistics of all running nodes."""
    samples = {pid: read_process(pid) for pid in fleet.node_pids()}
    return ResourceSample(time.monotonic(), samples)


def resources_between(first: ResourceSample, last: ResourceSample) -> NodeResources:
    """Return the resources that the processes in both samples used between them."""
    seconds = last.time - first.time
    surviving_pids = first.processes.keys() & last.processes.keys()
    processor_seconds = (
        last.processes[pid].processor_seconds - first.processes[pid].processor_seconds
        for pid in surviving_pids
    )
    return NodeResources(
        core_share=distribution_of(used_seconds / seconds for used_seconds in processor_seconds),
        resident_megabytes=distribution_of(
            last.processes[pid].resident_bytes / 1_000_000 for pid in surviving_pids
        ),
    )
