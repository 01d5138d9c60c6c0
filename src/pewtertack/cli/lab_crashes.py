"""``pewtertack lab crashes``: a request that ends its back ends, in virtual time."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import msgspec
import typer


def crashes(
    nodes: Annotated[int, typer.Option(help="Nodes, a back end of the service beside each.")] = 12,
    seconds: Annotated[float, typer.Option(help="Virtual seconds.")] = 20.0,
    repeat: Annotated[float, typer.Option(help="Seconds between two sends of the request.")] = 0.2,
    burst: Annotated[int, typer.Option(help="How often it is sent at once.")] = 1,
    away: Annotated[float, typer.Option(help="Seconds until a back end is back.")] = 3.0,
    loss: Annotated[float, typer.Option(help="Share of datagrams that get lost.")] = 0.02,
    ledger: Annotated[bool, typer.Option(help="Whether ends are told and remembered.")] = True,
    seed: int = 1,
    plot: Annotated[Path | None, typer.Option(help="Takes a plot by second, SVG.")] = None,
) -> None:
    """Simulate it beside ordinary requests, and print the result as JSON."""
    from pewtertack.lab.crashes.simulation import CrashShape, simulate_crashes

    shape = CrashShape(
        nodes=nodes,
        seconds=seconds,
        repeat=repeat,
        burst=burst,
        away=away,
        loss=loss,
        ledger=ledger,
    )
    result = simulate_crashes(shape, seed)
    if plot is not None:
        from pewtertack.lab.pages.plots import plot_crashes

        plot_crashes([result], plot)
    typer.echo(msgspec.json.format(msgspec.json.encode(result)).decode())
