"""Validation of a whole tree: as it is written, and as every scope resolves it.

The verdict is a pure function of the document, so that every replica reaches
the same one alone. Any finding refuses the whole tree.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence
from functools import partial
from itertools import chain, product
from typing import Any

from pewtertack.core.configuration.findings import Finding, FindingCode
from pewtertack.core.configuration.memory import (
    CheckedScope,
    KnownMatches,
    RouteEdit,
    RouteMatch,
    ValidationCache,
    edit_of_routes,
    match_of,
)
from pewtertack.core.configuration.model import NAMED_LIMIT, ZONES, Section
from pewtertack.core.configuration.scopes import Scope, scopes_of, winning_path
from pewtertack.core.configuration.structure import (
    DOCUMENT_BYTES_LIMIT,
    Steps,
    check_plain,
    check_structure,
    checking_plain,
    checking_structure,
    size_of,
)
from pewtertack.core.configuration.values import kind_of
from pewtertack.core.revision import Document
from pewtertack.core.slices import Work, run_to_completion

ANY = "*"
"""Stands in a match for every host or every method."""

FINDINGS_LIMIT = 1_000
"""Bounds what a replica keeps of a refused tree."""

MATCH_LIMIT = 20_000
"""Combinations of host and method over all routes of one scope; bounds the check's time."""

NAMES_SHOWN = 20
"""Existing names that a finding about a missing one lists at most."""

ROUTES_AT_ONCE = 40
"""Routes that are checked in one step."""

STEP_UNITS = 25
"""Units of one step of the whole check."""

ROUTES_SIZED_PER_UNIT = 8
"""Routes whose size or match is computed in one unit."""

ROUTES_COMPARED_PER_UNIT = 200
"""Routes found to be the same object in one unit."""

_Route = tuple[str, RouteMatch]
"""Name and what it matches."""


def check_document(
    document: Document, checked: ValidationCache | None = None
) -> tuple[Finding, ...]:
    """Return the findings of the first stage that has any; empty for a valid tree.

    The stages are: plain values, structure, resolved scopes. At most
    ``FINDINGS_LIMIT`` findings are returned. Accepts any value that a JSON, TOML
    or CBOR decoder yields and never raises on one.

    The verdict is the same with the tables ``checked`` with an earlier document, which
    then takes over a valid one.
    """
    return run_to_completion(check_document_in_slices(document, checked))


def check_document_in_slices(
    document: Document, checked: ValidationCache | None = None
) -> Work[tuple[Finding, ...]]:
    """Do what ``check_document`` does, in slices.

    No other document may be checked with the same tables meanwhile.
    """
    known = checked if checked is not None else ValidationCache()
    known.begin()
    if (yield from _accepting_edit(document, known)):
        return ()
    plain: Any = dict(document) if isinstance(document, Mapping) else document
    if not isinstance(plain, dict):
        message = f"{kind_of(plain)} instead of a table"
        return (Finding(FindingCode.NOT_A_TABLE, (), message),)
    stages = (
        partial(checking_plain, checked=known),
        partial(checking_structure, checked=known),
        _check_not_empty,
        partial(_share_values, checked=checked),
        partial(_check_scopes, checked=known),
    )
    for stage in stages:
        findings = yield from _first_findings(stage(plain))
        if findings:
            return findings
    taken_over = len(plain.get(Section.ROUTES, ())) / ROUTES_SIZED_PER_UNIT
    yield taken_over
    known.store(plain, size_of)
    yield taken_over
    known.matches = _matches_of(plain, known)
    return ()


def _first_findings(steps: Steps) -> Work[tuple[Finding, ...]]:
    """Return the first ``FINDINGS_LIMIT`` findings."""
    findings: list[Finding] = []
    for found in steps:
        if found is None:
            yield STEP_UNITS
            continue
        findings.append(found)
        if len(findings) == FINDINGS_LIMIT:
            break
    return tuple(findings)


def _accepting_edit(document: Document, known: ValidationCache) -> Work[bool]:
    """Take over a document that changes routes of the newest accepted one, if validly so.

    Returns whether it was taken over. Only what it changes is checked: 1,600 routes of which
    one changes take 2.5 ms in place of 23 (process time, mean of 10 edits). What is not found
    valid here is left to the whole check, which says why.
    """
    edit = edit_of_routes(known.document, document) if isinstance(document, dict) else None
    scope = known.scope(None)
    if edit is None or scope is None:
        return False
    yield len(document[Section.ROUTES]) / ROUTES_COMPARED_PER_UNIT
    written = yield from _checking_written(document, edit, known, scope)
    if written is None:
        return False
    size = known.size_after_edit(document, edit, size_of)
    if size > DOCUMENT_BYTES_LIMIT:
        return False
    yield len(edit.written) / ROUTES_SIZED_PER_UNIT
    if not _has_no_conflicts(known.matches, edit, scope, written):
        return False
    yield len(edit.written) / ROUTES_SIZED_PER_UNIT
    yield from _taking_over(document, edit, size, known, scope, written)
    return True


