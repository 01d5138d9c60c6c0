"""Commands for configuration trees: ``check``, ``explain`` and ``diff``."""

from __future__ import annotations

import json
from collections.abc import Sequence
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import typer

from pewtertack.cli.exit_codes import ExitCode

if TYPE_CHECKING:
    import msgspec

    from pewtertack.core.configuration.changes import Change
    from pewtertack.core.configuration.explanation import ExplainedValue, LevelValue
    from pewtertack.core.configuration.resolved import ResolvedConfiguration
    from pewtertack.core.revision import Document

TreeArgument = Annotated[Path, typer.Argument(help="File of the tree, .toml or .json.")]
ZoneOption = Annotated[str, typer.Option("--zone", help="Zone to resolve the tree for.")]
RouteOption = Annotated[str, typer.Option("--route", help="Route to explain.")]
JsonOption = Annotated[bool, typer.Option("--json", help="Print one JSON object.")]


def check(tree: TreeArgument, as_json: JsonOption = False) -> None:
    """Check a tree; exit code 1 and one line per finding if it is rejected."""
    from pewtertack.cli.tree_reports import report_findings
    from pewtertack.core.configuration.validation import check_document
    from pewtertack.tree_files import load_tree

    findings = check_document(load_tree(tree))
    if as_json:
        _print_json(report_findings(findings))
    else:
        for finding in findings:
            typer.echo(str(finding))
        typer.echo(f"{tree}: rejected, {len(findings)} findings" if findings else f"{tree}: valid")
    raise typer.Exit(ExitCode.FOUND if findings else ExitCode.OK)


def explain(
    tree: TreeArgument, zone: ZoneOption, route: RouteOption, as_json: JsonOption = False
) -> None:
    """Print each resolved value of a route and its service with the level that defines it."""
    from pewtertack.cli.tree_reports import ExplainReport, report_values
    from pewtertack.core.configuration.explanation import explain as explain_route
    from pewtertack.core.configuration.explanation import explain_service
    from pewtertack.tree_files import load_tree

    document = load_tree(tree)
    route_values = explain_route(document, zone, route)
    service = next(value for value in route_values if value.setting == "service").winner.value
    service_values = explain_service(document, zone, service)
    _warn_of_unknown_zone(document, zone)
    if as_json:
        route_reports = report_values(route_values)
        service_reports = report_values(service_values)
        _print_json(ExplainReport(zone, route, service, route_reports, service_reports))
        return
    typer.echo(f"route {route} in zone {zone}\n{_format_values(route_values)}\n")
    typer.echo(f"service {service} in zone {zone}\n{_format_values(service_values)}")


def diff(
    old: TreeArgument, new: TreeArgument, zone: ZoneOption, as_json: JsonOption = False
) -> None:
    """Print how an edit changes the resolved tree of a zone; exit code 1 if it does."""
    from pewtertack.cli.tree_reports import report_changes
    from pewtertack.core.configuration.changes import compare_resolved

    changes = compare_resolved(_resolve_file(old, zone), _resolve_file(new, zone))
    if as_json:
        _print_json(report_changes(zone, changes))
    else:
        for change in changes:
            typer.echo(_format_change(change))
        typer.echo(f"{len(changes)} differences in zone {zone}")
    raise typer.Exit(ExitCode.FOUND if changes else ExitCode.OK)


def _resolve_file(tree: Path, zone: str) -> ResolvedConfiguration:
    from pewtertack.core.configuration.resolution import resolve_document
    from pewtertack.core.revision import NO_REVISION
    from pewtertack.tree_files import load_tree

    document = load_tree(tree)
    resolved = resolve_document(document, NO_REVISION, zone)
    _warn_of_unknown_zone(document, zone)
    return resolved


def _warn_of_unknown_zone(document: Document, zone: str) -> None:
    from pewtertack.core.configuration.model import ZONES

    if zone not in document.get(ZONES, {}):
        typer.echo(f"zone {zone} is not in the tree: the values of the root are used", err=True)


def _print_json(report: msgspec.Struct) -> None:
    import msgspec

    encoded = msgspec.json.encode(report)
    typer.echo(msgspec.json.format(encoded, indent=2).decode())


def _format_values(values: Sequence[ExplainedValue]) -> str:
    from pewtertack.cli.tables import format_table

    rows = []
    for value in values:
        rows.append((value.setting, *_format_level(value.winner)))
        rows.extend(("", *_format_level(loser)) for loser in value.losers)
    return format_table(("SETTING", "VALUE", "LEVEL", "PATH"), rows)


def _format_level(value: LevelValue) -> tuple[str, str, str]:
    """Return the cells for value, level and path."""
    level = f"{value.level} (deleted)" if value.deleted else value.level.value
    return json.dumps(value.value), level, ".".join(value.path)


def _format_change(change: Change) -> str:
    path = ".".join(filter(None, (change.section, change.name, change.setting)))
    if not change.setting:
        return f"{change.kind} {path}"
    return f"{change.kind} {path}: {_format_json(change.old)} -> {_format_json(change.new)}"


def _format_json(value: Any) -> str:
    return json.dumps(value)
