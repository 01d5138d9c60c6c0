"""Caches of the newest accepted tree, so that validating the next one costs what it changes.

Without them, every node validates and resolves a whole configuration, for example of two thousand
routes, when a single route changes. Documents are never modified in place, and a newer document
shares the tables that it does not change (``DocumentStore.share_with_newest``). A table that is
the identical object was therefore validated before, and it resolves to the same values as before
if the values that it inherits are equal.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from typing import Any, Generic, TypeVar

import msgspec

from pewtertack.core.configuration.model import ZONES, Section
from pewtertack.core.configuration.resolved import ResolvedRoute
from pewtertack.core.revision import Document

NAMED_SECTIONS = (Section.ROUTES.value, Section.SERVICES.value)
"""Sections that map names to tables, each of which is validated independently."""
ROOT_PATH_LENGTH = 2
"""Length of the path of a route or service at the root."""
ZONE_PATH_LENGTH = 4
"""Length of the path of a route or service within a zone."""

INTERNED_STRING_SETTINGS = ("service", "timeout", "target_latency")
"""String settings of a route that have the same value in many routes."""
INTERNED_VALUES_LIMIT = 4096
"""Number of different values that are interned before the interner is cleared."""
EMPTY_TABLE: dict[str, Any] = {}
"""Empty table that routes share; it must not be modified."""

Table = dict[str, Any]
Values = Mapping[str, Any]
RouteTables = tuple[Values | None, Values | None]
"""A route's own tables at the root and in the zone."""
Derived = TypeVar("Derived")
EstimateBytes = Callable[[Any], int]
_Location = tuple[str, int]
"""Section of a table and length of its path."""
_ROOT_ROUTES: _Location = (Section.ROUTES.value, ROOT_PATH_LENGTH)


class RouteEdit:
    """Difference between two consecutive documents in which only root routes differ."""

    __slots__ = ("changed", "removed")

    def __init__(self, changed: tuple[str, ...], removed: tuple[str, ...]) -> None:
        self.changed = changed
        """Names of routes that are new or have another table."""
        self.removed = removed
        """Names of routes that no longer exist."""


def find_route_edit(old: Document | None, new: Document) -> RouteEdit | None:
    """Return how ``new`` changes the routes of ``old``; None if it may change anything else.

    Only identical objects count as equal; any other table counts as changed. A tree with zones has
    more than one scope and always needs full validation, so the result is None for it.
    """
    if old is None or old.keys() != new.keys() or ZONES in new:
        return None
    if any(old[key] is not value for key, value in new.items() if key != Section.ROUTES):
        return None
    before, after = old.get(Section.ROUTES), new.get(Section.ROUTES)
    if not isinstance(before, dict) or not isinstance(after, dict):
        return None
    changed = tuple(name for name, table in after.items() if before.get(name) is not table)
    removed_count = len(before) + sum(name not in before for name in changed) - len(after)
    removed = tuple(name for name in before if name not in after) if removed_count else ()
    return RouteEdit(changed, removed)


class RouteMatch(msgspec.Struct, frozen=True, gc=False):
    """Those of a route's merged values that decide which requests it matches.

    Kept for each route instead of all of its twenty values, most of which are inherited: keeping
    all of them took 580 KiB more for 1,400 routes.
    """

    path_prefix: str
    hosts: Sequence[str]
    methods: Sequence[str]

    @property
    def combination_count(self) -> int:
        """Number of combinations of host and method that the route matches."""
        return max(1, len(self.hosts)) * max(1, len(self.methods))


def route_match(values: Values) -> RouteMatch:
    """Return what a route with these merged values matches."""
    return RouteMatch(values["path_prefix"], values["hosts"], values["methods"])


class MatchIndex:
    """Names of the routes of one scope, sorted, by path prefix."""

    __slots__ = ("by_prefix", "combination_count")

    def __init__(self) -> None:
        self.by_prefix: dict[str, tuple[str, ...]] = {}
        self.combination_count = 0
        """Number of combinations of host and method over all routes."""

    def add(self, name: str, match: RouteMatch) -> None:
        """Add a route with what it matches."""
        prefix = match.path_prefix
        self.by_prefix[prefix] = tuple(sorted((*self.by_prefix.get(prefix, ()), name)))
        self.combination_count += match.combination_count

    def remove(self, name: str, match: RouteMatch) -> None:
        """Remove a route that was added with this match."""
        prefix = match.path_prefix
        remaining = tuple(item for item in self.by_prefix[prefix] if item != name)
        if remaining:
            self.by_prefix[prefix] = remaining
        else:
            del self.by_prefix[prefix]
        self.combination_count -= match.combination_count


