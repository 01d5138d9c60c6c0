"""Processor time and memory of the nodes' processes, read from ``/proc``."""

from __future__ import annotations

import time
from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from pewtertack.lab.fleet.fleet import Fleet
from pewtertack.lab.process_statistics import ProcessSample, read_process
from pewtertack.lab.report.statistics import Distribution, distribution_of


class NodeResources(msgspec.Struct, frozen=True):
    """Over the nodes whose processes ran through the whole measurement.

    The share of a core and the memory serve callers as well as control.
    """

    core_share: Distribution
    resident_megabytes: Distribution
    """At the end of the measurement."""


@dataclass(frozen=True, slots=True)
class ResourceSample:
    """The nodes' processes at one time, by process id."""

    time: float
    processes: Mapping[int, ProcessSample]


def sample_resources(fleet: Fleet) -> ResourceSample:
    """Read what all running nodes have used."""
    samples = {pid: read_process(pid) for pid in fleet.node_pids()}
    return ResourceSample(time.monotonic(), samples)


def resources_between(first: ResourceSample, last: ResourceSample) -> NodeResources:
    """Return what the processes of both samples used in between."""
    seconds = last.time - first.time
    lived = first.processes.keys() & last.processes.keys()
    used = (
        last.processes[pid].processor_seconds - first.processes[pid].processor_seconds
        for pid in lived
    )
    return NodeResources(
        core_share=distribution_of(spent / seconds for spent in used),
        resident_megabytes=distribution_of(
            last.processes[pid].resident_bytes / 1_000_000 for pid in lived
        ),
    )
