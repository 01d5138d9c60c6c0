"""``pewtertack lab operator``: random edits and evacuations on simulated nodes."""

from __future__ import annotations

from typing import Annotated

import typer

from pewtertack.cli.exit_codes import ExitCode


def operator(
    seconds: Annotated[float, typer.Option(help="Virtual seconds of changes.")] = 60.0,
    seed: Annotated[int, typer.Option(help="Seed of the changes.")] = 1,
    nodes: Annotated[int, typer.Option(help="Nodes, distributed over three zones.")] = 4,
    first_revision: Annotated[
        int, typer.Option(help="Revision of the store before its first write.")
    ] = 0,
) -> None:
    """Edit and evacuate at random; exit code 1 if a change is late or undone."""
    import msgspec

    from pewtertack.lab.errors import LabUsageError
    from pewtertack.lab.operator.run import OperatorOptions, simulate_operator

    try:
        options = OperatorOptions(seconds, seed, nodes, first_revision)
    except LabUsageError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(ExitCode.UNUSABLE_INPUT) from error
    result = simulate_operator(options)
    typer.echo(msgspec.json.encode(result).decode())
    raise typer.Exit(ExitCode.FOUND if result.offences else ExitCode.OK)
