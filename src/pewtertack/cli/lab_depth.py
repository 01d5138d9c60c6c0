"""``pewtertack lab depth``: what many levels of calls do to retries and deadlines."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import msgspec
import typer


def depth(
    depth: Annotated[int, typer.Option(min=1, help="Levels of the deepest chain.")] = 19,
    seed: int = 1,
    report: Annotated[Path | None, typer.Option(help="Takes the report as JSON.")] = None,
) -> None:
    """Simulate chains of services under faults, against fixed retries at every level."""
    from pewtertack.lab.depth.simulation import DEPTHS, compare
    from pewtertack.lab.depth.table import lines_of

    depths = (*(item for item in DEPTHS if item < depth), depth)
    result = compare(depths, seed)
    for line in lines_of(result):
        typer.echo(line)
    if report is not None:
        report.write_bytes(msgspec.json.format(msgspec.json.encode(result)))
