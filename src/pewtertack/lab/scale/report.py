"""The report of a scale run. Rates are per node and second of virtual time."""

from __future__ import annotations

from pathlib import Path
from typing import ClassVar

import msgspec

from pewtertack.errors import LabError
from pewtertack.lab.report.statistics import Distribution


class ScaleReportError(LabError):
    """A file is not a report of a scale run, or a report lacks a phase."""

    code: ClassVar[str] = "scale-report"


class RoleRates(msgspec.Struct, frozen=True, kw_only=True):
    """Rates of the nodes of one role during one phase.

    Bytes include UDP headers, or an estimate of the headers for TCP. The processor shares are the
    fractions of one processor core that the node core and the codec used: real seconds on the
    machine of the run per virtual second.
    """

    nodes: int
    sent_messages: float
    received_messages: float
    sent_bytes_mean: float
    sent_bytes: Distribution
    received_bytes_mean: float
    received_bytes: Distribution
    core_processor_share: float
    codec_processor_share: float


class ConfigurationBytes(msgspec.Struct, frozen=True, kw_only=True):
    """Bytes of configuration that all nodes received, compared with one copy for each node.

    ``floor`` is the size of one frame with the delta per node and edit, plus one frame with a
    snapshot per process that started.
    """

    received: int
    floor: int
    ratio: float


class PhaseReport(msgspec.Struct, frozen=True, kw_only=True):
    """One phase of a run. ``convergence`` is in seconds since the edit at the source."""

    name: str
    seconds: float
    edits: int
    restarts: int
    """Number of processes that were started."""
    roles: dict[str, RoleRates]
    bytes_by_kind: dict[str, float]
    """Received bytes per node and second, by kind of message."""
    configuration: ConfigurationBytes
    convergence: Distribution
    convergence_percentiles: tuple[float, ...] = ()
    """The percentiles 0, 1, 2, ..., 100 of the convergence; empty without edits."""
    missing: int
    """Number of pairs of an edit and a running node that never had the edit in force."""
    rejoin: Distribution
    """Seconds from the start of a process until it serves."""
    never_served: int
    """Number of started processes that did not serve before the phase ended."""
    source_reads: int
    source_reads_at_once: int
    """Maximum number of concurrent reads of the source."""
    list_reads_at_once: int
    """Maximum number of concurrent reads of the machine list."""


class PollingBaseline(msgspec.Struct, frozen=True, kw_only=True):
    """Computed cost if every node polled the source for the whole tree.

    ``interval`` is the polling interval in seconds. Bytes are per node and second, reads per second
    at the source.
    """

    interval: float
    snapshot_bytes: int
    bytes_per_second: float
    reads_per_second: float
    convergence_max: float


class ScaleReport(msgspec.Struct, frozen=True, kw_only=True):
    """The report of a complete run."""

    nodes: int
    zones: int
    regions: int
    services: int
    seed: int
    profile: str
    real_seconds: float
    memory_bytes_per_node: int
    """Growth of the lab process's resident memory until all nodes serve, divided by the nodes."""
    peak_memory_bytes: int
    delta_bytes: int
    snapshot_bytes: int
    phases: list[PhaseReport]
    baselines: list[PollingBaseline]

    def phase(self, name: str) -> PhaseReport:
        """Return the phase called ``name``.

        Raises:
            ScaleReportError: the run had no such phase.
        """
        for phase in self.phases:
            if phase.name == name:
                return phase
        raise ScaleReportError(f"report has no phase {name!r}")


def read_report(path: Path) -> ScaleReport:
    """Read the report of a scale run.

    Raises:
        ScaleReportError: the file cannot be read or is not a report of a scale run.
    """
    try:
        return msgspec.json.decode(path.read_bytes(), type=ScaleReport)
    except (OSError, msgspec.MsgspecError) as error:
        raise ScaleReportError(f"{path}: {error}") from error


def write_report(report: ScaleReport, path: Path) -> None:
    """Write ``report`` as indented JSON."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(report), indent=1) + b"\n")


def format_summary(report: ScaleReport) -> str:
    """Return a table of the phases for the terminal."""
    lines = [
        f"{report.nodes} nodes, {report.zones} zones, {report.regions} regions, "
        f"{report.services} services, profile {report.profile}, seed {report.seed}: "
        f"{report.real_seconds:.0f} s real, {report.memory_bytes_per_node >> 10} KB per node",
        f"{'phase':10} {'role':8} {'nodes':>5} {'sent B/s':>9} {'recv B/s':>9} {'recv p99':>9} "
        f"{'msg/s':>7} {'core %':>7} {'codec %':>7}",
    ]
    for phase in report.phases:
        lines += [_role_line(phase.name, role, rates) for role, rates in phase.roles.items()]
        lines.append(_phase_line(phase))
    return "\n".join(lines)


def _role_line(phase: str, role: str, rates: RoleRates) -> str:
    return (
        f"{phase:10} {role:8} {rates.nodes:5} {rates.sent_bytes_mean:9.0f} "
        f"{rates.received_bytes_mean:9.0f} {rates.received_bytes.p99:9.0f} "
        f"{rates.sent_messages:7.2f} {100 * rates.core_processor_share:7.3f} "
        f"{100 * rates.codec_processor_share:7.3f}"
    )


def _phase_line(phase: PhaseReport) -> str:
    convergence = phase.convergence
    return (
        f"{'':10} {phase.edits} edits in force p50 {convergence.p50:.3f} p99 {convergence.p99:.3f} "
        f"max {convergence.max:.3f} s, {phase.missing} missing; {phase.restarts} starts, serving "
        f"p50 {phase.rejoin.p50:.2f} max {phase.rejoin.max:.2f} s, {phase.never_served} never; "
        f"concurrent reads {phase.source_reads_at_once}; "
        f"configuration bytes {phase.configuration.ratio:.2f} x floor"
    )
