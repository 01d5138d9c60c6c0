"""Measures one phase of a scale run, from the differences of counters, by role."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from pewtertack.lab.report.statistics import distribution_of, percentile
from pewtertack.lab.scale.observer import Observer, ProcessKey
from pewtertack.lab.scale.report import ConfigurationBytes, PhaseReport, RoleRates
from pewtertack.lab.simulation.fleet import SimulatedFleet, start_time_of

CONFIGURATION_MESSAGE_KINDS = (
    "Announce:delta",
    "DeltaAnswer:configuration",
    "SnapshotAnswer:configuration",
    "PackedAnswer:configuration",
)
"""Kinds of messages that carry configuration; an announcement with a delta counts in full."""

READER_ROLE = "reader"
REPLICA_ROLE = "replica"
JOINER_ROLE = "joiner"


@dataclass(frozen=True, slots=True)
class NodeCounters:
    """Totals of one node: traffic of its address, and processor time of its current process."""

    sent_messages: int
    received_messages: int
    sent_bytes: int
    received_bytes: int
    core_seconds: float
    codec_seconds: float

    def since(self, earlier: NodeCounters) -> NodeCounters:
        """Return the difference to ``earlier``."""
        return NodeCounters(
            self.sent_messages - earlier.sent_messages,
            self.received_messages - earlier.received_messages,
            self.sent_bytes - earlier.sent_bytes,
            self.received_bytes - earlier.received_bytes,
            self.core_seconds - earlier.core_seconds,
            self.codec_seconds - earlier.codec_seconds,
        )


ZERO_COUNTERS = NodeCounters(0, 0, 0, 0, 0.0, 0.0)


@dataclass(frozen=True, slots=True)
class MeasuredEdit:
    """An edit made during the phase, its virtual time, and the size of the frame with its delta."""

    revision: int
    time: float
    delta_bytes: int


@dataclass(slots=True)
class PhaseMeter:
    """Measures a phase between calls of ``begin`` and ``end``."""

    name: str
    fleet: SimulatedFleet
    observer: Observer
    snapshot_bytes: int
    edits: list[MeasuredEdit] = field(default_factory=list)
    started: list[ProcessKey] = field(default_factory=list)
    started_names: set[str] = field(default_factory=set)
    """Names of nodes with a process that was started during the phase."""
    killed: set[str] = field(default_factory=set)
    """Names of nodes with a process that was killed during the phase."""
    _start_time: float = 0.0
    _start_counters: dict[str, NodeCounters] = field(default_factory=dict)
    _start_bytes_by_kind: Counter[str] = field(default_factory=Counter)
    _start_source_reads: int = 0

    def begin(self) -> None:
        """Record the values of all counters."""
        self._start_time = self.fleet.now
        self._start_counters = self._read_counters()
        self._start_bytes_by_kind = self._read_bytes_by_kind()
        self._start_source_reads = self.fleet.source.counts.total
        for service in (self.fleet.source, self.fleet.machine_list):
            service.counts.peak_concurrent = service.counts.concurrent

    def record_start(self, names: Iterable[str]) -> None:
        """Record that processes of the nodes ``names`` were started."""
        for name in names:
            identity = self.fleet.processes[name].identity
            self.started.append((name, identity.incarnation))
            self.started_names.add(name)

    def record_kill(self, names: Iterable[str]) -> None:
        """Record that the processes of ``names`` are killed: their processor times restart at 0."""
        self.killed.update(names)

    def end(self) -> PhaseReport:
        """Return the report of the time since ``begin``."""
        seconds = self.fleet.now - self._start_time
        bytes_by_kind = self._read_bytes_by_kind()
        bytes_by_kind.subtract(self._start_bytes_by_kind)
        nodes = len(self.fleet.names)
        delays, missing = self._convergence_delays()
        rejoin_delays, never_served = self._serving_delays()
        return PhaseReport(
            name=self.name,
            seconds=seconds,
            edits=len(self.edits),
            restarts=len(self.started),
            roles=self._rates_by_role(seconds),
            bytes_by_kind={
                kind: round(total / nodes / seconds, 3)
                for kind, total in sorted(bytes_by_kind.items())
                if total
            },
            configuration=self._configuration_bytes(bytes_by_kind),
            convergence=distribution_of(delays),
            convergence_percentiles=_percentiles(delays),
            missing=missing,
            rejoin=distribution_of(rejoin_delays),
            never_served=never_served,
            source_reads=self.fleet.source.counts.total - self._start_source_reads,
            source_reads_at_once=self.fleet.source.counts.peak_concurrent,
            list_reads_at_once=self.fleet.machine_list.counts.peak_concurrent,
        )

    def _read_counters(self) -> dict[str, NodeCounters]:
        counters: dict[str, NodeCounters] = {}
        for name, process in self.fleet.processes.items():
            traffic = self.fleet.network.traffic[process.identity.address]
            counters[name] = NodeCounters(
                traffic.sent_messages.total(),
                traffic.received_messages.total(),
                traffic.sent_bytes.total(),
                traffic.received_bytes.total(),
                process.processor_time.core,
                process.processor_time.codec,
            )
        return counters

    def _read_bytes_by_kind(self) -> Counter[str]:
        bytes_by_kind: Counter[str] = Counter()
        for traffic in self.fleet.network.traffic.values():
            bytes_by_kind.update(traffic.received_bytes)
        return bytes_by_kind

    def _rates_by_role(self, seconds: float) -> dict[str, RoleRates]:
        groups: defaultdict[str, list[NodeCounters]] = defaultdict(list)
        for name, current in self._read_counters().items():
            groups[self._role_of(name)].append(self._counters_since_start(name, current))
        return {role: _role_rates(group, seconds) for role, group in sorted(groups.items())}

    def _counters_since_start(self, name: str, current: NodeCounters) -> NodeCounters:
        """Return the increase of a node's counters since the start of the phase.

        Traffic is counted by address, so it continues across a restart of the process; processor
        time is counted by process.
        """
        start = self._start_counters.get(name, ZERO_COUNTERS)
        difference = current.since(start)
        if name not in self.killed:
            return difference
        return NodeCounters(
            difference.sent_messages,
            difference.received_messages,
            difference.sent_bytes,
            difference.received_bytes,
            current.core_seconds,
            current.codec_seconds,
        )

    def _role_of(self, name: str) -> str:
        if name in self.started_names:
            return JOINER_ROLE
        return READER_ROLE if name in self.observer.readers else REPLICA_ROLE

    def _configuration_bytes(self, bytes_by_kind: Counter[str]) -> ConfigurationBytes:
        received = sum(bytes_by_kind[kind] for kind in CONFIGURATION_MESSAGE_KINDS)
        running_count = len(self.fleet.processes.keys() - self.started_names)
        floor = sum(edit.delta_bytes for edit in self.edits) * running_count
        floor += len(self.started) * self.snapshot_bytes
        return ConfigurationBytes(
            received=received, floor=floor, ratio=round(received / floor, 3) if floor else 0.0
        )

    def _convergence_delays(self) -> tuple[list[float], int]:
        """Return the delays of all pairs of an edit and a process that ran throughout the phase.

        The second value is the number of pairs in which the edit never came into force.
        """
        processes = [
            (name, process.identity.incarnation)
            for name, process in self.fleet.processes.items()
            if name not in self.started_names
        ]
        delays: list[float] = []
        missing = 0
        for edit in self.edits:
            for process in processes:
                in_force_at = self.observer.time_in_force(process, edit.revision)
                if in_force_at is None:
                    missing += 1
                else:
                    delays.append(in_force_at - edit.time)
        return delays, missing

    def _serving_delays(self) -> tuple[list[float], int]:
        """Return the delays until started processes served, and the number that never did."""
        delays: list[float] = []
        never_served = 0
        for process in self.started:
            serving_at = self.observer.serving_times.get(process)
            if serving_at is None:
                never_served += 1
            else:
                delays.append(serving_at - start_time_of(process[1]))
        return delays, never_served


def _percentiles(values: list[float]) -> tuple[float, ...]:
    """Return the percentiles 0 to 100, or an empty tuple if there are no values."""
    sorted_values = sorted(values)
    if not sorted_values:
        return ()
    return tuple(round(percentile(sorted_values, share / 100), 6) for share in range(101))


def _role_rates(group: list[NodeCounters], seconds: float) -> RoleRates:
    node_seconds = len(group) * seconds
    return RoleRates(
        nodes=len(group),
        sent_messages=round(sum(counters.sent_messages for counters in group) / node_seconds, 3),
        received_messages=round(
            sum(counters.received_messages for counters in group) / node_seconds, 3
        ),
        sent_bytes_mean=round(sum(counters.sent_bytes for counters in group) / node_seconds, 3),
        sent_bytes=distribution_of(counters.sent_bytes / seconds for counters in group),
        received_bytes_mean=round(
            sum(counters.received_bytes for counters in group) / node_seconds, 3
        ),
        received_bytes=distribution_of(counters.received_bytes / seconds for counters in group),
        core_processor_share=round(
            sum(counters.core_seconds for counters in group) / node_seconds, 6
        ),
        codec_processor_share=round(
            sum(counters.codec_seconds for counters in group) / node_seconds, 6
        ),
    )
