"""Bytes between nodes, read from their metrics twice."""

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

    Over the nodes whose processes ran through the whole measurement.
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
    """Bytes sent so far by node and purpose."""

    time: float
    sent: Mapping[str, Mapping[str, float]]


async def sample_traffic(fleet: Fleet) -> TrafficSample:
    """Read the metrics of all nodes that answer."""
    sent: dict[str, Mapping[str, float]] = {}
    for name in fleet.running_nodes():
        try:
            answer = await fleet.client.request("GET", fleet.plan.nodes[name].admin, "/metrics")
        except ControlRefusedError:
            continue
        sent[name] = bytes_sent(answer.decode())
    return TrafficSample(time.monotonic(), sent)


def bytes_sent(metrics: str) -> dict[str, float]:
    """Return the bytes sent by purpose from one node's metrics text."""
    sums: defaultdict[str, float] = defaultdict(float)
    for family in text_string_to_metric_families(metrics):
        for sample in family.samples:
            if sample.name == BYTES_SAMPLE and sample.labels["direction"] == "sent":
                sums[sample.labels["purpose"]] += sample.value
    return dict(sums)


def traffic_between(first: TrafficSample, last: TrafficSample) -> PeerTraffic:
    """Return the traffic between two samples."""
    seconds = last.time - first.time
    lived = [name for name in first.sent if _lived_through(name, first, last)]

    def per_node(purpose: str) -> float:
        grown = (
            last.sent[name].get(purpose, 0.0) - first.sent[name].get(purpose, 0.0) for name in lived
        )
        return sum(grown) / max(len(lived), 1)

    return PeerTraffic(
        nodes=len(lived),
        seconds=round(seconds, 3),
        control=round(per_node(CONTROL) / seconds, 1),
        configuration=round(per_node(CONFIGURATION) / seconds, 1),
        machine_list=round(per_node(MACHINE_LIST) / seconds, 1),
        configuration_bytes=round(per_node(CONFIGURATION), 1),
    )


def _lived_through(name: str, first: TrafficSample, last: TrafficSample) -> bool:
    """Tell whether the counters of a node went on, rather than began anew."""
    if name not in last.sent:
        return False
    return sum(last.sent[name].values()) >= sum(first.sent[name].values())
