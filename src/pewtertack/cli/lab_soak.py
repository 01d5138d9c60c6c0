"""``pewtertack lab soak``: overlapping series of faults in a small fleet."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from pewtertack.cli.exit_codes import ExitCode


def soak(
    minutes: Annotated[float, typer.Option(help="Duration of the faults in minutes.")] = 5.0,
    seed: Annotated[int, typer.Option(help="Seed of faults and requests.")] = 1,
    nodes: Annotated[int, typer.Option(help="Nodes, half of them in each of two zones.")] = 6,
    report: Annotated[Path | None, typer.Option(help="File for the report, as Markdown.")] = None,
    history: Annotated[
        Path | None, typer.Option(help="File for the history, as JSON lines.")
    ] = None,
    without: Annotated[str, typer.Option(help="Mechanism to disable in all nodes.")] = "",
    quiet: Annotated[bool, typer.Option(help="Print no progress.")] = False,
) -> None:
    """Stop, kill, pause and edit a fleet in series; exit code 1 if a promise is violated."""
    from pewtertack.cli.lab import run_fleet
    from pewtertack.lab.soak.options import SoakOptions
    from pewtertack.lab.soak.report import format_result, write_report
    from pewtertack.lab.soak.run import run_soak

    options = SoakOptions(minutes, seed, nodes, without)
    result = run_fleet(
        run_soak, options, history, lambda line: None if quiet else typer.echo(line, err=True)
    )
    if report is not None:
        write_report(result, report)
    typer.echo(format_result(result))
    raise typer.Exit(result.exit_code)


def soak_callers(
    tree: Annotated[Path, typer.Option(help="JSON file with the tree whose routes are used.")],
    node: Annotated[list[str], typer.Option(help="name=ip:port of a proxy, repeatable.")],
    callers: Annotated[int, typer.Option(help="Callers per node.")] = 2,
    seed: int = 0,
    prefix: Annotated[str, typer.Option(help="Prefix of the request ids.")] = "callers",
    traffic: Annotated[
        str, typer.Option(help="Kind of the requests: mixed, downloads or quick.")
    ] = "mixed",
) -> None:
    """Run callers with persistent connections, and print the outcome of each request."""
    import anyio

    from pewtertack.cli.lab import parse_named_address, read_json_object
    from pewtertack.lab.load.caller import Target
    from pewtertack.lab.load.mix import mix_of_tree
    from pewtertack.lab.records import CallResult, encode_record
    from pewtertack.lab.serving import print_line, print_ready
    from pewtertack.lab.soak.callers import PersistentCallers
    from pewtertack.lab.soak.mix import generator_of

    def record(outcome: CallResult) -> None:
        print_line(encode_record(outcome))

    targets = [Target(*parse_named_address(text)) for text in node]
    mix = mix_of_tree(read_json_object(tree))
    kind = generator_of(traffic)
    print_ready()
    anyio.run(PersistentCallers(targets, callers, mix, seed, prefix, record, kind).run)
    raise typer.Exit(ExitCode.OK)
