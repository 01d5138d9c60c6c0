"""The scopes of a tree and their layers: which level gives which value.

The root is one scope and every zone is another. In a scope, the layers of a
route or service are, from the least to the most specific:

    built-in < root defaults < zone defaults < service < service in zone
             < route < route in zone

The layers of a service end with "service in zone". A layer replaces whole
values: lists and ``header_secrets`` are not merged.
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
    """Where a value comes from, the least specific first."""

    BUILT_IN = "built-in"
    ROOT_DEFAULTS = "root defaults"
    ZONE_DEFAULTS = "zone defaults"
    SERVICE = "service"
    ZONE_SERVICE = "service in zone"
    ROUTE = "route"
    ZONE_ROUTE = "route in zone"


class Layer(msgspec.Struct, frozen=True):
    """Values that one table of the tree, at ``path``, gives."""

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
_NOTHING: Mapping[str, Any] = {}


class Scope:
    """One scope of a document that ``structure`` found well-formed.

    ``zone`` is None for the root's scope. A zone that the tree does not name
    sees the root's sections as they are.
    """

    def __init__(
        self, document: Document, zone: str | None, *, apply_deletions: bool = True
    ) -> None:
        self.zone = zone
        named = zone is not None and zone in document.get(ZONES, _NOTHING)
        self._own: Mapping[str, Any] = document[ZONES][zone] if named else _NOTHING
        self._own_path: Path = (ZONES, zone) if zone is not None else ()
        targets = self._own.get(DELETE, ()) if apply_deletions else ()
        self._root = without_targets(document, targets)
        self._default_values: dict[str | None, Mapping[str, Any]] = {}

    def route_names(self) -> list[str]:
        """Return the names of the routes of this scope, sorted."""
        return self._names(Section.ROUTES)

    def service_names(self) -> list[str]:
        """Return the names of the services of this scope, sorted."""
        return self._names(Section.SERVICES)

    def secrets(self) -> dict[str, str]:
        """Return the secrets of this scope by name."""
        own = self._own.get(Section.SECRETS, _NOTHING)
        return {**self._root.get(Section.SECRETS, _NOTHING), **own}

    def service_layers(self, name: str) -> Layers:
        """Return the layers of the service ``name``, the least specific first."""
        return (
            _BUILT_IN_SERVICE,
            *self._layers(Level.ROOT_DEFAULTS, Level.ZONE_DEFAULTS, Section.SERVICE_DEFAULTS),
            *self._layers(Level.SERVICE, Level.ZONE_SERVICE, Section.SERVICES, name),
        )

    def route_layers(self, name: str) -> Layers:
        """Return the layers of the route ``name``, the least specific first."""
        own = self._layers(Level.ROUTE, Level.ZONE_ROUTE, Section.ROUTES, name)
        return (*self.default_layers(merge(own).get("service")), *own)

    def route_values(self, name: str) -> dict[str, Any]:
        """Return the values of the route ``name``: ``merge(route_layers(name))``, but faster."""
        root, own = self.route_tables(name)
        return {**self.inherited_values(name), **(root or _NOTHING), **(own or _NOTHING)}

    def route_tables(self, name: str) -> tuple[Mapping[str, Any] | None, Mapping[str, Any] | None]:
        """Return the tables of the route ``name`` at the root and in the zone, if any."""
        root_routes = self._root.get(Section.ROUTES, _NOTHING)
        own_routes = self._own.get(Section.ROUTES, _NOTHING)
        return root_routes.get(name), own_routes.get(name)

    def inherited_values(self, name: str) -> Mapping[str, Any]:
        """Return the values that the route ``name`` has from its service and the defaults."""
        root, own = self.route_tables(name)
        service = (own or _NOTHING).get("service", (root or _NOTHING).get("service"))
        found = self._default_values.get(service)
        if found is None:
            found = self._default_values[service] = merge(self.default_layers(service))
        return found

    def default_layers(self, service: str | None) -> Layers:
        """Return the layers that every route to ``service`` inherits."""
        layers = (
            _BUILT_IN_ROUTE,
            *self._layers(Level.ROOT_DEFAULTS, Level.ZONE_DEFAULTS, Section.ROUTE_DEFAULTS),
        )
        if service is None:
            return layers
        place = (Section.SERVICES, service, Section.ROUTE_DEFAULTS)
        return (*layers, *self._layers(Level.SERVICE, Level.ZONE_SERVICE, *place))

    def _names(self, section: Section) -> list[str]:
        inherited = self._root.get(section, _NOTHING)
        return sorted({*inherited, *self._own.get(section, _NOTHING)})

    def _layers(self, root_level: Level, zone_level: Level, *place: str) -> list[Layer]:
        """Return the layers that the root and the zone hold at ``place``, if they do."""
        sources = ((root_level, self._root, ()), (zone_level, self._own, self._own_path))
        layers = []
        for level, sections, path in sources:
            values = _find(sections, place)
            if values is not None:
                layers.append(Layer(level, (*path, *map(str, place)), values))
        return layers


def _find(table: Mapping[str, Any], place: Iterable[str]) -> Mapping[str, Any] | None:
    found: Mapping[str, Any] | None = table
    for key in place:
        if found is None:
            return None
        found = found.get(key)
    return found


def merge(layers: Iterable[Layer]) -> dict[str, Any]:
    """Return the values that win: of each setting that of the most specific layer."""
    merged: dict[str, Any] = {}
    for layer in layers:
        merged.update(layer.values)
    return merged


def winning_path(layers: Layers, setting: str) -> Path:
    """Return the path in the tree of the value of ``setting`` that wins."""
    for layer in reversed(layers):
        if setting in layer.values:
            return (*layer.path, setting)
    return ()


def scopes_of(document: Document) -> list[Scope]:
    """Return the root's scope and that of every zone which the tree names."""
    zones = sorted(document.get(ZONES, _NOTHING))
    return [Scope(document, None), *(Scope(document, zone) for zone in zones)]
