"""The tables of docs/CONFIGURATION.md that are generated from the model."""

from __future__ import annotations

import json
from collections.abc import Iterable, Sequence

from pewtertack.core.configuration.findings import FindingCode
from pewtertack.core.configuration.model import (
    ROUTE_DEFAULT_SETTINGS,
    ROUTE_SETTINGS,
    SERVICE_SETTINGS,
    Setting,
)


def settings_tables() -> str:
    """Return the Markdown tables of all settings."""
    inherited = ROUTE_DEFAULT_SETTINGS.values()
    match_settings = [setting for setting in ROUTE_SETTINGS.values() if setting not in inherited]
    blocks = (
        "### In `routes.NAME` alone",
        _settings_table(match_settings),
        "### In `routes.NAME` and in every `route_defaults`",
        _settings_table(inherited),
        "### In `services.NAME` and in every `service_defaults`",
        _settings_table(SERVICE_SETTINGS.values()),
    )
    return "\n\n".join(blocks)


def findings_table() -> str:
    """Return the Markdown table of all kinds of findings."""
    rows = [(f"`{code.label}`", code.meaning) for code in FindingCode]
    return _table(("code", "meaning"), rows)


def _settings_table(settings: Iterable[Setting]) -> str:
    rows = [
        (f"`{setting.name}`", setting.meaning, setting.accepted, _default_cell(setting))
        for setting in settings
    ]
    return _table(("setting", "meaning", "accepted values", "default"), rows)


def _default_cell(setting: Setting) -> str:
    return "none: required" if setting.default is None else f"`{json.dumps(setting.default)}`"


def _table(headers: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    lines = [_row(headers), _row(["---"] * len(headers))]
    lines.extend(_row(row) for row in rows)
    return "\n".join(lines)


def _row(cells: Sequence[str]) -> str:
    return "| " + " | ".join(cells) + " |"
