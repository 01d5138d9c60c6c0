"""``pewtertack lab mesh``: a mesh with a deployment's settings under faults."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from pewtertack.cli.exit_codes import ExitCode

TEMPLATE = Path("deploy/node.toml.template")


def mesh(
    shape: Annotated[str, typer.Option(help="reservations or logbook.")] = "reservations",
    seed: Annotated[int, typer.Option(help="Seed of load and faults.")] = 1,
    seconds: Annotated[float, typer.Option(help="Seconds of faults.")] = 20.0,
    load: Annotated[float, typer.Option(help="Factor on the shape's rate of calls.")] = 0.5,
    attempts: Annotated[int, typer.Option(help="Back ends a request may be sent to.")] = 2,
    backends: Annotated[
        int | None, typer.Option(help="Most back ends of a service; the shape's number if absent.")
    ] = None,
    without: Annotated[
        list[str] | None, typer.Option(help="A lane or a fault of answers to leave out.")
    ] = None,
    template: Annotated[Path, typer.Option(help="Template of the nodes' settings.")] = TEMPLATE,
) -> None:
    """Exit code 1 if a request ran though it was refused, or ran twice though it must not."""
    import msgspec

    from pewtertack.cli.lab import run_fleet
    from pewtertack.errors import LabError
    from pewtertack.lab.mesh.options import MeshOptions
    from pewtertack.lab.mesh.run import run_mesh
    from pewtertack.lab.mesh.shapes import find_shape
    from pewtertack.lab.working_directory import WorkingDirectory

    try:
        mesh_shape = find_shape(shape).with_attempts(attempts)
        if backends is not None:
            mesh_shape = mesh_shape.with_backends(backends)
        options = MeshOptions(
            mesh_shape,
            template,
            seed,
            seconds,
            load,
            frozenset(without or ()),
        )
        with WorkingDirectory("pewtertack-mesh-", lambda text: typer.echo(text, err=True)) as files:
            result = run_fleet(run_mesh, options, files.path)
    except LabError as error:
        typer.echo(f"{error.code}: {error}", err=True)
        raise typer.Exit(ExitCode.UNUSABLE_INPUT) from error
    for trace in result.traces.values():
        typer.echo(trace, err=True)
    typer.echo(msgspec.json.encode(msgspec.structs.replace(result, traces={})).decode())
    found = bool(result.violations) or not result.tested
    raise typer.Exit(ExitCode.FOUND if found else ExitCode.OK)
