"""``pewtertack lab``: stand-ins, fleets, load and scenarios."""

from __future__ import annotations

import json
import math
import tempfile
from collections.abc import Awaitable, Callable
from dataclasses import replace
from functools import partial
from pathlib import Path
from typing import Annotated, Any, TypeVar

import anyio
import msgspec
import typer

from pewtertack.cli.exit_codes import ExitCode
from pewtertack.errors import LabError
from pewtertack.lab.address import parse_address
from pewtertack.lab.errors import LabUsageError, flatten_exception_group
from pewtertack.settings import Address

app = typer.Typer(no_args_is_help=True, help="Stand-ins, fleets, load and scenarios.")

Result = TypeVar("Result")

ANY_PORT = "127.0.0.1:0"

Listen = Annotated[str, typer.Option(help="Address for readers, ip:port.")]
Control = Annotated[str, typer.Option(help="Address of the lab's control interface, ip:port.")]


def read_json_object(path: Path) -> dict[str, Any]:
    """Read a JSON object from a file.

    Raises:
        LabUsageError: the file is unreadable or not a JSON object.
    """
    try:
        value = json.loads(path.read_text())
    except (OSError, ValueError) as error:
        raise LabUsageError(f"{path}: {error}") from error
    if not isinstance(value, dict):
        raise LabUsageError(f"{path}: not a JSON object")
    return value


def run_fleet(function: Callable[..., Awaitable[Result]], *arguments: object) -> Result:
    """Run an asynchronous function that runs a fleet.

    Raises:
        LabError: the first error of the fleet, unwrapped from exception groups.
    """
    try:
        return anyio.run(function, *arguments)
    except BaseExceptionGroup as group:
        errors = [error for error in flatten_exception_group(group) if isinstance(error, LabError)]
        if not errors:
            raise
        raise errors[0] from group


@app.command()
def source(
    tree: Annotated[Path, typer.Option(help="JSON file with the first tree.")],
    listen: Listen = ANY_PORT,
    control: Control = ANY_PORT,
    max_readers: Annotated[int, typer.Option(help="Concurrent reads; further ones get 503.")] = 32,
    seed: int = 0,
) -> None:
    """Run the stand-in of the configuration source."""
    from pewtertack.lab.source.service import ConfigurationSource

    stand_in = ConfigurationSource(
        read_json_object(tree),
        parse_address(listen),
        parse_address(control),
        max_readers,
        seed,
    )
    anyio.run(stand_in.service.run)


@app.command()
def machines(
    file: Annotated[Path, typer.Option(help="JSON file with the first list.")],
    listen: Listen = ANY_PORT,
    control: Control = ANY_PORT,
    lag: Annotated[float, typer.Option(help="Seconds until a change is visible.")] = 0.0,
    max_readers: Annotated[int, typer.Option(help="Concurrent reads; further ones get 503.")] = 32,
) -> None:
    """Run the stand-in of the platform's machine list."""
    from pewtertack.lab.machines.service import MachineListService

    stand_in = MachineListService(
        read_json_object(file),
        parse_address(listen),
        parse_address(control),
        lag,
        max_readers,
    )
    anyio.run(stand_in.service.run)


@app.command()
def backend(
    host: Annotated[list[str], typer.Option(help="name=ip:port, repeated for each back end.")],
    control: Control = ANY_PORT,
    slots: int = 6,
    connections: int = 130,
    queue: Annotated[int, typer.Option(help="Requests that may wait for a slot.")] = 2,
    work_ms: Annotated[
        float, typer.Option(help="Default work time of a request in milliseconds.")
    ] = 5.0,
    cold_ms: Annotated[float, typer.Option(help="Milliseconds of slowness after the start.")] = 0.0,
    seed: int = 0,
) -> None:
    """Run the stand-ins of one or more back ends in one process."""
    from pewtertack.lab.backend.process import BackendProcess
    from pewtertack.lab.backend.state import Capacity

    capacity = Capacity(
        slots=slots,
        connections=connections,
        queue=queue,
        work_time=work_ms / 1000,
        cold_period=cold_ms / 1000,
    )
    named = dict(parse_named_address(text) for text in host)
    anyio.run(BackendProcess(named, parse_address(control), capacity, seed).run)


