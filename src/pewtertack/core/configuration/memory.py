"""What is remembered of an accepted tree, so that the next one costs what it changes.

A configuration of two thousand routes of which one changes was checked and resolved whole
on every node. Documents are never altered in place, and a newer one shares the tables that
it leaves alone (``DocumentStore.share``): a table that is the very same object was checked
before, and resolves as before where what it inherits is the same.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any, Generic, TypeVar

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
Values = Mapping[str, Any]
Tables = tuple[Values | None, Values | None]
"""A route's own values at the root and in the zone."""
Derived = TypeVar("Derived")
_TableKey = tuple[int, str, int]
"""Identity of a table, its section and its depth."""


class CheckedTables:
    """What of the newest accepted tree needs no further check."""

    __slots__ = ("_scopes", "_tables", "_under_check")

    def __init__(self) -> None:
        self._tables: dict[_TableKey, tuple[Table, int]] = {}
        self._scopes: dict[str | None, CheckedScope] = {}
        self._under_check: dict[str | None, CheckedScope] = {}

    def begin(self) -> None:
        """Another document is checked: forget what was noted of one that was refused."""
        self._under_check = {}

    def scope(self, zone: str | None) -> CheckedScope | None:
        """Return what is known of a scope, the root's without a zone."""
        return self._scopes.get(zone)

    def note_scope(self, zone: str | None, scope: CheckedScope) -> None:
        """Keep what was found of a scope until ``remember`` says that all of it is valid."""
        self._under_check[zone] = scope

    def size_of(self, table: Table, path: tuple[str, ...]) -> int | None:
        """Return the reckoned bytes of a table that was accepted at such a place, or nothing."""
        if len(path) not in (ROOT_DEPTH, ZONE_DEPTH):
            return None
        found = self._tables.get((id(table), path[-2], len(path)))
        return found[1] if found is not None else None

    def remember(self, document: Document, size_of: Callable[[Table], int]) -> None:
        """Take over an accepted document; ``size_of(table)`` reckons a table's bytes."""
        tables: dict[_TableKey, tuple[Table, int]] = {}
        for section, depth, table in _named_tables(document):
            key = (id(table), section, depth)
            tables[key] = self._tables.get(key) or (table, size_of(table))
        self._tables = tables
        self._scopes, self._under_check = self._under_check, {}


def _named_tables(document: Document) -> Iterator[tuple[str, int, Table]]:
    levels = [(document, ROOT_DEPTH)]
    levels += [(zone, ZONE_DEPTH) for zone in document.get(ZONES, {}).values()]
    for sections, depth in levels:
        for section in NAMED_SECTIONS:
            for table in sections.get(section, {}).values():
                yield section, depth, table


class _Origin(Generic[Derived]):
    """What one route's values came from, and what was derived of them."""

    __slots__ = ("defaults", "derived", "tables")

    def __init__(self, tables: Tables, defaults: Values, derived: Derived) -> None:
        self.tables = tables
        self.defaults = defaults
        self.derived = derived

    def is_from(self, tables: Tables, defaults: Values) -> bool:
        """Tell whether the same tables and equal defaults would give the same."""
        same_tables = self.tables[0] is tables[0] and self.tables[1] is tables[1]
        return same_tables and (self.defaults is defaults or self.defaults == defaults)


class DerivedRoutes(Generic[Derived]):
    """Something derived of each route's values in one scope, with what they came from."""

    __slots__ = ("_origins",)

    def __init__(self) -> None:
        self._origins: dict[str, _Origin[Derived]] = {}

    def find(self, name: str, tables: Tables, defaults: Values) -> Derived | None:
        """Return what the same tables and equal defaults gave before, or nothing.

        Args:
            name: the route's.
            tables: its own at the root and in the zone, or nothing.
            defaults: the values that it inherits.
        """
        origin = self._origins.get(name)
        if origin is None or not origin.is_from(tables, defaults):
            return None
        return origin.derived

    def remember(self, name: str, tables: Tables, defaults: Values, derived: Derived) -> None:
        """Keep what was derived, with its origin."""
        self._origins[name] = _Origin(tables, defaults, derived)

    def keep_only(self, names: Iterable[str]) -> None:
        """Forget routes that are no longer there."""
        for name in self._origins.keys() - set(names):
            del self._origins[name]


ResolvedRoutes = DerivedRoutes[ResolvedRoute]
"""Routes of the newest resolved tree, for one zone."""


class CheckedScope:
    """One scope's routes whose references were found to be there, with their merged values.

    They hold only for a scope with the same services and secrets.
    """

    __slots__ = ("routes", "secrets", "services")

    def __init__(self, services: frozenset[str], secrets: frozenset[str]) -> None:
        self.services = services
        self.secrets = secrets
        self.routes: DerivedRoutes[Values] = DerivedRoutes()

    def holds_for(self, services: frozenset[str], secrets: frozenset[str]) -> bool:
        """Tell whether the scope still has just these services and secrets."""
        return self.services == services and self.secrets == secrets
