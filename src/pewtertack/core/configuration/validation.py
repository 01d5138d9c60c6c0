"""Validation of a whole tree: as it is written, and as every scope resolves it.

The findings are a pure function of the document, so that every replica reaches the same decision
by itself. Any finding rejects the whole tree.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence
from functools import partial
from itertools import chain, product
from typing import Any

from pewtertack.core.configuration.findings import Finding, FindingCode
from pewtertack.core.configuration.memory import (
    MatchIndex,
    RouteEdit,
    RouteMatch,
    ValidatedScope,
    ValidationCache,
    find_route_edit,
    route_match,
)
from pewtertack.core.configuration.model import NAMES_LIMIT, ZONES, Section
from pewtertack.core.configuration.scopes import Scope, scopes_of, winning_path
from pewtertack.core.configuration.structure import (
    DOCUMENT_BYTES_LIMIT,
    Steps,
    check_plain,
    check_plain_in_steps,
    check_structure,
    check_structure_in_steps,
    estimated_bytes,
)
from pewtertack.core.configuration.values import type_name
from pewtertack.core.revision import Document
from pewtertack.core.slices import Work, run_to_completion

ANY = "*"
"""Represents every host or every method in a combination of host and method."""

FINDINGS_LIMIT = 1_000
"""Bounds the memory that a replica needs for the findings of a rejected tree."""

COMBINATIONS_LIMIT = 20_000
"""Combinations of host and method over all routes of one scope; bounds the time of validation."""

LISTED_NAMES_LIMIT = 20
"""Maximum number of existing names that a finding about a missing name lists."""

ROUTES_PER_STEP = 40
"""Routes that are validated in one step."""

UNITS_PER_STEP = 25
"""Work units (see ``core.slices``) that one step of full validation counts as."""

ROUTES_SIZED_PER_UNIT = 8
"""Routes whose size or match is computed in the time of one work unit."""

ROUTES_COMPARED_PER_UNIT = 200
"""Routes that are compared by identity in the time of one work unit."""

_NamedMatch = tuple[str, RouteMatch]
"""Name of a route and what the route matches."""


def check_document(document: Document, cache: ValidationCache | None = None) -> tuple[Finding, ...]:
    """Return the findings of the first stage that has any; empty for a valid tree.

    The stages are: plain values, structure, resolved scopes. At most ``FINDINGS_LIMIT`` findings
    are returned. Accepts any value that a JSON, TOML or CBOR decoder returns, and never raises an
    exception for one.

    The result is the same with and without a ``cache`` of an earlier document. A valid document
    is stored in the cache.
    """
    return run_to_completion(check_document_in_slices(document, cache))


def check_document_in_slices(
    document: Document, cache: ValidationCache | None = None
) -> Work[tuple[Finding, ...]]:
    """Do the work of ``check_document`` in slices.

    No other document may be validated with the same cache in the meantime.
    """
    used_cache = cache if cache is not None else ValidationCache()
    used_cache.start_validation()
    if (yield from _accept_edit_in_slices(document, used_cache)):
        return ()
    plain: Any = dict(document) if isinstance(document, Mapping) else document
    if not isinstance(plain, dict):
        message = f"{type_name(plain)} instead of a table"
        return (Finding(FindingCode.NOT_A_TABLE, (), message),)
    stages = (
        partial(check_plain_in_steps, cache=used_cache),
        partial(check_structure_in_steps, cache=used_cache),
        _check_not_empty,
        partial(_intern_values, cache=cache),
        partial(_check_scopes, cache=used_cache),
    )
    for stage in stages:
        findings = yield from _first_findings(stage(plain))
        if findings:
            return findings
    store_units = len(plain.get(Section.ROUTES, ())) / ROUTES_SIZED_PER_UNIT
    yield store_units
    used_cache.store(plain, estimated_bytes)
    yield store_units
    used_cache.match_index = _build_match_index(plain, used_cache)
    return ()


def _first_findings(steps: Steps) -> Work[tuple[Finding, ...]]:
    """Return the first ``FINDINGS_LIMIT`` findings."""
    findings: list[Finding] = []
    for finding in steps:
        if finding is None:
            yield UNITS_PER_STEP
            continue
        findings.append(finding)
        if len(findings) == FINDINGS_LIMIT:
            break
    return tuple(findings)


def _accept_edit_in_slices(document: Document, cache: ValidationCache) -> Work[bool]:
    """Accept a document that only changes routes of the newest accepted one, if they are valid.

    Returns whether it was accepted. Only the changed routes are validated: a change of one of
    1,600 routes takes 2.5 ms of processor time instead of 23. A document that is not accepted here
    needs full validation, which returns the findings.
    """
    edit = find_route_edit(cache.document, document) if isinstance(document, dict) else None
    scope = cache.accepted_scope(None)
    if edit is None or scope is None:
        return False
    yield len(document[Section.ROUTES]) / ROUTES_COMPARED_PER_UNIT
    matches = yield from _check_changed_routes(document, edit, cache, scope)
    if matches is None:
        return False
    document_bytes = cache.size_after_edit(document, edit, estimated_bytes)
    if document_bytes > DOCUMENT_BYTES_LIMIT:
        return False
    yield len(edit.changed) / ROUTES_SIZED_PER_UNIT
    if not _has_no_conflicts(cache.match_index, edit, scope, matches):
        return False
    yield len(edit.changed) / ROUTES_SIZED_PER_UNIT
    yield from _store_edit_in_slices(document, edit, document_bytes, cache, scope, matches)
    return True


def _check_changed_routes(
    document: Document, edit: RouteEdit, cache: ValidationCache, scope: ValidatedScope
) -> Work[Mapping[str, RouteMatch] | None]:
    """Return what each changed route matches; None if one of them is not valid."""
    routes, root_scope = document[Section.ROUTES], Scope(document, None)
    if any(True for _ in _check_route_count(routes)):
        return None
    matches: dict[str, RouteMatch] = {}
    for names in _batches(edit.changed):
        partial_document = {Section.ROUTES.value: {name: routes[name] for name in names}}
        findings = chain(check_plain(partial_document, cache), check_structure(partial_document))
        if any(True for _ in findings):
            return None
        cache.intern_values(partial_document)
        batch_matches = _match_valid_routes(root_scope, names, scope)
        if batch_matches is None:
            return None
        matches.update(batch_matches)
        yield len(names)
    return matches


def _batches(names: Sequence[str]) -> Iterator[Sequence[str]]:
    return (names[at : at + ROUTES_PER_STEP] for at in range(0, len(names), ROUTES_PER_STEP))


def _check_route_count(routes: Mapping[str, Any]) -> Iterator[Finding]:
    if len(routes) > NAMES_LIMIT:
        yield Finding(FindingCode.TOO_LARGE, (Section.ROUTES.value,), f"{len(routes)} names")


def _match_valid_routes(
    scope: Scope, names: Sequence[str], validated: ValidatedScope
) -> Mapping[str, RouteMatch] | None:
    """Return what the named routes match; None if one has an invalid reference."""
    matches = {}
    for name in names:
        values = scope.route_values(name)
        if any(True for _ in _check_references(scope, name, values, validated)):
            return None
        matches[name] = route_match(values)
    return matches


def _has_no_conflicts(
    match_index: MatchIndex,
    edit: RouteEdit,
    validated: ValidatedScope,
    matches: Mapping[str, RouteMatch],
) -> bool:
    """Tell whether no changed route matches a request that another route matches."""
    count = match_index.combination_count + sum(
        match.combination_count for match in matches.values()
    )
    if count > COMBINATIONS_LIMIT:
        return False
    replaced = {*edit.changed, *edit.removed}
    changed_by_prefix: dict[str, list[RouteMatch]] = {}
    for match in matches.values():
        changed_by_prefix.setdefault(match.path_prefix, []).append(match)
    for prefix, changed in changed_by_prefix.items():
        taken: set[tuple[str, str]] = set()
        unchanged = [
            validated.routes.latest(name)
            for name in match_index.by_prefix.get(prefix, ())
            if name not in replaced
        ]
        for match in (*filter(None, unchanged), *changed):
            combinations = set(_combinations(match))
            if taken & combinations:
                return False
            taken |= combinations
    return True


def _store_edit_in_slices(
    document: Document,
    edit: RouteEdit,
    document_bytes: int,
    cache: ValidationCache,
    scope: ValidatedScope,
    matches: Mapping[str, RouteMatch],
) -> Work[None]:
    """Store the edited document in ``cache`` as the newest accepted one."""
    for names in _batches((*edit.changed, *edit.removed)):
        for name in names:
            previous = scope.routes.latest(name)
            if previous is not None:
                cache.match_index.remove(name, previous)
                scope.routes.discard(name)
        yield len(names) / ROUTES_SIZED_PER_UNIT
    root_scope = Scope(document, None)
    for names in _batches(tuple(matches)):
        for name in names:
            match = matches[name]
            cache.match_index.add(name, match)
            tables, defaults = root_scope.route_tables(name), root_scope.inherited_values(name)
            scope.routes.store(name, tables, defaults, match)
        yield len(names) / ROUTES_SIZED_PER_UNIT
    cache.store_edit(document, edit, document_bytes, estimated_bytes)
    yield len(edit.changed) / ROUTES_SIZED_PER_UNIT


def _build_match_index(document: Document, cache: ValidationCache) -> MatchIndex:
    """Return the match index of the document just accepted; empty for one with zones."""
    index = MatchIndex()
    scope = cache.accepted_scope(None)
    if scope is None or ZONES in document:
        return index
    by_prefix: dict[str, list[str]] = {}
    for name in sorted(document.get(Section.ROUTES, {})):
        match = scope.routes.latest(name)
        assert match is not None, "every route of an accepted scope has a match"
        by_prefix.setdefault(match.path_prefix, []).append(name)
        index.combination_count += match.combination_count
    index.by_prefix = {prefix: tuple(names) for prefix, names in by_prefix.items()}
    return index


def _intern_values(document: Document, cache: ValidationCache | None) -> Iterator[Finding]:
    """Intern the values of the document if there is a cache; never yields a finding."""
    if cache is not None:
        cache.intern_values(document)
    return iter(())


def _check_not_empty(document: Document) -> Iterator[Finding]:
    tables = [document, *document.get(ZONES, {}).values()]
    if not any(table.get(Section.ROUTES) or table.get(Section.SERVICES) for table in tables):
        message = "neither a route nor a service"
        yield Finding(FindingCode.EMPTY_TREE, (), message, "at least one route or service")


def _check_scopes(document: Document, cache: ValidationCache) -> Steps:
    """Yield the findings of all scopes, without those that an earlier scope already yielded."""
    reported: set[tuple[FindingCode, tuple[str, ...], str]] = set()
    for scope in scopes_of(document):
        for finding in _check_scope(scope, cache):
            if finding is None:
                yield None
                continue
            key = (finding.code, finding.path, finding.message)
            if key not in reported:
                reported.add(key)
                yield finding


def _check_scope(scope: Scope, cache: ValidationCache) -> Steps:
    validated = ValidatedScope(frozenset(scope.service_names()), frozenset(scope.secrets()))
    previous = cache.accepted_scope(scope.zone)
    if previous is not None and not previous.is_valid_for(validated.services, validated.secrets):
        previous = None
    routes_by_prefix: dict[str, list[_NamedMatch]] = {}
    for count, name in enumerate(scope.route_names(), 1):
        if count % ROUTES_PER_STEP == 0:
            yield None
        tables, defaults = scope.route_tables(name), scope.inherited_values(name)
        match = previous.routes.lookup(name, tables, defaults) if previous is not None else None
        if match is None:
            values = scope.route_values(name)
            yield from _check_references(scope, name, values, validated)
            match = route_match(values)
        validated.routes.store(name, tables, defaults, match)
        routes_by_prefix.setdefault(match.path_prefix, []).append((name, match))
    yield None
    yield from _check_matches(scope, routes_by_prefix)
    cache.add_pending_scope(scope.zone, validated)


def _check_references(
    scope: Scope, name: str, values: Mapping[str, Any], validated: ValidatedScope
) -> Iterator[Finding]:
    """Yield a finding for each service or secret that the route names and its scope lacks."""
    yield from _check_service(scope, name, values, validated.services)
    yield from _check_split(scope, name, values, validated.services)
    yield from _check_secrets(scope, name, values, validated.secrets)


def _check_service(
    scope: Scope, name: str, values: Mapping[str, Any], services: frozenset[str]
) -> Iterator[Finding]:
    service = values.get("service")
    if service is None:
        path = (*scope.route_layers(name)[-1].path, "service")
        message = f"route {name} has no service"
        yield Finding(FindingCode.MISSING_SETTING, path, message, zone=scope.zone)
    elif service not in services:
        path = winning_path(scope.route_layers(name), "service")
        message = f"service {service} does not exist"
        accepted = _format_accepted(services)
        yield Finding(FindingCode.MISSING_SERVICE, path, message, accepted, scope.zone)


def _check_split(
    scope: Scope, name: str, values: Mapping[str, Any], services: frozenset[str]
) -> Iterator[Finding]:
    for service in values["split"]:
        if service not in services:
            path = (*winning_path(scope.route_layers(name), "split"), service)
            message = f"service {service} does not exist"
            accepted = _format_accepted(services)
            yield Finding(FindingCode.MISSING_SERVICE, path, message, accepted, scope.zone)


def _check_secrets(
    scope: Scope, name: str, values: Mapping[str, Any], secrets: frozenset[str]
) -> Iterator[Finding]:
    for header, secret in values["header_secrets"].items():
        if secret not in secrets:
            path = (*winning_path(scope.route_layers(name), "header_secrets"), header)
            message = f"route {name} needs secret {secret}, which does not exist"
            accepted = _format_accepted(secrets)
            yield Finding(FindingCode.MISSING_SECRET, path, message, accepted, scope.zone)


def _check_matches(
    scope: Scope, routes_by_prefix: Mapping[str, Sequence[_NamedMatch]]
) -> Iterator[Finding]:
    """Yield a finding for each route that matches a request that an earlier route matches."""
    if _count_combinations(routes_by_prefix) > COMBINATIONS_LIMIT:
        message = "too many combinations of host and method over all routes"
        accepted = f"at most {COMBINATIONS_LIMIT}"
        yield Finding(FindingCode.TOO_LARGE, (Section.ROUTES.value,), message, accepted, scope.zone)
        return
    for routes in routes_by_prefix.values():
        if len(routes) > 1:
            yield from _check_matches_below_prefix(scope, routes)


def _count_combinations(routes_by_prefix: Mapping[str, Sequence[_NamedMatch]]) -> int:
    return sum(
        match.combination_count for routes in routes_by_prefix.values() for _, match in routes
    )


def _check_matches_below_prefix(scope: Scope, routes: Sequence[_NamedMatch]) -> Iterator[Finding]:
    owners: dict[tuple[str, str], str] = {}
    for name, match in routes:
        other_names = {owners.setdefault(request, name) for request in _combinations(match)}
        for other_name in sorted(other_names - {name}):
            path = scope.route_layers(name)[-1].path
            message = f"matches the same requests as route {other_name}"
            accepted = "routes that differ in host, path_prefix or method"
            yield Finding(FindingCode.IDENTICAL_MATCH, path, message, accepted, scope.zone)


def _combinations(match: RouteMatch) -> Iterator[tuple[str, str]]:
    """Yield the combinations of host and method that a route matches."""
    hosts = [host.lower() for host in match.hosts] or [ANY]
    return product(hosts, match.methods or [ANY])


def _format_accepted(names: Iterable[str]) -> str:
    listed = sorted(names)[:LISTED_NAMES_LIMIT]
    return "one of " + ", ".join(listed) if listed else ""
