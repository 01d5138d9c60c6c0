"""``pewtertack lab depth``: effect of call depth on retries, deadlines and latency."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import msgspec
import typer

from pewtertack.lab.errors import LabUsageError


def depth(
    depth: Annotated[int, typer.Option(min=1, help="Levels of the deepest chain.")] = 19,
    seed: int = 1,
    report: Annotated[Path | None, typer.Option(help="File for the report, as JSON.")] = None,
) -> None:
    """Simulate service chains under faults, compared with fixed retries at every level."""
    from pewtertack.lab.depth.simulation import DEPTHS, compare
    from pewtertack.lab.depth.table import markdown_lines

    depths = (*(item for item in DEPTHS if item < depth), depth)
    result = compare(depths, seed)
    for line in markdown_lines(result):
        typer.echo(line)
    if report is not None:
        report.write_bytes(msgspec.json.format(msgspec.json.encode(result)))


def depth_latency(
    samples: Annotated[Path, typer.Argument(help="File of ``lab hop --samples``.")],
    depth: Annotated[int, typer.Option(min=1, help="Levels of the deepest chain.")] = 19,
    seed: int = 1,
) -> None:
    """Compute the latency that the proxies of a call chain add, from the samples of one hop."""
    from pewtertack.lab.depth.latency import added_latency
    from pewtertack.lab.depth.simulation import DEPTHS
    from pewtertack.lab.hop.measurement import HopSamples

    try:
        hop = msgspec.json.decode(samples.read_bytes(), type=HopSamples)
    except (OSError, msgspec.MsgspecError) as error:
        raise LabUsageError(f"cannot read samples from {samples}: {error}") from error
    typer.echo("| depth | added p50 ms | added p99 ms | depth times one hop's p99 ms |")
    typer.echo("|---|---|---|---|")
    for levels in (*(item for item in DEPTHS if item < depth), depth):
        row = added_latency(hop, levels, seed)
        typer.echo(f"| {levels} | {row.p50:.2f} | {row.p99:.2f} | {row.p99_times_depth:.2f} |")
