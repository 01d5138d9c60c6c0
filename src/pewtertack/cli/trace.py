"""``pewtertack trace``: the path of one request over all nodes, from their logs."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer


def trace(
    request: Annotated[str, typer.Argument(help="The request's id.")],
    logs: Annotated[list[Path], typer.Argument(help="Log files of nodes.")],
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
) -> None:
    """Show the path of a request over all nodes, and their state changes at that time."""
    import msgspec

    from pewtertack.tracing.reading import ReadCounts, read_logs
    from pewtertack.tracing.report import report_data, report_lines
    from pewtertack.tracing.timeline import build_timeline

    counts = ReadCounts()
    timeline = build_timeline(read_logs(logs, counts), request)
    if as_json:
        typer.echo(msgspec.json.encode(report_data(timeline, counts)))
        return
    for line in report_lines(timeline, counts):
        typer.echo(line)
