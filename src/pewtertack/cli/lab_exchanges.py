"""``pewtertack lab exchanges``: generated HTTP exchanges through real nodes."""

from __future__ import annotations

from typing import Annotated

import typer

from pewtertack.cli.exit_codes import ExitCode


def exchanges(
    seed: Annotated[int, typer.Option(help="Seed of the exchanges.")] = 1,
    count: Annotated[int, typer.Option(help="Number of exchanges.")] = 400,
) -> None:
    """Send exchanges through three nodes; exit code 1 if one was changed, mixed or run twice."""
    import msgspec

    from pewtertack.cli.lab import run_fleet
    from pewtertack.lab.exchanges.run import run_exchanges

    result = run_fleet(run_exchanges, seed, count)
    typer.echo(msgspec.json.encode(result).decode())
    found = bool(result.violations) or not result.tested
    raise typer.Exit(ExitCode.FOUND if found else ExitCode.OK)
