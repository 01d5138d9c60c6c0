"""Coordination metrics, computed when they are scraped."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.metrics_core import Metric
from prometheus_client.registry import Collector

from pewtertack.node.status import NodeStatus, ReadStatus
from pewtertack.node.traffic import Traffic

FLOW_LABELS = ["direction", "kind", "purpose"]


class CoordinationCollector(Collector):
    """Converts a node's status and peer traffic to metric families."""

    def __init__(self, status: Callable[[], NodeStatus], traffic: Traffic) -> None:
        self._status = status
        self._traffic = traffic

    def describe(self) -> Iterator[Metric]:
        """Describe no family in advance, so that registration does not read the status."""
        return iter(())

    def collect(self) -> Iterator[Metric]:
        """Yield all metric families."""
        yield from self._state_metrics()
        yield from self._traffic_metrics()

    def _state_metrics(self) -> Iterator[Metric]:
        status = self._status()
        yield _gauge("serving", "Whether callers are served.", float(status.serving))
        yield _gauge(
            "suspended_seconds", "For how long the machine was suspended.", status.suspended
        )
        yield _gauge(
            "requests_held",
            "Requests refused since back ends ended under them.",
            len(status.refused_requests),
        )
        yield _gauge("reading", "Whether the node reads the platform.", float(status.reading))
        yield _gauge("held_revision", "Newest revision held whole.", status.held.number)
        yield _gauge("committed_revision", "Newest committed revision.", status.committed.number)
        yield _gauge("in_force_revision", "Revision in force.", status.in_force.number)
        yield _gauge("heard_revision", "Newest revision known to exist.", status.newest_heard)
        yield _gauge(
            "behind_seconds",
            "Since when a newer revision is known than is in force; 0 where none is.",
            status.behind_for or 0.0,
        )
        yield from _read_metrics(status.reads)
        if status.source_answer_seconds is not None:
            seconds = status.source_answer_seconds
            yield _gauge("source_answer_seconds", "What reads take beyond their waits.", seconds)
        yield _gauge(
            "items_passed_over",
            "Items of the platform that could not be understood when they were last read here.",
            float(status.items_passed_over),
        )
        yield CounterMetricFamily(
            "pewtertack_items_found_wrong",
            "Findings about items of the platform, each change of one counted once.",
            value=status.items_found_wrong,
        )
        yield _gauge("machine_list_number", "Machine list in use.", status.machine_list_number)
        yield _gauge("source_era", "Latest era of the source known here.", status.source_era)
        yield _gauge(
            "machines_kept",
            "Machines believed in although a new era's list lacks them.",
            status.machines_kept,
        )
        if status.source_age is not None:
            yield _gauge("source_age_seconds", "Since the source answered.", status.source_age)
        if status.machine_list_age is not None:
            age = status.machine_list_age
            yield _gauge(
                "machine_list_age_seconds", "Since the machine list's source answered.", age
            )
        yield _age_gauge(
            "confirmation_age_seconds",
            "Since the document was last taken to be the source's newest.",
            status.confirmation_ages,
        )
        yield _age_gauge(
            "answer_age_seconds",
            "Since an answer of the source to any reader last proved that it is.",
            status.answer_ages,
        )
        yield from _rejection_metrics(status)
        peers = GaugeMetricFamily("pewtertack_peers", "Known peers by status.", labels=["status"])
        for name, count in status.peers.items():
            peers.add_metric([name], count)
        yield peers

    def _traffic_metrics(self) -> Iterator[Metric]:
        messages = CounterMetricFamily(
            "pewtertack_peer_messages", "Messages from and to peers.", labels=FLOW_LABELS
        )
        sizes = CounterMetricFamily(
            "pewtertack_peer_bytes", "Bytes of frames from and to peers.", labels=FLOW_LABELS
        )
        for flow, count in self._traffic.messages.items():
            messages.add_metric(list(flow), count)
            sizes.add_metric(list(flow), self._traffic.bytes[flow])
        refused = CounterMetricFamily(
            "pewtertack_frames_refused", "Frames refused, by type.", labels=["type"]
        )
        for code, count in self._traffic.refused.items():
            refused.add_metric([code], count)
        unsent = CounterMetricFamily(
            "pewtertack_messages_unsent", "Messages not sent, by reason.", labels=["reason"]
        )
        for reason, count in self._traffic.unsent.items():
            unsent.add_metric([reason], count)
        yield from (messages, sizes, refused, unsent)


def _read_metrics(reads: dict[str, ReadStatus]) -> Iterator[Metric]:
    failures = GaugeMetricFamily(
        "pewtertack_read_failures",
        "Failed reads of a document in a row, by how the last one ended.",
        labels=["document", "failure"],
    )
    for document, read in reads.items():
        if read.failures:
            failures.add_metric([document, read.failure], read.failures)
    yield failures


def _gauge(name: str, documentation: str, value: float) -> GaugeMetricFamily:
    return GaugeMetricFamily(f"pewtertack_{name}", documentation, value=value)


def _age_gauge(name: str, documentation: str, ages: dict[str, float]) -> GaugeMetricFamily:
    family = GaugeMetricFamily(f"pewtertack_{name}", documentation, labels=["document"])
    for document, age in ages.items():
        family.add_metric([document], age)
    return family


def _rejection_metrics(status: NodeStatus) -> Iterator[Metric]:
    """Yield the gauges of the refused revision; they are 0 while none is refused."""
    rejection = status.last_rejection
    revision, since = 0, 0.0
    if rejection is not None and rejection.since is not None:
        revision, since = rejection.revision.number, rejection.since
    yield _gauge("revision_refused", "Newer revision than held that is refused; 0: none.", revision)
    yield _gauge("revision_refused_since_seconds", "Unix time of its refusal; 0: none.", since)
