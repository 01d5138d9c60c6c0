"""Measurement of the bytes sent between nodes, from two samples of their metrics."""

from __future__ import annotations

import time
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass

import msgspec
from prometheus_client.parser import text_string_to_metric_families

from pewtertack.lab.errors import ControlRefusedError
from pewtertack.lab.fleet.fleet import Fleet

BYTES_SAMPLE = "pewtertack_peer_bytes_total"
CONTROL = "control"
CONFIGURATION = "configuration"
MACHINE_LIST = "machine-list"


class PeerTraffic(msgspec.Struct, frozen=True):
    """Bytes sent to peers per node and second, by purpose, without IP headers.

    Averages over the nodes whose processes ran during the whole measurement.
    """

    nodes: int
    seconds: float
    control: float
    configuration: float
    machine_list: float
    configuration_bytes: float
    """Configuration bytes per node over the whole measurement."""


@dataclass(frozen=True, slots=True)
class TrafficSample:
    """Total bytes sent at one time, by node and purpose."""

    time: float
    sent: Mapping[str, Mapping[str, float]]


async def sample_traffic(fleet: Fleet) -> TrafficSample:
    """Read the metrics of all running nodes; those that do not answer are skipped."""
    sent: dict[str, Mapping[str, float]] = {}
    for name in fleet.running_nodes():
        try:
            body = await fleet.client.request("GET", fleet.plan.nodes[name].admin, "/metrics")
        except ControlRefusedError:
            continue
        sent[name] = bytes_sent(body.decode())
    return TrafficSample(time.monotonic(), sent)


def bytes_sent(metrics: str) -> dict[str, float]:
    """Return the bytes sent by purpose, from the metrics page of one node."""
    totals: defaultdict[str, float] = defaultdict(float)
    for family in text_string_to_metric_families(metrics):
        for sample in family.samples:
            if sample.name == BYTES_SAMPLE and sample.labels["direction"] == "sent":
                totals[sample.labels["purpose"]] += sample.value
    return dict(totals)


def traffic_between(first: TrafficSample, last: TrafficSample) -> PeerTraffic:
    """Return the traffic between two samples."""
    seconds = last.time - first.time
    surviving_nodes = [name for name in first.sent if _survived(name, first, last)]

    def per_node(purpose: str) -> float:
        increases = (
            last.sent[name].get(purpose, 0.0) - first.sent[name].get(purpose, 0.0)
            for name in surviving_nodes
        )
        return sum(increases) / max(len(surviving_nodes), 1)

    return PeerTraffic(
        nodes=len(surviving_nodes),
        seconds=round(seconds, 3),
        control=round(per_node(CONTROL) / seconds, 1),
        configuration=round(per_node(CONFIGURATION) / seconds, 1),
        machine_list=round(per_node(MACHINE_LIST) / seconds, 1),
        configuration_bytes=round(per_node(CONFIGURATION), 1),
    )


def _survived(name: str, first: TrafficSample, last: TrafficSample) -> bool:
    """Return whether the node's counters continued between the samples instead of restarting."""
    if name not in last.sent:
        return False
    return sum(last.sent[name].values()) >= sum(first.sent[name].values())
