"""Measures one phase of a scale run: differences of counters, by role."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from pewtertack.lab.report.statistics import distribution_of, percentile
from pewtertack.lab.scale.observer import Observer, Process
from pewtertack.lab.scale.report import ConfigurationBytes, PhaseReport, RoleRates
from pewtertack.lab.simulation.fleet import SimulatedFleet, start_time_of

CONFIGURATION_KINDS = (
    "Announce:delta",
    "DeltaAnswer:configuration",
    "SnapshotAnswer:configuration",
    "PackedAnswer:configuration",
)
"""Messages that carry configuration; an announcement counts whole if it does."""

READER = "reader"
REPLICA = "replica"
JOINER = "joiner"


@dataclass(frozen=True, slots=True)
class Counts:
    """What one node has sent, received and computed since its fleet began."""

    sent_messages: int
    received_messages: int
    sent_bytes: int
    received_bytes: int
    core_seconds: float
    codec_seconds: float

    def since(self, earlier: Counts) -> Counts:
        """Return the difference to ``earlier``."""
        return Counts(
            self.sent_messages - earlier.sent_messages,
            self.received_messages - earlier.received_messages,
            self.sent_bytes - earlier.sent_bytes,
            self.received_bytes - earlier.received_bytes,
            self.core_seconds - earlier.core_seconds,
            self.codec_seconds - earlier.codec_seconds,
        )


NOTHING = Counts(0, 0, 0, 0, 0.0, 0.0)


@dataclass(frozen=True, slots=True)
class EditMade:
    """An edit of the phase, with the size of the frame that carries its delta."""

    revision: int
    time: float
    delta_bytes: int


@dataclass(slots=True)
class PhaseMeter:
    """Open from the beginning of a phase to its end."""

    name: str
    fleet: SimulatedFleet
    observer: Observer
    snapshot_bytes: int
    edits: list[EditMade] = field(default_factory=list)
    started: list[Process] = field(default_factory=list)
    fresh: set[str] = field(default_factory=set)
    """Names of the started processes."""
    killed: set[str] = field(default_factory=set)
    _start: float = 0.0
    _counts: dict[str, Counts] = field(default_factory=dict)
    _kinds: Counter[str] = field(default_factory=Counter)
    _reads: int = 0

    def begin(self) -> None:
        """Note all counters."""
        self._start = self.fleet.now
        self._counts = self._read_counts()
        self._kinds = self._read_kinds()
        self._reads = self.fleet.source.counts.total
        for service in (self.fleet.source, self.fleet.machine_list):
            service.counts.peak_concurrent = service.counts.concurrent

    def note_start(self, names: Iterable[str]) -> None:
        """Note that processes of ``names`` were started."""
        for name in names:
            identity = self.fleet.processes[name].identity
            self.started.append((name, identity.incarnation))
            self.fresh.add(name)

    def note_kill(self, names: Iterable[str]) -> None:
        """Note that the processes of ``names`` die: their counters start again."""
        self.killed.update(names)

    def end(self) -> PhaseReport:
        """Return what happened since the beginning."""
        seconds = self.fleet.now - self._start
        kinds = self._read_kinds()
        kinds.subtract(self._kinds)
        nodes = len(self.fleet.names)
        delays, missing = self._convergence()
        rejoin, never = self._rejoin()
        return PhaseReport(
            name=self.name,
            seconds=seconds,
            edits=len(self.edits),
            restarts=len(self.started),
            roles=self._roles(seconds),
            bytes_by_kind={
                kind: round(total / nodes / seconds, 3)
                for kind, total in sorted(kinds.items())
                if total
            },
            configuration=self._configuration(kinds),
            convergence=distribution_of(delays),
            convergence_percentiles=_percentiles(delays),
            missing=missing,
            rejoin=distribution_of(rejoin),
            never_served=never,
            source_reads=self.fleet.source.counts.total - self._reads,
            source_reads_at_once=self.fleet.source.counts.peak_concurrent,
            list_reads_at_once=self.fleet.machine_list.counts.peak_concurrent,
        )

    def _read_counts(self) -> dict[str, Counts]:
        counts: dict[str, Counts] = {}
        for name, process in self.fleet.processes.items():
            traffic = self.fleet.network.traffic[process.identity.address]
            counts[name] = Counts(
                traffic.sent_messages.total(),
                traffic.received_messages.total(),
                traffic.sent_bytes.total(),
                traffic.received_bytes.total(),
                process.processor_time.core,
                process.processor_time.codec,
            )
        return counts

    def _read_kinds(self) -> Counter[str]:
        kinds: Counter[str] = Counter()
        for traffic in self.fleet.network.traffic.values():
            kinds.update(traffic.received_bytes)
        return kinds

    def _roles(self, seconds: float) -> dict[str, RoleRates]:
        groups: defaultdict[str, list[Counts]] = defaultdict(list)
        for name, now in self._read_counts().items():
            groups[self._role_of(name)].append(self._difference(name, now))
        return {role: _rates(group, seconds) for role, group in sorted(groups.items())}

    def _difference(self, name: str, now: Counts) -> Counts:
        """Traffic is counted by address and goes on; processor time by process."""
        before = self._counts.get(name, NOTHING)
        difference = now.since(before)
        if name not in self.killed:
            return difference
        return Counts(
            difference.sent_messages,
            difference.received_messages,
            difference.sent_bytes,
            difference.received_bytes,
            now.core_seconds,
            now.codec_seconds,
        )

    def _role_of(self, name: str) -> str:
        if name in self.fresh:
            return JOINER
        return READER if name in self.observer.readers else REPLICA

    def _configuration(self, kinds: Counter[str]) -> ConfigurationBytes:
        received = sum(kinds[kind] for kind in CONFIGURATION_KINDS)
        running = len(self.fleet.processes.keys() - self.fresh)
        floor = sum(edit.delta_bytes for edit in self.edits) * running
        floor += len(self.started) * self.snapshot_bytes
        return ConfigurationBytes(
            received=received, floor=floor, ratio=round(received / floor, 3) if floor else 0.0
        )

    def _convergence(self) -> tuple[list[float], int]:
        """Return the delays of all pairs of an edit and a process that ran throughout."""
        processes = [
            (name, process.identity.incarnation)
            for name, process in self.fleet.processes.items()
            if name not in self.fresh
        ]
        delays: list[float] = []
        missing = 0
        for edit in self.edits:
            for process in processes:
                reached = self.observer.reached(process, edit.revision)
                if reached is None:
                    missing += 1
                else:
                    delays.append(reached - edit.time)
        return delays, missing

    def _rejoin(self) -> tuple[list[float], int]:
        """Return how long started processes took to serve, and how many never did."""
        delays: list[float] = []
        never = 0
        for process in self.started:
            served = self.observer.served.get(process)
            if served is None:
                never += 1
            else:
                delays.append(served - start_time_of(process[1]))
        return delays, never


def _percentiles(values: list[float]) -> tuple[float, ...]:
    """Return the percentiles 0 to 100, or nothing for no values."""
    ordered = sorted(values)
    if not ordered:
        return ()
    return tuple(round(percentile(ordered, share / 100), 6) for share in range(101))


def _rates(group: list[Counts], seconds: float) -> RoleRates:
    size = len(group) * seconds
    return RoleRates(
        nodes=len(group),
        sent_messages=round(sum(counts.sent_messages for counts in group) / size, 3),
        received_messages=round(sum(counts.received_messages for counts in group) / size, 3),
        sent_bytes_mean=round(sum(counts.sent_bytes for counts in group) / size, 3),
        sent_bytes=distribution_of(counts.sent_bytes / seconds for counts in group),
        received_bytes_mean=round(sum(counts.received_bytes for counts in group) / size, 3),
        received_bytes=distribution_of(counts.received_bytes / seconds for counts in group),
        core_processor_share=round(sum(counts.core_seconds for counts in group) / size, 6),
        codec_processor_share=round(sum(counts.codec_seconds for counts in group) / size, 6),
    )