class ValueInterner:
    """Replaces equal values in many tables by one shared object.

    A tree of thousands of routes has few different services, durations and lists of hosts, but
    every decoded table has its own copies. Replacing a value by an equal one is the only
    modification ever made to a document. It reduces the memory of 2,057 idle routes from 1,636
    to 933 KiB.
    """

    __slots__ = ("_lists", "_strings")

    def __init__(self) -> None:
        self._strings: dict[str, str] = {}
        self._lists: dict[tuple[str, ...], list[str]] = {}

    def intern(self, table: Table) -> None:
        """Replace values in a validated table of a route by equal ones of earlier tables."""
        for setting in INTERNED_STRING_SETTINGS:
            string = table.get(setting)
            if string is not None:
                table[setting] = self._strings.setdefault(string, string)
        hosts = table.get("hosts")
        if hosts is not None:
            table["hosts"] = self._lists.setdefault(tuple(hosts), hosts)
        if table.get("split") == EMPTY_TABLE:
            table["split"] = EMPTY_TABLE
        if len(self._strings) + len(self._lists) > INTERNED_VALUES_LIMIT:
            self._strings.clear()
            self._lists.clear()


class ValidationCache:
    """Results of validating the newest accepted tree that hold for the next one as well.

    Results of the document under validation are pending until it is accepted.
    """

    __slots__ = (
        "_accepted_scopes",
        "_accepted_tables",
        "_interner",
        "_pending_bytes",
        "_pending_scopes",
        "document",
        "document_bytes",
        "match_index",
    )

    def __init__(self) -> None:
        self.document: Document | None = None
        """The newest accepted document."""
        self.document_bytes = 0
        """Estimated bytes of ``document``."""
        self.match_index = MatchIndex()
        """Routes of ``document`` by path prefix, in the root's scope; empty if it has zones."""
        self._accepted_tables: dict[_Location, dict[int, tuple[Table, int]]] = {_ROOT_ROUTES: {}}
        """Accepted tables with their estimated bytes, by location and ``id``."""
        self._accepted_scopes: dict[str | None, ValidatedScope] = {}
        self._pending_scopes: dict[str | None, ValidatedScope] = {}
        self._interner = ValueInterner()
        self._pending_bytes: dict[int, int] = {}
        """Estimated bytes of the tables of the document under validation, by ``id``."""

    def start_validation(self) -> None:
        """Discard pending results, which belong to a document that was rejected."""
        self._pending_scopes = {}
        self._pending_bytes = {}

    def add_pending_bytes(self, table: Table, table_bytes: int) -> None:
        """Keep the estimated bytes of a table of the document under validation."""
        self._pending_bytes[id(table)] = table_bytes

    def accepted_scope(self, zone: str | None) -> ValidatedScope | None:
        """Return the validated scope of ``zone``, or of the root if ``zone`` is None."""
        return self._accepted_scopes.get(zone)

    def add_pending_scope(self, zone: str | None, scope: ValidatedScope) -> None:
        """Keep the scope of a document under validation until ``store`` accepts the document."""
        self._pending_scopes[zone] = scope

    def intern_values(self, document: Document) -> None:
        """Intern the values of new root routes, which must have been validated."""
        routes = document.get(Section.ROUTES, {})
        for table in routes.values():
            if id(table) not in self._accepted_tables[_ROOT_ROUTES]:
                self._interner.intern(table)

    def accepted_bytes(self, table: Table, path: tuple[str, ...]) -> int | None:
        """Return the estimated bytes of a table accepted before, else None.

        It must have been accepted in the same section and at the same depth as ``path``.
        """
        if len(path) not in (ROOT_PATH_LENGTH, ZONE_PATH_LENGTH):
            return None
        found = self._accepted_tables.get((path[-2], len(path)), {}).get(id(table))
        return found[1] if found is not None else None

    def size_after_edit(self, document: Document, edit: RouteEdit, estimate: EstimateBytes) -> int:
        """Return the estimated bytes of a document that differs from the newest by ``edit``."""
        old, new = self._routes_of(self.document), self._routes_of(document)
        accepted = self._accepted_tables[_ROOT_ROUTES]
        total_bytes, empty_bytes = self.document_bytes, estimate("")
        for name in edit.changed:
            table = new[name]
            total_bytes += (
                estimate(name)
                - empty_bytes
                + (self._pending_bytes.get(id(table)) or estimate(table))
            )
        for name in (*edit.changed, *edit.removed):
            if name in old:
                accepted_entry = accepted.get(id(old[name]))
                total_bytes -= (
                    estimate(name)
                    - empty_bytes
                    + (accepted_entry[1] if accepted_entry else estimate(old[name]))
                )
        return total_bytes

    def store_edit(
        self, document: Document, edit: RouteEdit, document_bytes: int, estimate: EstimateBytes
    ) -> None:
        """Make an accepted document, which differs by ``edit``, the newest one.

        ``document_bytes`` are its estimated bytes.
        """
        self.document_bytes = document_bytes
        old, new = self._routes_of(self.document), self._routes_of(document)
        tables = self._accepted_tables[_ROOT_ROUTES]
        for name in (*edit.changed, *edit.removed):
            if name in old:
                tables.pop(id(old[name]), None)
        for name in edit.changed:
            table = new[name]
            tables[id(table)] = (table, self._pending_bytes.get(id(table)) or estimate(table))
        self.document = document
        self._pending_bytes = {}

    def _routes_of(self, document: Document | None) -> Mapping[str, Table]:
        found: Mapping[str, Table] = (document or {}).get(Section.ROUTES, {})
        return found

    def store(self, document: Document, estimate: EstimateBytes) -> None:
        """Make an accepted document the newest one, with the pending results."""
        self.document = document
        locations: dict[_Location, dict[int, tuple[Table, int]]] = {_ROOT_ROUTES: {}}
        for location, table in _named_tables(document):
            key = id(table)
            accepted_entry = self._accepted_tables.get(location, {}).get(key)
            entry = accepted_entry or (table, self._pending_bytes.get(key) or estimate(table))
            locations.setdefault(location, {})[key] = entry
        self._accepted_tables = locations
        # Zones' tables are part of what is estimated as a whole.
        in_root = (
            tables for (_, length), tables in locations.items() if length == ROOT_PATH_LENGTH
        )
        sizes = (size for tables in in_root for _, size in tables.values())
        self.document_bytes = _bytes_without_tables(document, estimate) + sum(sizes)
        self._accepted_scopes, self._pending_scopes = self._pending_scopes, {}
        self._pending_bytes = {}


