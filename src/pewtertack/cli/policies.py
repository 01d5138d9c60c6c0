"""``pewtertack policies``: the policies for each decision, and which one is in use."""

from __future__ import annotations

import textwrap
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer

from pewtertack.cli.exit_codes import ExitCode

if TYPE_CHECKING:
    from pewtertack.routing.policies import Parameter, Policy

SettingsOption = Annotated[
    Path | None,
    typer.Option("--settings", help="Settings file of a node; without it, the defaults."),
]
MAX_COLUMNS = 100
"""Width of the printed lines."""
INDENT = "    "


def policies(settings: SettingsOption = None) -> None:
    """List the policies for each decision that has several, with their parameters."""
    from pewtertack.routing.policies import DEFAULT_POLICIES, all_policies
    from pewtertack.settings import load_settings
    from pewtertack.settings.errors import SettingError

    try:
        chosen = DEFAULT_POLICIES if settings is None else load_settings(settings).policies
    except SettingError as error:
        typer.echo(f"{error.code}: {error}", err=True)
        raise typer.Exit(ExitCode.UNUSABLE_INPUT) from error
    for policy in all_policies():
        in_use = getattr(chosen, policy.kind.value) == policy.name
        typer.echo("\n".join(_format_policy(policy, in_use)))


def _format_policy(policy: Policy, in_use: bool) -> list[str]:
    """Return the lines that describe a policy: its setting, its effect and its parameters."""
    mark = " (in use)" if in_use else ""
    parameters = (_format_parameter(parameter) for parameter in policy.parameters)
    return [
        f"{policy.kind.value}={policy.name}{mark}",
        *_wrap(policy.purpose, INDENT),
        *(line for parameter in parameters for line in _wrap(parameter, 2 * INDENT)),
    ]


def _format_parameter(parameter: Parameter) -> str:
    if parameter.value is None:
        return f"{parameter.name}: {parameter.source}"
    unit = f" {parameter.unit}" if parameter.unit else ""
    return f"{parameter.name} {parameter.value:g}{unit} ({parameter.source})"


def _wrap(text: str, indent: str) -> list[str]:
    return textwrap.wrap(text, MAX_COLUMNS, initial_indent=indent, subsequent_indent=indent)
