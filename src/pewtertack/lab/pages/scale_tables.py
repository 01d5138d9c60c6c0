"""Tables of scale reports, and a comparison of two of them."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from pewtertack.lab.pages.inputs import NamedScaleReport
from pewtertack.lab.pages.markdown import markdown_table, relative_change
from pewtertack.lab.scale.report import PhaseReport, RoleRates, ScaleReport

BYTES_PER_MEBIBYTE = 1024 * 1024
BYTES_PER_KIBIBYTE = 1024

SUMMARY_HEADER = (
    "report",
    "nodes",
    "zones",
    "regions",
    "services",
    "profile",
    "seed",
    "KB per node",
    "peak MB",
    "real s",
)
RATES_HEADER = (
    "report, phase, role",
    "nodes",
    "messages/s sent",
    "B/s sent",
    "B/s received",
    "p99 B/s received",
    "core % of one processor",
    "codec %",
)
CONVERGENCE_HEADER = (
    "report, phase",
    "edits",
    "p50 s",
    "p99 s",
    "max s",
    "missing",
    "starts",
    "serving p99 s",
    "never serving",
    "concurrent reads",
    "configuration x floor",
)


def summary_table(scales: Sequence[NamedScaleReport]) -> str:
    """Return a table of the size, memory and duration of each report."""
    return markdown_table(SUMMARY_HEADER, (_summary_row(item) for item in scales))


def _summary_row(item: NamedScaleReport) -> tuple[str, ...]:
    report = item.report
    return (
        item.name,
        str(report.nodes),
        str(report.zones),
        str(report.regions),
        str(report.services),
        report.profile,
        str(report.seed),
        f"{report.memory_bytes_per_node / BYTES_PER_KIBIBYTE:.0f}",
        f"{report.peak_memory_bytes / BYTES_PER_MEBIBYTE:.0f}",
        f"{report.real_seconds:.0f}",
    )


def rates_table(scales: Sequence[NamedScaleReport]) -> str:
    """Return a table of the rates by report, phase and role."""
    return markdown_table(RATES_HEADER, (row for item in scales for row in _rate_rows(item)))


def _rate_rows(item: NamedScaleReport) -> Iterator[tuple[str, ...]]:
    for phase in item.report.phases:
        for role, rates in phase.roles.items():
            yield (f"{item.name}, {phase.name}, {role}", *_rate_cells(rates))


def _rate_cells(rates: RoleRates) -> tuple[str, ...]:
    return (
        str(rates.nodes),
        f"{rates.sent_messages:.2f}",
        f"{rates.sent_bytes_mean:.0f}",
        f"{rates.received_bytes_mean:.0f}",
        f"{rates.received_bytes.p99:.0f}",
        f"{100 * rates.core_processor_share:.3f}",
        f"{100 * rates.codec_processor_share:.3f}",
    )


def convergence_table(scales: Sequence[NamedScaleReport]) -> str:
    """Return a table of the convergence by report and phase."""
    return markdown_table(
        CONVERGENCE_HEADER,
        (_convergence_row(item.name, phase) for item in scales for phase in item.report.phases),
    )


def _convergence_row(name: str, phase: PhaseReport) -> tuple[str, ...]:
    return (
        f"{name}, {phase.name}",
        str(phase.edits),
        f"{phase.convergence.p50:.3f}",
        f"{phase.convergence.p99:.3f}",
        f"{phase.convergence.max:.3f}",
        str(phase.missing),
        str(phase.restarts),
        f"{phase.rejoin.p99:.2f}",
        str(phase.never_served),
        str(phase.source_reads_at_once),
        f"{phase.configuration.ratio:.2f}",
    )


def baseline_table(scales: Sequence[NamedScaleReport]) -> str:
    """Return a table of the cost of polling whole snapshots, for the fleet size of each report."""
    header = ("report, every node polls", "B/s per node", "reads/s at the source", "in force max s")
    rows = [
        (
            f"{item.name}, every {baseline.interval:.0f} s",
            f"{baseline.bytes_per_second:.0f}",
            f"{baseline.reads_per_second:.0f}",
            f"{baseline.convergence_max:.0f}",
        )
        for item in scales
        for baseline in item.report.baselines
    ]
    return markdown_table(header, rows)


def comparison_table(first: NamedScaleReport, second: NamedScaleReport) -> str:
    """Return a table of the figures of two reports and their relative change."""
    header = ("figure", first.name, second.name, "change")
    rows = []
    second_figures = dict(_figures(second.report))
    for name, value in _figures(first.report):
        if name in second_figures:
            after = second_figures[name]
            rows.append((name, f"{value:.3f}", f"{after:.3f}", relative_change(value, after)))
    return markdown_table(header, rows)


def _figures(report: ScaleReport) -> Iterator[tuple[str, float]]:
    yield "KB per node", report.memory_bytes_per_node / BYTES_PER_KIBIBYTE
    for phase in report.phases:
        for role, rates in phase.roles.items():
            yield f"{phase.name}, {role}: B/s sent", rates.sent_bytes_mean
            yield f"{phase.name}, {role}: B/s received", rates.received_bytes_mean
            processor_share = rates.core_processor_share + rates.codec_processor_share
            yield f"{phase.name}, {role}: % of one processor", 100 * processor_share
        yield f"{phase.name}: in force p99, s", phase.convergence.p99
        yield f"{phase.name}: in force max, s", phase.convergence.max
        yield f"{phase.name}: serving after start p99, s", phase.rejoin.p99
        yield f"{phase.name}: configuration x floor", phase.configuration.ratio
