"""``pewtertack lab check`` and ``lab explore``: checking histories, exploring schedules."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import msgspec
import typer

from pewtertack.cli.exit_codes import ExitCode

if TYPE_CHECKING:
    from pewtertack.lab.history.verdicts import Verdict
    from pewtertack.lab.simulation.exploration import BatchResult

MAX_OFFENCES_SHOWN = 10


def check(
    history: Annotated[list[Path], typer.Argument(help="Files of one run, as JSON lines.")],
    promises: Annotated[str, typer.Option(help="all, configuration or requests.")] = "all",
    as_json: Annotated[bool, typer.Option("--json", help="Print the verdicts as JSON.")] = False,
    convergence: Annotated[
        float, typer.Option(help="Seconds until a revision must be in force everywhere.")
    ] = 12.0,
    recovery: Annotated[
        float, typer.Option(help="Seconds allowed for recovery from a fault.")
    ] = 60.0,
    leaving: Annotated[
        float, typer.Option(help="Seconds after which a leaving back end must get no new requests.")
    ] = 5.0,
) -> None:
    """Check a history; exit code 1 if a promise was violated or not sufficiently tested."""
    from pewtertack.lab.history.checker import all_held, check_files, parse_check_group
    from pewtertack.lab.history.verdicts import CheckBounds

    bounds = CheckBounds(convergence=convergence, recovery=recovery, leaving=leaving)
    verdicts = check_files(history, bounds, parse_check_group(promises))
    if as_json:
        typer.echo(msgspec.json.format(msgspec.json.encode(verdicts)).decode())
    else:
        for verdict in verdicts:
            _print_verdict(verdict)
    raise typer.Exit(ExitCode.OK if all_held(verdicts) else ExitCode.FOUND)


def _print_verdict(verdict: Verdict) -> None:
    typer.echo(f"{verdict.judgement:9} {verdict.promise:34} {verdict.judged} judged")
    for offence in verdict.offences[:MAX_OFFENCES_SHOWN]:
        typer.echo(f"          {offence.time:.3f} {offence.subject}: {offence.message}")
    hidden = len(verdict.offences) - MAX_OFFENCES_SHOWN
    if hidden > 0:
        typer.echo(f"          and {hidden} more")


def explore(
    schedules: Annotated[int, typer.Option(help="Number of schedules to run.")] = 2000,
    seed: int = 1,
    workers: Annotated[int, typer.Option(help="Number of worker processes.")] = 3,
    without: Annotated[str | None, typer.Option(help="Mechanism to disable.")] = None,
    shrink: Annotated[bool, typer.Option(help="Shrink failing schedules.")] = True,
    out: Annotated[Path | None, typer.Option(help="Directory for failing schedules.")] = None,
) -> None:
    """Run the coordination core under random fault schedules in virtual time."""
    from pewtertack.lab.simulation.exploration import explore as run_exploration

    results = run_exploration(schedules, seed, workers, without, shrink, _print_batch)
    failed = [result for result in results if result.counterexample is not None]
    if out is not None:
        for result in failed:
            _write_counterexample(out, result)
    _print_judged(results)
    typer.echo(f"{sum(result.schedules for result in results)} schedules, {len(failed)} failed")
    raise typer.Exit(ExitCode.FOUND if failed else ExitCode.OK)


def _print_batch(result: BatchResult) -> None:
    counterexample = result.counterexample
    outcome = (
        ", ".join(verdict.promise for verdict in counterexample.violations)
        if counterexample
        else "held"
    )
    typer.echo(f"seed {result.seed}: {result.schedules} schedules: {outcome}")


def _print_judged(results: list[BatchResult]) -> None:
    promises = sorted({promise for result in results for promise in result.judged})
    for promise in promises:
        judged = sum(result.judged.get(promise, 0) for result in results)
        typer.echo(f"{promise:34} {judged} judged")


def _write_counterexample(directory: Path, result: BatchResult) -> None:
    from pewtertack.lab.simulation.schedules import encode_schedule

    if result.counterexample is None:
        return
    directory.mkdir(parents=True, exist_ok=True)
    path = directory / f"schedule-{result.seed}.json"
    path.write_bytes(encode_schedule(result.counterexample.schedule))
    typer.echo(f"wrote {path}")
