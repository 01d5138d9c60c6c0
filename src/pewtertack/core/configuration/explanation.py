"""Explains resolved values: the level that sets each, and the values that it overrides."""

from __future__ import annotations

from typing import Any

import msgspec

from pewtertack.core.configuration.findings import (
    Path,
    TreeRejectedError,
    UnknownRouteError,
    UnknownServiceError,
)
from pewtertack.core.configuration.model import ROUTE_SETTINGS, SERVICE_SETTINGS
from pewtertack.core.configuration.scopes import Layers, Level, Scope
from pewtertack.core.configuration.validation import check_document
from pewtertack.core.revision import Document


class LevelValue(msgspec.Struct, frozen=True):
    """The value of a setting at one level, as written in the tree.

    ``path`` is the path of the value in the tree, empty for a built-in default.
    ``deleted`` is true if the zone deletes the value.
    """

    level: Level
    path: Path
    value: Any
    deleted: bool = False


class ExplainedValue(msgspec.Struct, frozen=True):
    """The effective value of one setting, and the overridden ones, the most specific first."""

    setting: str
    winner: LevelValue
    losers: tuple[LevelValue, ...]


def explain(document: Document, zone: str, route: str) -> tuple[ExplainedValue, ...]:
    """Explain every setting of ``route`` in ``zone``, in the order of the model.

    Raises:
        TreeRejectedError: the document is not valid.
        UnknownRouteError: the zone has no such route.
    """
    scope, full_scope = _scopes(document, zone)
    if route not in scope.route_names():
        raise UnknownRouteError(f"zone {zone} has no route {route}")
    settings = tuple(ROUTE_SETTINGS)
    return _explain(settings, scope.route_layers(route), full_scope.route_layers(route))


def explain_service(document: Document, zone: str, service: str) -> tuple[ExplainedValue, ...]:
    """Explain every setting of ``service`` in ``zone``, in the order of the model.

    Raises:
        TreeRejectedError: the document is not valid.
        UnknownServiceError: the zone has no such service.
    """
    scope, full_scope = _scopes(document, zone)
    if service not in scope.service_names():
        raise UnknownServiceError(f"zone {zone} has no service {service}")
    settings = tuple(SERVICE_SETTINGS)
    return _explain(settings, scope.service_layers(service), full_scope.service_layers(service))


def _scopes(document: Document, zone: str) -> tuple[Scope, Scope]:
    """Return the zone's scope, first with its deletions applied and then without."""
    findings = check_document(document)
    if findings:
        raise TreeRejectedError(findings)
    return Scope(document, zone), Scope(document, zone, apply_deletions=False)


def _explain(
    settings: tuple[str, ...], layers: Layers, full_layers: Layers
) -> tuple[ExplainedValue, ...]:
    return tuple(_explain_setting(setting, layers, full_layers) for setting in settings)


def _explain_setting(setting: str, layers: Layers, full_layers: Layers) -> ExplainedValue:
    kept_paths = {layer.path for layer in layers if setting in layer.values}
    values = []
    for layer in reversed(full_layers):
        if setting in layer.values:
            path = (*layer.path, setting) if layer.path else ()
            deleted = layer.path not in kept_paths
            values.append(LevelValue(layer.level, path, layer.values[setting], deleted))
    winner = next(value for value in values if not value.deleted)
    losers = tuple(value for value in values if value is not winner)
    return ExplainedValue(setting, winner, losers)
