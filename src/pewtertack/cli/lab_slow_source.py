"""``pewtertack lab slow-source``: a series of edits and starts while the store is slow."""

from __future__ import annotations

from typing import Annotated

import typer

from pewtertack.cli.exit_codes import ExitCode


def slow_source(
    seconds: Annotated[float, typer.Option(help="Duration of the faults in seconds.")] = 60.0,
    seed: Annotated[int, typer.Option(help="Seed of the faults.")] = 1,
    nodes: Annotated[int, typer.Option(help="Nodes, distributed over three zones.")] = 4,
    bound: Annotated[
        float, typer.Option(help="Seconds after a response within which its edit must be in force.")
    ] = 3.0,
    virtual: Annotated[
        bool, typer.Option("--virtual", help="Simulate the nodes in virtual time.")
    ] = False,
    without: Annotated[str, typer.Option(help="Mechanism to disable in all nodes.")] = "",
) -> None:
    """Edit and restart a fleet whose store is slow; exit code 1 if an edit is late."""
    import msgspec

    from pewtertack.cli.lab import run_fleet
    from pewtertack.lab.slow_source.options import SlowSourceOptions
    from pewtertack.lab.slow_source.run import run_slow_source, simulate_slow_source

    options = SlowSourceOptions(seconds, seed, nodes, bound, without)
    result = simulate_slow_source(options) if virtual else run_fleet(run_slow_source, options)
    typer.echo(msgspec.json.encode(result).decode())
    raise typer.Exit(ExitCode.FOUND if result.offences else ExitCode.OK)
