"""``pewtertack policies``: the policies for each decision, and which one is in use."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from pewtertack.cli.exit_codes import ExitCode

SettingsOption = Annotated[
    Path | None,
    typer.Option("--settings", help="Settings file of a node; without it, the defaults."),
]
HEADERS = ("DECISION", "WAY", "IN FORCE", "WHAT IT DOES", "PARAMETERS")


def policies(settings: SettingsOption = None) -> None:
    """List the policies for each decision that has several, with their parameters."""
    from pewtertack.cli.tables import format_table
    from pewtertack.routing.policies import DEFAULT_POLICIES, Parameter, all_policies
    from pewtertack.settings import load_settings
    from pewtertack.settings.errors import SettingError

    try:
        chosen = DEFAULT_POLICIES if settings is None else load_settings(settings).policies
    except SettingError as error:
        typer.echo(f"{error.code}: {error}", err=True)
        raise typer.Exit(ExitCode.UNUSABLE_INPUT) from error

    def format_parameter(parameter: Parameter) -> str:
        if parameter.value is None:
            return f"{parameter.name}: {parameter.source}"
        unit = f" {parameter.unit}" if parameter.unit else ""
        return f"{parameter.name} {parameter.value:g}{unit} ({parameter.source})"

    rows = [
        (
            policy.kind.value,
            policy.name,
            "yes" if getattr(chosen, policy.kind.value) == policy.name else "",
            policy.purpose,
            "; ".join(format_parameter(parameter) for parameter in policy.parameters),
        )
        for policy in all_policies()
    ]
    typer.echo(format_table(HEADERS, rows))