def _checking_written(
    document: Document, edit: RouteEdit, known: ValidationCache, scope: CheckedScope
) -> Work[Mapping[str, RouteMatch] | None]:
    """Return what the routes that were written match; nothing if one is not valid."""
    routes, whole = document[Section.ROUTES], Scope(document, None)
    if any(True for _ in _check_count_of(routes)):
        return None
    written: dict[str, RouteMatch] = {}
    for names in _parts_of(edit.written):
        changed = {Section.ROUTES.value: {name: routes[name] for name in names}}
        findings = chain(check_plain(changed, known), check_structure(changed))
        if any(True for _ in findings):
            return None
        known.share_values(changed)
        matches = _check_edited(whole, names, scope)
        if matches is None:
            return None
        written.update(matches)
        yield len(names)
    return written


def _parts_of(names: Sequence[str]) -> Iterator[Sequence[str]]:
    return (names[at : at + ROUTES_AT_ONCE] for at in range(0, len(names), ROUTES_AT_ONCE))


def _check_count_of(routes: Mapping[str, Any]) -> Iterator[Finding]:
    if len(routes) > NAMED_LIMIT:
        yield Finding(FindingCode.TOO_LARGE, (Section.ROUTES.value,), f"{len(routes)} names")


def _check_edited(
    scope: Scope, names: Sequence[str], known: CheckedScope
) -> Mapping[str, RouteMatch] | None:
    """Return what the routes that were written match; nothing if one is not valid."""
    written = {}
    for name in names:
        values = scope.route_values(name)
        if any(True for _ in _check_references(scope, name, values, known)):
            return None
        written[name] = match_of(values)
    return written


def _has_no_conflicts(
    matches: KnownMatches,
    edit: RouteEdit,
    known: CheckedScope,
    written: Mapping[str, RouteMatch],
) -> bool:
    """Tell whether no route that was written matches what another one matches."""
    count = matches.count + sum(match.count for match in written.values())
    if count > MATCH_LIMIT:
        return False
    gone = {*edit.written, *edit.removed}
    beside: dict[str, list[RouteMatch]] = {}
    for match in written.values():
        beside.setdefault(match.path_prefix, []).append(match)
    for prefix, added in beside.items():
        owners: set[tuple[str, str]] = set()
        there = [
            known.routes.derived(name)
            for name in matches.by_prefix.get(prefix, ())
            if name not in gone
        ]
        for match in (*filter(None, there), *added):
            own = set(_combinations(match))
            if owners & own:
                return False
            owners |= own
    return True


def _taking_over(
    document: Document,
    edit: RouteEdit,
    size: int,
    known: ValidationCache,
    scope: CheckedScope,
    written: Mapping[str, RouteMatch],
) -> Work[None]:
    """Remember the edited document as the newest accepted one."""
    for names in _parts_of((*edit.written, *edit.removed)):
        for name in names:
            before = scope.routes.derived(name)
            if before is not None:
                known.matches.remove(name, before)
                scope.routes.forget(name)
        yield len(names) / ROUTES_SIZED_PER_UNIT
    whole = Scope(document, None)
    for names in _parts_of(tuple(written)):
        for name in names:
            match = written[name]
            known.matches.add(name, match)
            tables, defaults = whole.route_tables(name), whole.inherited_values(name)
            scope.routes.remember(name, tables, defaults, match)
        yield len(names) / ROUTES_SIZED_PER_UNIT
    known.store_edit(document, edit, size, size_of)
    yield len(edit.written) / ROUTES_SIZED_PER_UNIT


def _matches_of(document: Document, known: ValidationCache) -> KnownMatches:
    """Return the matches of a document that was just accepted; empty for one with zones."""
    matches = KnownMatches()
    scope = known.scope(None)
    if scope is None or ZONES in document:
        return matches
    by_prefix: dict[str, list[str]] = {}
    for name in sorted(document.get(Section.ROUTES, {})):
        match = scope.routes.derived(name)
        assert match is not None, "the accepted scope has all routes"
        by_prefix.setdefault(match.path_prefix, []).append(name)
        matches.count += match.count
    matches.by_prefix = {prefix: tuple(names) for prefix, names in by_prefix.items()}
    return matches


def _share_values(document: Document, checked: ValidationCache | None) -> Iterator[Finding]:
    """Find nothing; where the tree is to be remembered, let its tables share equal values."""
    if checked is not None:
        checked.share_values(document)
    return iter(())


def _check_not_empty(document: Document) -> Iterator[Finding]:
    tables = [document, *document.get(ZONES, {}).values()]
    if not any(table.get(Section.ROUTES) or table.get(Section.SERVICES) for table in tables):
        message = "neither a route nor a service"
        yield Finding(FindingCode.EMPTY_TREE, (), message, "at least one route or service")


