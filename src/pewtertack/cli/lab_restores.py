"""``pewtertack lab returns``: a series of restores of the store from older copies."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from pewtertack.cli.exit_codes import ExitCode


def returns(
    seconds: Annotated[float, typer.Option(help="Duration of the faults in seconds.")] = 30.0,
    seed: Annotated[int, typer.Option(help="Seed of the faults.")] = 1,
    hold: Annotated[str, typer.Option(help="source.hold_after_return of the nodes.")] = "6s",
) -> None:
    """Restore the store from copies during edits and node stops; exit code 1 on a violation."""
    import anyio
    import msgspec

    from pewtertack.lab.returns.run import run_restores

    result = anyio.run(run_restores, seconds, seed, hold)
    typer.echo(msgspec.json.encode(result).decode())
    raise typer.Exit(ExitCode.FOUND if result.offences else ExitCode.OK)


def store_node(
    settings: Annotated[Path, typer.Option(help="The node's settings file.")],
    without: Annotated[str, typer.Option(help="The mechanism to disable.")] = "",
) -> None:
    """Run a node that reads the platform's store, until it receives a stop signal."""
    from pewtertack.lab.disabled_mechanisms import disable_mechanism
    from pewtertack.node.start import start_node
    from pewtertack.platform.store import make_reader

    if without:
        disable_mechanism(without)
    raise typer.Exit(start_node(str(settings), {}, make_reader))
