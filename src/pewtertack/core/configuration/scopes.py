"""The scopes of a tree and their layers, which determine where each value comes from.

The root is one scope and every zone is another. In a scope, the layers of a
route or service are, from the least to the most specific:

    built-in < root defaults < zone defaults < service < service in zone
             < route < route in zone

The layers of a service end with "service in zone". A more specific layer
replaces whole values: lists and ``header_secrets`` are not merged.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import Any

import msgspec

from pewtertack.core.configuration.deletion import without_targets
from pewtertack.core.configuration.findings import Path
from pewtertack.core.configuration.model import (
    DELETE,
    ROUTE_SETTINGS,
    SERVICE_SETTINGS,
    ZONES,
    Section,
    Setting,
)
from pewtertack.core.revision import Document


class Level(StrEnum):
    """Sources of a value, the least specific first."""

    BUILT_IN = "built-in"
    ROOT_DEFAULTS = "root defaults"
    ZONE_DEFAULTS = "zone defaults"
    SERVICE = "service"
    ZONE_SERVICE = "service in zone"
    ROUTE = "route"
    ZONE_ROUTE = "route in zone"


class Layer(msgspec.Struct, frozen=True):
    """The values that the table at ``path`` sets; the path is empty for built-in defaults."""

    level: Level
    path: Path
    values: Mapping[str, Any]


Layers = tuple[Layer, ...]


def _built_in(settings: Mapping[str, Setting]) -> Layer:
    defaults = {
        name: setting.default for name, setting in settings.items() if setting.default is not None
    }
    return Layer(Level.BUILT_IN, (), defaults)


_BUILT_IN_ROUTE = _built_in(ROUTE_SETTINGS)
_BUILT_IN_SERVICE = _built_in(SERVICE_SETTINGS)
_EMPTY: Mapping[str, Any] = {}


class Scope:
    """One scope of a document in which ``structure`` found nothing.

    ``zone`` is None for the root's scope. The scope of a zone that the tree does not name
    consists of the root's sections.
    """

    def __init__(
        self, document: Document, zone: str | None, *, apply_deletions: bool = True
    ) -> None:
        self.zone = zone
        is_named = zone is not None and zone in document.get(ZONES, _EMPTY)
        self._zone_table: Mapping[str, Any] = document[ZONES][zone] if is_named else _EMPTY
        self._zone_path: Path = (ZONES, zone) if zone is not None else ()
        delete_targets = self._zone_table.get(DELETE, ()) if apply_deletions else ()
        self._root_table = without_targets(document, delete_targets)
        self._inherited_values: dict[str | None, Mapping[str, Any]] = {}

    def route_names(self) -> list[str]:
        """Return the names of the routes of this scope, sorted."""
        return self._names(Section.ROUTES)

    def service_names(self) -> list[str]:
        """Return the names of the services of this scope, sorted."""
        return self._names(Section.SERVICES)

    def secrets(self) -> dict[str, str]:
        """Return the secrets of this scope by name."""
        zone_secrets = self._zone_table.get(Section.SECRETS, _EMPTY)
        return {**self._root_table.get(Section.SECRETS, _EMPTY), **zone_secrets}

    def service_layers(self, name: str) -> Layers:
        """Return the layers of the service ``name``, the least specific first."""
        return (
            _BUILT_IN_SERVICE,
            *self._layers(Level.ROOT_DEFAULTS, Level.ZONE_DEFAULTS, Section.SERVICE_DEFAULTS),
            *self._layers(Level.SERVICE, Level.ZONE_SERVICE, Section.SERVICES, name),
        )

    def route_layers(self, name: str) -> Layers:
        """Return the layers of the route ``name``, the least specific first."""
        own_layers = self._layers(Level.ROUTE, Level.ZONE_ROUTE, Section.ROUTES, name)
        return (*self.inherited_layers(merge(own_layers).get("service")), *own_layers)

    def route_values(self, name: str) -> dict[str, Any]:
        """Return the value of each setting of the route, as ``merge(route_layers(name))`` would.

        This is faster, since the values that routes of one service inherit are merged only once.
        """
        root_table, zone_table = self.route_tables(name)
        return {**self.inherited_values(name), **(root_table or _EMPTY), **(zone_table or _EMPTY)}

    def route_tables(self, name: str) -> tuple[Mapping[str, Any] | None, Mapping[str, Any] | None]:
        """Return the route's tables at the root and in the zone, each None if missing."""
        root_routes = self._root_table.get(Section.ROUTES, _EMPTY)
        zone_routes = self._zone_table.get(Section.ROUTES, _EMPTY)
        return root_routes.get(name), zone_routes.get(name)

    def inherited_values(self, name: str) -> Mapping[str, Any]:
        """Return the values that the route ``name`` inherits from its service and the defaults."""
        root_table, zone_table = self.route_tables(name)
        service = (zone_table or _EMPTY).get("service", (root_table or _EMPTY).get("service"))
        values = self._inherited_values.get(service)
        if values is None:
            values = self._inherited_values[service] = merge(self.inherited_layers(service))
        return values

    def inherited_layers(self, service: str | None) -> Layers:
        """Return the layers that every route to ``service`` inherits, the least specific first."""
        layers = (
            _BUILT_IN_ROUTE,
            *self._layers(Level.ROOT_DEFAULTS, Level.ZONE_DEFAULTS, Section.ROUTE_DEFAULTS),
        )
        if service is None:
            return layers
        relative_path = (Section.SERVICES, service, Section.ROUTE_DEFAULTS)
        return (*layers, *self._layers(Level.SERVICE, Level.ZONE_SERVICE, *relative_path))

    def _names(self, section: Section) -> list[str]:
        inherited = self._root_table.get(section, _EMPTY)
        return sorted({*inherited, *self._zone_table.get(section, _EMPTY)})

    def _layers(self, root_level: Level, zone_level: Level, *relative_path: str) -> list[Layer]:
        """Return the layers of the tables at ``relative_path`` in the root and the zone, if any."""
        sources = (
            (root_level, self._root_table, ()),
            (zone_level, self._zone_table, self._zone_path),
        )
        layers = []
        for level, sections, path in sources:
            values = _find(sections, relative_path)
            if values is not None:
                layers.append(Layer(level, (*path, *map(str, relative_path)), values))
        return layers


def _find(table: Mapping[str, Any], relative_path: Iterable[str]) -> Mapping[str, Any] | None:
    found: Mapping[str, Any] | None = table
    for key in relative_path:
        if found is None:
            return None
        found = found.get(key)
    return found


def merge(layers: Iterable[Layer]) -> dict[str, Any]:
    """Return the value of each setting from the most specific layer that sets it."""
    merged: dict[str, Any] = {}
    for layer in layers:
        merged.update(layer.values)
    return merged


def winning_path(layers: Layers, setting: str) -> Path:
    """Return the path in the tree of the value of ``setting`` from the most specific layer.

    The path is empty if no layer sets it.
    """
    for layer in reversed(layers):
        if setting in layer.values:
            return (*layer.path, setting)
    return ()


def scopes_of(document: Document) -> list[Scope]:
    """Return the scopes of the root and of every zone that the tree names."""
    zones = sorted(document.get(ZONES, _EMPTY))
    return [Scope(document, None), *(Scope(document, zone) for zone in zones)]