def _check_scopes(document: Document, checked: ValidationCache) -> Steps:
    """Yield what is broken in any scope; what one scope reported is not said again."""
    reported: set[tuple[FindingCode, tuple[str, ...], str]] = set()
    for scope in scopes_of(document):
        for finding in _check_scope(scope, checked):
            if finding is None:
                yield None
                continue
            key = (finding.code, finding.path, finding.message)
            if key not in reported:
                reported.add(key)
                yield finding


def _check_scope(scope: Scope, checked: ValidationCache) -> Steps:
    found = CheckedScope(frozenset(scope.service_names()), frozenset(scope.secrets()))
    known = checked.scope(scope.zone)
    if known is not None and not known.holds_for(found.services, found.secrets):
        known = None
    routes_by_prefix: dict[str, list[_Route]] = {}
    for count, name in enumerate(scope.route_names(), 1):
        if count % ROUTES_AT_ONCE == 0:
            yield None
        tables, defaults = scope.route_tables(name), scope.inherited_values(name)
        match = known.routes.find(name, tables, defaults) if known is not None else None
        if match is None:
            values = scope.route_values(name)
            yield from _check_references(scope, name, values, found)
            match = match_of(values)
        found.routes.remember(name, tables, defaults, match)
        routes_by_prefix.setdefault(match.path_prefix, []).append((name, match))
    yield None
    yield from _check_matches(scope, routes_by_prefix)
    checked.note_scope(scope.zone, found)


def _check_references(
    scope: Scope, name: str, values: Mapping[str, Any], found: CheckedScope
) -> Iterator[Finding]:
    """Yield what the route names that is not in its scope."""
    yield from _check_service(scope, name, values, found.services)
    yield from _check_split(scope, name, values, found.services)
    yield from _check_secrets(scope, name, values, found.secrets)


def _check_service(
    scope: Scope, name: str, values: Mapping[str, Any], services: frozenset[str]
) -> Iterator[Finding]:
    service = values.get("service")
    if service is None:
        path = (*scope.route_layers(name)[-1].path, "service")
        message = f"route {name} names no service"
        yield Finding(FindingCode.MISSING_SETTING, path, message, zone=scope.zone)
    elif service not in services:
        path = winning_path(scope.route_layers(name), "service")
        message = f"there is no service {service}"
        accepted = _some_of(services)
        yield Finding(FindingCode.MISSING_SERVICE, path, message, accepted, scope.zone)


def _check_split(
    scope: Scope, name: str, values: Mapping[str, Any], services: frozenset[str]
) -> Iterator[Finding]:
    for service in values["split"]:
        if service not in services:
            path = (*winning_path(scope.route_layers(name), "split"), service)
            message = f"there is no service {service}"
            accepted = _some_of(services)
            yield Finding(FindingCode.MISSING_SERVICE, path, message, accepted, scope.zone)


def _check_secrets(
    scope: Scope, name: str, values: Mapping[str, Any], secrets: frozenset[str]
) -> Iterator[Finding]:
    for header, secret in values["header_secrets"].items():
        if secret not in secrets:
            path = (*winning_path(scope.route_layers(name), "header_secrets"), header)
            message = f"route {name} needs secret {secret}, which does not exist"
            accepted = _some_of(secrets)
            yield Finding(FindingCode.MISSING_SECRET, path, message, accepted, scope.zone)


def _check_matches(
    scope: Scope, routes_by_prefix: Mapping[str, Sequence[_Route]]
) -> Iterator[Finding]:
    """Yield a finding for each route that matches the same requests as one before it."""
    if _count_matches(routes_by_prefix) > MATCH_LIMIT:
        message = "too many combinations of host and method over all routes"
        accepted = f"at most {MATCH_LIMIT}"
        yield Finding(FindingCode.TOO_LARGE, (Section.ROUTES.value,), message, accepted, scope.zone)
        return
    for routes in routes_by_prefix.values():
        if len(routes) > 1:
            yield from _check_matches_below_prefix(scope, routes)


def _count_matches(routes_by_prefix: Mapping[str, Sequence[_Route]]) -> int:
    return sum(match.count for routes in routes_by_prefix.values() for _, match in routes)


def _check_matches_below_prefix(scope: Scope, routes: Sequence[_Route]) -> Iterator[Finding]:
    owners: dict[tuple[str, str], str] = {}
    for name, match in routes:
        rivals = {owners.setdefault(request, name) for request in _combinations(match)}
        for rival in sorted(rivals - {name}):
            path = scope.route_layers(name)[-1].path
            message = f"matches what route {rival} matches"
            accepted = "routes that differ in host, path_prefix or method"
            yield Finding(FindingCode.IDENTICAL_MATCH, path, message, accepted, scope.zone)


def _combinations(match: RouteMatch) -> Iterator[tuple[str, str]]:
    """Yield the combinations of host and method for which a route matches."""
    hosts = [host.lower() for host in match.hosts] or [ANY]
    return product(hosts, match.methods or [ANY])


def _some_of(names: Iterable[str]) -> str:
    shown = sorted(names)[:NAMES_SHOWN]
    return "one of " + ", ".join(shown) if shown else ""