def parse_named_address(text: str) -> tuple[str, Address]:
    """Parse ``name=ip:port``.

    Raises:
        LabUsageError: the text does not have this form.
    """
    name, equals, address = text.partition("=")
    if not equals:
        raise LabUsageError(f"{text!r}: expected name=ip:port")
    return name, parse_address(address)


@app.command()
def relay(
    nodes: Annotated[Path, typer.Option(help="JSON file with a list of relayed nodes.")],
    control: Control = ANY_PORT,
    seed: int = 0,
) -> None:
    """Run the relay for the peer traffic of the nodes."""
    from pewtertack.lab.relay.links import RelayedNode
    from pewtertack.lab.relay.service import Relay

    listed = msgspec.json.decode(nodes.read_bytes(), type=tuple[RelayedNode, ...])
    anyio.run(Relay(listed, parse_address(control), seed).run)


@app.command()
def load(
    tree: Annotated[Path, typer.Option(help="JSON file with the tree whose routes are used.")],
    node: Annotated[list[str], typer.Option(help="name=ip:port of a proxy, repeatable.")],
    rate: Annotated[float, typer.Option(help="Requests started per second.")] = 50.0,
    seconds: Annotated[
        float, typer.Option(help="Unlimited by default; SIGTERM stops it.")
    ] = math.inf,
    seed: int = 0,
    prefix: Annotated[str, typer.Option(help="Prefix of the request ids.")] = "load",
) -> None:
    """Send an open-loop load and print the outcome of each request."""
    from pewtertack.lab.load.caller import Target
    from pewtertack.lab.load.generator import LoadGenerator
    from pewtertack.lab.load.mix import mix_of_tree
    from pewtertack.lab.records import CallResult, encode_record
    from pewtertack.lab.serving import print_line, print_ready

    def record(outcome: CallResult) -> None:
        print_line(encode_record(outcome))

    targets = [Target(*parse_named_address(text)) for text in node]
    mix = mix_of_tree(read_json_object(tree))
    print_ready()
    anyio.run(LoadGenerator(targets, mix, rate, seed, prefix, record).run, seconds)


@app.command()
def scenarios() -> None:
    """List the scenarios of ``pewtertack lab run``."""
    from pewtertack.lab.scenarios.catalogue import SCENARIOS

    for scenario in SCENARIOS.values():
        typer.echo(f"{scenario.name:26} {scenario.description}")


@app.command()
def run(
    scenario: Annotated[str, typer.Argument(help="One of `pewtertack lab scenarios`.")],
    seed: int = 1,
    report: Annotated[Path | None, typer.Option(help="File for the report, as JSON.")] = None,
    history: Annotated[
        Path | None, typer.Option(help="File for the history, as JSON lines.")
    ] = None,
    deployment: Annotated[str, typer.Option(help="lagos or kolkata.")] = "lagos",
    nodes_per_zone: int = 3,
    examples: Annotated[Path, typer.Option(help="Directory of the trees.")] = Path("examples"),
    without: Annotated[str, typer.Option(help="Mechanism to disable in all nodes.")] = "",
) -> None:
    """Run a scenario in real processes; exit code 1 if any check fails."""
    from pewtertack.lab.deployments import shape_of
    from pewtertack.lab.disabled_mechanisms import check_mechanism
    from pewtertack.lab.report.table import format_report
    from pewtertack.lab.scenarios.catalogue import find_scenario
    from pewtertack.lab.scenarios.runner import run_scenario

    selected = find_scenario(scenario)
    if without:
        check_mechanism(without)
    shape = replace(shape_of(deployment, examples, nodes_per_zone), disabled_mechanism=without)
    with tempfile.TemporaryDirectory() as directory:
        path = history or Path(directory) / "history.jsonl"
        result = run_fleet(run_scenario, selected, shape, seed, path)
    if report is not None:
        report.write_bytes(msgspec.json.format(msgspec.json.encode(result)))
    typer.echo(format_report(result))
    typer.echo("passed" if result.passed else "failed")
    raise typer.Exit(ExitCode.OK if result.passed else ExitCode.FOUND)


