"""``pewtertack rollout``: where a version is in force, and why it is not elsewhere."""

from __future__ import annotations

from collections.abc import Callable
from datetime import UTC, datetime
from typing import TYPE_CHECKING, Annotated

import anyio
import typer

from pewtertack.cli.exit_codes import ExitCode
from pewtertack.cli.status import AdminOption, OthersArgument, TimeoutOption

if TYPE_CHECKING:
    from pewtertack.cli.rollout_lag import LaggingNode
    from pewtertack.cli.rollout_reports import RolloutReport, StageSummary
    from pewtertack.node.status import ReadStatus

VersionOption = Annotated[
    int | None,
    typer.Option(
        "--version", min=1, help="Version to check; by default the newest that any node knows of."
    ),
]
WaitOption = Annotated[
    float,
    typer.Option(
        "--wait", min=0.0, help="Seconds to wait until the version is in force everywhere."
    ),
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print one JSON object.")]

STAGE_HEADERS = ("STAGE", "NODES", "FIRST", "MEDIAN", "LAST")
LAGGING_HEADERS = ("NODE", "ZONE", "IN FORCE", "HELD", "WHY", "DETAIL")
NO_VALUE = "-"


def rollout(
    admin: AdminOption,
    others: OthersArgument = None,
    version: VersionOption = None,
    wait: WaitOption = 0.0,
    as_json: JsonOption = False,
    timeout: TimeoutOption = 3.0,
) -> None:
    """Print the progress of a version, and which nodes lack it and why.

    Exit code 0 if it is in force on every node, 3 if a node rejected it, 4 if it is in force on
    all nodes but unreachable ones, otherwise 1.
    """
    import msgspec

    from pewtertack.cli.rollout_polling import follow_rollout
    from pewtertack.cli.status_reports import read_reports
    from pewtertack.json_encoding import encode_json

    admins = tuple(dict.fromkeys((*admin, *(others or ()))))

    async def poll() -> RolloutReport:
        report_progress = _progress_printer() if wait > 0 else _ignore_progress
        return await follow_rollout(
            lambda: read_reports(admins, timeout), version, wait, report_progress
        )

    report = anyio.run(poll)
    if as_json:
        typer.echo(msgspec.json.format(encode_json(report), indent=2).decode())
    else:
        typer.echo(format_rollout(report))
    raise typer.Exit(exit_code_for(report))


def exit_code_for(report: RolloutReport) -> ExitCode:
    """Return the exit code for the outcome of a rollout."""
    from pewtertack.cli.rollout_reports import Outcome

    codes = {
        Outcome.COMPLETE: ExitCode.OK,
        Outcome.INCOMPLETE: ExitCode.FOUND,
        Outcome.REJECTED: ExitCode.REJECTED,
        Outcome.UNREACHABLE: ExitCode.UNREACHABLE,
    }
    return codes[report.outcome]


def _ignore_progress(elapsed_seconds: float, report: RolloutReport) -> None:
    """Print nothing."""


def _progress_printer() -> Callable[[float, RolloutReport], None]:
    """Return a function that prints the counts to standard error whenever they change."""
    last = ""

    def report_progress(elapsed_seconds: float, report: RolloutReport) -> None:
        nonlocal last
        line = format_progress(report)
        if line != last:
            typer.echo(f"{elapsed_seconds:7.1f} s  {line}", err=True)
        last = line

    return report_progress


def format_progress(report: RolloutReport) -> str:
    """Return the number of nodes at each stage on one line."""
    counts = [f"{_stage_label(item.stage)} {item.nodes}" for item in report.stages]
    return (
        f"revision {_format_revision(report.revision)} of {report.nodes} nodes: {', '.join(counts)}"
    )


def format_rollout(report: RolloutReport) -> str:
    """Return the whole report as text."""
    from pewtertack.cli.tables import format_table

    in_force = report.stages[-1].nodes
    lines = [
        f"revision {_format_revision(report.revision)}: {report.outcome}, in force on "
        f"{in_force} of {report.nodes} nodes",
        *_arrival_lines(report),
        "",
        format_table(STAGE_HEADERS, [_stage_row(item, report.nodes) for item in report.stages]),
    ]
    if report.lacking:
        rows = [_lagging_row(node) for node in report.lacking]
        lines += ["", format_table(LAGGING_HEADERS, rows)]
    return "\n".join([*lines, *_finding_lines(report)])


def _arrival_lines(report: RolloutReport) -> list[str]:
    if report.first_heard is None:
        return []
    first = datetime.fromtimestamp(report.first_heard, UTC).isoformat(timespec="milliseconds")
    deliveries = ", ".join(f"{method} {count}" for method, count in report.ways.items()) or NO_VALUE
    return [f"first reported at {first}; delivered by: {deliveries}"]


def _stage_row(item: StageSummary, nodes: int) -> tuple[str, ...]:
    offsets = (item.first, item.median, item.last)
    times = (NO_VALUE if value is None else f"{value:.2f} s" for value in offsets)
    return (_stage_label(item.stage), f"{item.nodes}/{nodes}", *times)


def _lagging_row(node: LaggingNode) -> tuple[str, ...]:
    return (
        node.node or node.admin,
        node.zone or NO_VALUE,
        _format_revision(node.in_force),
        _format_revision(node.held),
        node.why,
        _format_detail(node),
    )


def _format_detail(node: LaggingNode) -> str:
    parts = [node.problem] if node.problem else []
    if node.phase and node.phase != "serving":
        parts.append(node.phase)
    if node.heard_for is not None:
        parts.append(f"reported {_format_seconds(node.heard_for)} ago")
    if node.read is not None:
        parts += _read_details(node.read)
        if node.answer_seconds is not None:
            parts.append(f"responses take {_format_seconds(node.answer_seconds)}")
    if node.source_age is not None:
        parts.append(f"source responded {_format_seconds(node.source_age)} ago")
    return ", ".join(parts) or NO_VALUE


def _read_details(read: ReadStatus) -> list[str]:
    parts = []
    if read.failures:
        parts.append(
            f"consecutive failed reads: {read.failures}, the last {read.failure or 'unknown'}"
        )
    if read.open_for is not None:
        reads = "read" if read.open_reads < 2 else f"{read.open_reads} reads, the oldest"
        parts.append(f"{reads} open for {_format_seconds(read.open_for)} of {read.may_wait:g} s")
    return parts


def _finding_lines(report: RolloutReport) -> list[str]:
    """Return each finding once, with the number of nodes that rejected the revision for it."""
    node_counts: dict[str, int] = {}
    for node in report.lacking:
        for finding in node.findings:
            text = f"{finding.path}: {finding.code}: {finding.message}"
            node_counts[text] = node_counts.get(text, 0) + 1
    lines = [f"rejected on {count} nodes: {text}" for text, count in node_counts.items()]
    return ["", *lines] if lines else []


def _format_revision(revision: int) -> str:
    """Return a revision as shown to operators: for a store, its version and logical time if any."""
    from pewtertack.core.eras import TREE_NUMBERS_PER_VERSION, split_tree_number

    if revision < TREE_NUMBERS_PER_VERSION:
        return str(revision or NO_VALUE)
    version, logical_time = split_tree_number(revision)
    return f"{version}+{logical_time}" if logical_time else str(version)


def _stage_label(stage: str) -> str:
    return stage.replace("_", " ")


def _format_seconds(value: float) -> str:
    return f"{value:.1f} s"
