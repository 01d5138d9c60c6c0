"""``pewtertack policies``: the ways of each decision, and which one is in force."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from pewtertack.cli.exit_codes import ExitCode

SettingsOption = Annotated[
    Path | None, typer.Option("--settings", help="Settings file of a node; without it, defaults.")
]
HEADERS = ("DECISION", "WAY", "IN FORCE", "WHAT IT DOES", "PARAMETERS")


def policies(settings: SettingsOption = None) -> None:
    """List the ways of each decision that has several, with what they depend on."""
    from pewtertack.cli.tables import format_table
    from pewtertack.routing.policies import DEFAULT_POLICIES, Parameter, all_policies
    from pewtertack.settings import load_settings
    from pewtertack.settings.errors import SettingError

    try:
        chosen = DEFAULT_POLICIES if settings is None else load_settings(settings).policies
    except SettingError as error:
        typer.echo(f"{error.code}: {error}", err=True)
        raise typer.Exit(ExitCode.UNUSABLE_INPUT) from error

    def told(parameter: Parameter) -> str:
        if parameter.value is None:
            return f"{parameter.name}: {parameter.source}"
        unit = f" {parameter.unit}" if parameter.unit else ""
        return f"{parameter.name} {parameter.value:g}{unit} ({parameter.source})"

    rows = [
        (
            way.kind.value,
            way.name,
            "yes" if getattr(chosen, way.kind.value) == way.name else "",
            way.purpose,
            "; ".join(told(parameter) for parameter in way.parameters),
        )
        for way in all_policies()
    ]
    typer.echo(format_table(HEADERS, rows))
