"""What is remembered of an accepted tree, so that the next one costs what it changes.

A configuration of two thousand routes of which one changes was checked and resolved whole
on every node. Documents are never altered in place, and a newer one shares the tables that
it leaves alone (``DocumentStore.share``): a table that is the very same object was checked
before, and resolves as before where what it inherits is the same.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any

from pewtertack.core.configuration.model import ZONES, Section
from pewtertack.core.configuration.resolved import ResolvedRoute
from pewtertack.core.revision import Document

NAMED_SECTIONS = (Section.ROUTES.value, Section.SERVICES.value)
"""Sections whose tables are checked one by one, each alone."""
ROOT_DEPTH = 2
"""Length of the path of a route or service at the root."""
ZONE_DEPTH = 4
"""The same within a zone."""

Table = dict[str, Any]
_TableKey = tuple[int, str, int]
"""Identity of a table, its section and its depth."""


class CheckedTables:
    """Routes and services of the newest accepted tree that need no further check."""

    __slots__ = ("_tables",)

    def __init__(self) -> None:
        self._tables: dict[_TableKey, tuple[Table, int]] = {}

    def size_of(self, table: Table, path: tuple[str, ...]) -> int | None:
        """Return the reckoned bytes of a table that was accepted at such a place, or nothing."""
        if len(path) not in (ROOT_DEPTH, ZONE_DEPTH):
            return None
        found = self._tables.get((id(table), path[-2], len(path)))
        return found[1] if found is not None else None

    def remember(self, document: Document, size_of: Any) -> None:
        """Take over an accepted document; ``size_of(table)`` reckons a table's bytes."""
        tables: dict[_TableKey, tuple[Table, int]] = {}
        for section, depth, table in _named_tables(document):
            key = (id(table), section, depth)
            tables[key] = self._tables.get(key) or (table, size_of(table))
        self._tables = tables


def _named_tables(document: Document) -> Iterator[tuple[str, int, Table]]:
    levels = [(document, ROOT_DEPTH)]
    levels += [(zone, ZONE_DEPTH) for zone in document.get(ZONES, {}).values()]
    for sections, depth in levels:
        for section in NAMED_SECTIONS:
            for table in sections.get(section, {}).values():
                yield section, depth, table


class _Origin:
    """What one route was resolved from."""

    __slots__ = ("defaults", "route", "tables")

    def __init__(
        self, tables: tuple[Any, Any], defaults: Mapping[str, Any], route: ResolvedRoute
    ) -> None:
        self.tables = tables
        self.defaults = defaults
        self.route = route


class ResolvedRoutes:
    """Routes of the newest resolved tree, for one zone, with what they came from."""

    __slots__ = ("_origins",)

    def __init__(self) -> None:
        self._origins: dict[str, _Origin] = {}

    def find(
        self, name: str, tables: tuple[Any, Any], defaults: Mapping[str, Any]
    ) -> ResolvedRoute | None:
        """Return the route if the same tables and equal defaults gave it before.

        Args:
            name: the route's.
            tables: its own at the root and in the zone, or nothing.
            defaults: the values that it inherits.
        """
        origin = self._origins.get(name)
        if origin is None:
            return None
        same_tables = all(old is new for old, new in zip(origin.tables, tables, strict=True))
        if not same_tables or (origin.defaults is not defaults and origin.defaults != defaults):
            return None
        return origin.route

    def remember(
        self,
        name: str,
        tables: tuple[Any, Any],
        defaults: Mapping[str, Any],
        route: ResolvedRoute,
    ) -> None:
        """Keep what a route was resolved from."""
        self._origins[name] = _Origin(tables, defaults, route)

    def keep_only(self, names: list[str]) -> None:
        """Forget routes that are no longer there."""
        for name in self._origins.keys() - set(names):
            del self._origins[name]