def _bytes_without_tables(document: Document, estimate: EstimateBytes) -> int:
    """Return the estimated bytes of a document without those of its root's named tables."""
    emptied = {
        section: dict.fromkeys(tables, "") if section in NAMED_SECTIONS else tables
        for section, tables in document.items()
    }
    table_count = sum(len(document.get(section, {})) for section in NAMED_SECTIONS)
    return estimate(emptied) - table_count * estimate("")


def _named_tables(document: Document) -> Iterator[tuple[_Location, Table]]:
    levels = [(document, ROOT_PATH_LENGTH)]
    levels += [(zone, ZONE_PATH_LENGTH) for zone in document.get(ZONES, {}).values()]
    for sections, path_length in levels:
        for section in NAMED_SECTIONS:
            for table in sections.get(section, {}).values():
                yield (section, path_length), table


class _CacheEntry(msgspec.Struct, Generic[Derived], frozen=True, gc=False):
    """A value derived from one route, with the tables and defaults that it depends on."""

    root_table: Values | None
    zone_table: Values | None
    defaults: Values
    value: Derived

    def is_valid_for(self, tables: RouteTables, defaults: Values) -> bool:
        """Tell whether the tables are identical and the defaults equal."""
        same_tables = self.root_table is tables[0] and self.zone_table is tables[1]
        return same_tables and (self.defaults is defaults or self.defaults == defaults)


class RouteCache(Generic[Derived]):
    """A value derived from each route of one scope, with what it depends on."""

    __slots__ = ("_entries", "document")

    def __init__(self) -> None:
        self.document: Document | None = None
        """The newest document whose routes all have an entry, if the user of the cache sets it."""
        self._entries: dict[str, _CacheEntry[Derived]] = {}

    def lookup(self, name: str, tables: RouteTables, defaults: Values) -> Derived | None:
        """Return the value derived from identical tables and equal defaults, if there is one.

        Args:
            name: of the route.
            tables: the route's own tables at the root and in the zone, each None if missing.
            defaults: the values that the route inherits.
        """
        entry = self._entries.get(name)
        if entry is None or not entry.is_valid_for(tables, defaults):
            return None
        return entry.value

    def latest(self, name: str) -> Derived | None:
        """Return the value that was last derived from a route, even if it is outdated."""
        entry = self._entries.get(name)
        return entry.value if entry is not None else None

    def discard(self, name: str) -> None:
        """Remove the entry of a route, if there is one."""
        self._entries.pop(name, None)

    def store(self, name: str, tables: RouteTables, defaults: Values, value: Derived) -> None:
        """Keep ``value``, which was derived from these tables and defaults."""
        self._entries[name] = _CacheEntry(*tables, defaults, value)

    def keep_only(self, names: Iterable[str]) -> None:
        """Discard the entries of all other routes."""
        for name in self._entries.keys() - set(names):
            del self._entries[name]


ResolvedRouteCache = RouteCache[ResolvedRoute]
"""Resolved routes of the newest resolved tree, for one zone."""


class ValidatedScope:
    """The routes of one scope whose references are valid, with what they match.

    Valid only for a scope with the same services and secrets.
    """

    __slots__ = ("routes", "secrets", "services")

    def __init__(self, services: frozenset[str], secrets: frozenset[str]) -> None:
        self.services = services
        self.secrets = secrets
        self.routes: RouteCache[RouteMatch] = RouteCache()

    def is_valid_for(self, services: frozenset[str], secrets: frozenset[str]) -> bool:
        """Tell whether a scope has exactly these services and secrets."""
        return self.services == services and self.secrets == secrets
