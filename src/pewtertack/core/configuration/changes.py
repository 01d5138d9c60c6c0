"""Comparison of two resolved configurations of one zone."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from enum import StrEnum
from typing import Any

import msgspec

from pewtertack.core.configuration.model import RootSection, Section
from pewtertack.core.configuration.resolved import (
    ResolvedConfiguration,
    ResolvedRoute,
    ResolvedService,
)

MASKED = "(masked)"
"""Replaces the value of a secret."""

_TREE_NAMES: Mapping[str, str] = {"work_class": "class"}
"""Fields of resolved structs whose setting has another name in the tree."""


class ChangeKind(StrEnum):
    """How a route, service, secret, setting or evacuation differs."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


class Change(msgspec.Struct, frozen=True):
    """One difference between two resolved configurations.

    ``setting`` is empty if a whole route, service or secret was added or removed, and for secrets,
    evacuated zones and settings of the root. Durations are in seconds; secrets are masked.
    """

    kind: ChangeKind
    section: Section | RootSection
    name: str
    setting: str = ""
    old: Any = None
    new: Any = None


def compare_resolved(old: ResolvedConfiguration, new: ResolvedConfiguration) -> tuple[Change, ...]:
    """Return the changes from ``old`` to ``new``: root settings, services, secrets, routes."""
    return (
        *_compare_evacuations(old.evacuated, new.evacuated),
        *_compare_head_bytes(old.head_bytes, new.head_bytes),
        *_compare_tables(Section.SERVICES, old.services, new.services),
        *_compare_secrets(old.secrets, new.secrets),
        *_compare_tables(Section.ROUTES, _routes_by_name(old), _routes_by_name(new)),
    )


def _routes_by_name(configuration: ResolvedConfiguration) -> Mapping[str, ResolvedRoute]:
    return {route.name: route for route in configuration.routes}


def _compare_evacuations(old: frozenset[str], new: frozenset[str]) -> Iterator[Change]:
    for zone in sorted(old ^ new):
        kind = ChangeKind.ADDED if zone in new else ChangeKind.REMOVED
        yield Change(kind, RootSection.EVACUATED_ZONES, zone)


def _compare_head_bytes(old: int, new: int) -> Iterator[Change]:
    if old != new:
        section = RootSection.HEAD_BYTES
        yield Change(ChangeKind.CHANGED, section, section.value, old=old, new=new)


def _compare_tables(
    section: Section,
    old: Mapping[str, ResolvedRoute] | Mapping[str, ResolvedService],
    new: Mapping[str, ResolvedRoute] | Mapping[str, ResolvedService],
) -> Iterator[Change]:
    for name in sorted({*old, *new}):
        if name not in old:
            yield Change(ChangeKind.ADDED, section, name, new=_json_settings(new[name]))
        elif name not in new:
            yield Change(ChangeKind.REMOVED, section, name, old=_json_settings(old[name]))
        else:
            yield from _compare_settings(section, name, old[name], new[name])


def _compare_settings(
    section: Section,
    name: str,
    old: ResolvedRoute | ResolvedService,
    new: ResolvedRoute | ResolvedService,
) -> Iterator[Change]:
    old_settings = _json_settings(old)
    new_settings = _json_settings(new)
    for setting, old_value in old_settings.items():
        new_value = new_settings[setting]
        if old_value != new_value:
            yield Change(ChangeKind.CHANGED, section, name, setting, old_value, new_value)


def _compare_secrets(old: Mapping[str, str], new: Mapping[str, str]) -> Iterator[Change]:
    for name in sorted({*old, *new}):
        if name not in old:
            yield Change(ChangeKind.ADDED, Section.SECRETS, name, new=MASKED)
        elif name not in new:
            yield Change(ChangeKind.REMOVED, Section.SECRETS, name, old=MASKED)
        elif old[name] != new[name]:
            yield Change(ChangeKind.CHANGED, Section.SECRETS, name, old=MASKED, new=MASKED)


def _json_settings(resolved: ResolvedRoute | ResolvedService) -> dict[str, Any]:
    """Return the settings of ``resolved`` as JSON values, by their names in the tree."""
    return {
        _TREE_NAMES.get(field.name, field.name): _json_value(getattr(resolved, field.name))
        for field in msgspec.structs.fields(resolved)
        if field.name != "name"
    }


def _json_value(value: Any) -> Any:
    if isinstance(value, tuple):
        return list(value)
    if isinstance(value, Mapping):
        return dict(value)
    return value
