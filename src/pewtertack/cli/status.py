"""``pewtertack status``: one row per node, read from the admin interfaces."""

from __future__ import annotations

import time
from collections.abc import Sequence
from typing import TYPE_CHECKING, Annotated

import anyio
import typer

from pewtertack.cli.exit_codes import ExitCode

if TYPE_CHECKING:
    from pewtertack.cli.status_reports import NodeReport
    from pewtertack.node.status import NodeStatus

AdminOption = Annotated[
    list[str], typer.Option("--admin", help="http://ip:port of a node's admin interface.")
]
OthersArgument = Annotated[
    list[str] | None, typer.Argument(metavar="[URL]...", help="Further admin interfaces.")
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print one JSON array.")]
TimeoutOption = Annotated[float, typer.Option(help="Seconds to wait for each node.")]

HEADERS = (
    *("NODE", "ZONE", "PHASE", "HELD", "COMMITTED", "IN FORCE", "SINCE"),
    *("SOURCE AGE", "READER", "PEERS", "IN FLIGHT", "REJECTED"),
)
NO_VALUE = "-"
UTC_TIME = "%Y-%m-%d %H:%M:%S UTC"


def status(
    admin: AdminOption,
    others: OthersArgument = None,
    as_json: JsonOption = False,
    timeout: TimeoutOption = 3.0,
) -> None:
    """Print the status of nodes; exit code 1 if one is unreachable."""
    import msgspec

    from pewtertack.cli.status_reports import read_reports
    from pewtertack.json_encoding import encode_json

    reports = anyio.run(read_reports, (*admin, *(others or ())), timeout)
    if as_json:
        typer.echo(msgspec.json.format(encode_json(reports), indent=2).decode())
    else:
        typer.echo(format_reports(reports))
    unreachable = any(report.status is None for report in reports)
    raise typer.Exit(ExitCode.FOUND if unreachable else ExitCode.OK)


def format_reports(reports: Sequence[NodeReport]) -> str:
    """Return the table, followed by the reasons for rejections and failures."""
    from pewtertack.cli.tables import format_table

    notes = [note for report in reports for note in _notes(report)]
    return "\n".join([format_table(HEADERS, [_row(report) for report in reports]), *notes])


def _row(report: NodeReport) -> tuple[str, ...]:
    node = report.status
    if node is None:
        return (report.admin, NO_VALUE, "unreachable", *[NO_VALUE] * (len(HEADERS) - 3))
    rejection = node.last_rejection
    return (
        node.name,
        node.zone,
        node.phase if node.serving or node.phase != "serving" else "paused",
        str(node.held.number),
        str(node.committed.number),
        str(node.in_force.number),
        _format_age(None if node.in_force_since is None else report.read_at - node.in_force_since),
        _format_age(node.source_age),
        "yes" if node.reading else "no",
        " ".join(f"{count} {status}" for status, count in sorted(node.peers.items())) or NO_VALUE,
        str(node.in_flight),
        str(rejection.revision.number) if rejection is not None else NO_VALUE,
    )


def _format_age(seconds: float | None) -> str:
    return NO_VALUE if seconds is None else f"{max(seconds, 0.0):.1f} s"


def _notes(report: NodeReport) -> list[str]:
    if report.status is None:
        return [f"{report.admin}: {report.problem}"]
    node = report.status
    return [
        *_behind_notes(node),
        *_read_notes(node),
        *_rejected_revision_notes(node),
        *_rejected_request_notes(node),
    ]


def _behind_notes(node: NodeStatus) -> list[str]:
    if node.behind_for is None:
        return []
    known = f"has known of revision {node.newest_heard} for {node.behind_for:.1f} s"
    return [f"{node.name}: behind: {known} but has {node.in_force.number} in force"]


def _read_notes(node: NodeStatus) -> list[str]:
    return [
        f"{node.name}: consecutive failed reads of {document}: {read.failures}, "
        f"the last {read.failure or 'unknown'}"
        for document, read in node.reads.items()
        if read.failures
    ]


def _rejected_request_notes(node: NodeStatus) -> list[str]:
    return [
        f"{node.name}: request {item.fingerprint} is rejected: {item.ends} back ends crashed while "
        f"executing it, the first {item.since:.0f} s ago, the last {item.last:.0f} s ago"
        for item in node.refused_requests
    ]


def _rejected_revision_notes(node: NodeStatus) -> list[str]:
    rejection = node.last_rejection
    if rejection is None:
        return []
    prefix = f"{node.name}: revision {rejection.revision.number} rejected"
    if rejection.since is not None:
        since = time.strftime(UTC_TIME, time.gmtime(rejection.since))
        prefix += f", newer revisions rejected since {since}"
    return [
        f"{prefix}: {finding.path}: {finding.code}: {finding.message}"
        for finding in rejection.findings
    ]
