"""``pewtertack lab returns``: the store comes back from older copies, in series."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from pewtertack.cli.exit_codes import ExitCode


def returns(
    seconds: Annotated[float, typer.Option(help="How long faults go on.")] = 30.0,
    seed: Annotated[int, typer.Option(help="Decides the faults.")] = 1,
    hold: Annotated[str, typer.Option(help="source.hold_after_return of the nodes.")] = "6s",
) -> None:
    """Bring the store back from copies beside edits and stops; exit code 1 on an offence."""
    import anyio
    import msgspec

    from pewtertack.lab.returns.run import run_restores

    result = anyio.run(run_restores, seconds, seed, hold)
    typer.echo(msgspec.json.encode(result).decode())
    raise typer.Exit(ExitCode.FOUND if result.offences else ExitCode.OK)


def store_node(
    settings: Annotated[Path, typer.Option(help="The node's settings file.")],
    without: Annotated[str, typer.Option(help="The mechanism that is switched off.")] = "",
) -> None:
    """Run a node that reads the platform's store, until it is told to stop."""
    from pewtertack.lab.disabled_mechanisms import disable_mechanism
    from pewtertack.node.start import start_node
    from pewtertack.platform.store import make_reader

    if without:
        disable_mechanism(without)
    raise typer.Exit(start_node(str(settings), {}, make_reader))