@app.command()
def demo(
    deployment: Annotated[str, typer.Option(help="lagos or kolkata.")] = "lagos",
    nodes_per_zone: int = 3,
    examples: Annotated[Path, typer.Option(help="Directory of the trees.")] = Path("examples"),
) -> None:
    """Run a four-zone fleet with one edit during requests; exit code 1 if any check fails."""
    from pewtertack.lab.demo import format_demo, run_demo
    from pewtertack.lab.deployments import shape_of
    from pewtertack.lab.working_directory import WorkingDirectory

    shape = shape_of(deployment, examples, nodes_per_zone)
    with WorkingDirectory("pewtertack-demo-", partial(typer.echo, err=True)) as directory:
        result = run_fleet(run_demo, shape, directory.path)
        directory.failed = bool(result.problems())
    typer.echo(format_demo(result))
    raise typer.Exit(ExitCode.FOUND if result.problems() else ExitCode.OK)


@app.command()
def hop(
    calls: Annotated[int, typer.Option(help="Pairs of a direct and a proxied call.")] = 900,
    rate: Annotated[float, typer.Option(help="Pairs per second.")] = 45.0,
    saturated_seconds: Annotated[float, typer.Option(help="Duration of the saturated run.")] = 3.0,
    samples: Annotated[Path | None, typer.Option(help="File for all times, as JSON.")] = None,
) -> None:
    """Measure the latency that one proxy hop adds to a call, and print it as JSON."""
    from pewtertack.lab.hop.measurement import measure_hop

    measurement = anyio.run(measure_hop, calls, rate, saturated_seconds)
    typer.echo(msgspec.json.format(msgspec.json.encode(measurement.result)).decode())
    if samples is not None:
        samples.write_bytes(msgspec.json.encode(measurement.samples))


@app.command(hidden=True)
def hop_target(
    role: Annotated[str, typer.Argument(help="backend or proxy.")],
    backend: Annotated[list[str] | None, typer.Option(help="ip:port, for the proxy.")] = None,
) -> None:
    """Run one of the processes of ``hop``."""
    from pewtertack.lab.hop.targets import run_backend, run_proxy

    if role == "backend":
        anyio.run(run_backend)
    else:
        anyio.run(run_proxy, [parse_address(text) for text in backend or []])


@app.command()
def weak_node(
    without: Annotated[str, typer.Argument(help="The mechanism to disable.")],
    settings: Annotated[Path, typer.Option(help="The node's settings file.")],
) -> None:
    """Run a node with one mechanism disabled, to show that a scenario detects it."""
    from pewtertack.cli.node import run as run_node
    from pewtertack.lab.disabled_mechanisms import disable_mechanism

    disable_mechanism(without)
    raise typer.Exit(run_node(["--settings", str(settings)]))


@app.command(hidden=True)
def era_node(
    settings: Annotated[Path, typer.Option(help="The node's settings file.")],
    without: Annotated[str, typer.Option(help="The mechanism to disable.")] = "",
) -> None:
    """Run a node that reads the eras of the lab's platform."""
    from pewtertack.lab.disabled_mechanisms import disable_mechanism
    from pewtertack.lab.source.era_reader import make_era_reader
    from pewtertack.node.start import start_node

    if without:
        disable_mechanism(without)
    raise typer.Exit(start_node(str(settings), {}, make_era_reader))
