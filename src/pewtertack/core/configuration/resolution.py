"""Resolution of a valid tree for one zone."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from functools import lru_cache
from types import MappingProxyType
from typing import Any

from pewtertack.core.configuration.findings import TreeRejectedError
from pewtertack.core.configuration.memory import ResolvedRouteCache, edit_of_routes
from pewtertack.core.configuration.model import HEAD_BYTES_SETTING, RootSection
from pewtertack.core.configuration.resolved import (
    ResolvedConfiguration,
    ResolvedRoute,
    ResolvedService,
    WorkClass,
)
from pewtertack.core.configuration.scopes import Scope, merge
from pewtertack.core.configuration.validation import check_document
from pewtertack.core.configuration.values import duration_seconds
from pewtertack.core.revision import Document, RevisionId
from pewtertack.core.slices import Work, run_to_completion

NOTHING: Mapping[str, Any] = MappingProxyType({})
ROUTES_AT_ONCE = 50
"""Routes that are resolved in one step."""
ROUTES_PER_UNIT = 3
"""Routes that are resolved in the time in which one is checked."""
ROUTES_TAKEN_OVER_PER_UNIT = 50
"""Routes that are taken over as they are in the same time."""
HOSTS_SHARED = 256
"""Combinations of hosts that routes share."""


def resolve_document(document: Document, revision: RevisionId, zone: str) -> ResolvedConfiguration:
    """Return what a proxy in ``zone`` serves by; a zone not in the tree gets the root's view.

    Raises:
        TreeRejectedError: the document is not valid.
    """
    findings = check_document(document)
    if findings:
        raise TreeRejectedError(findings)
    return resolve_checked(document, revision, zone)


def resolve_checked(
    document: Document, revision: RevisionId, zone: str, known: ResolvedRouteCache | None = None
) -> ResolvedConfiguration:
    """Resolve a document for which ``check_document`` found nothing.

    Routes that are ``known`` from an earlier document, for the same zone, are taken over.
    """
    return run_to_completion(resolve_checked_in_slices(document, revision, zone, known))


def resolve_checked_in_slices(
    document: Document, revision: RevisionId, zone: str, known: ResolvedRouteCache | None = None
) -> Work[ResolvedConfiguration]:
    """Do what ``resolve_checked`` does, in slices.

    No other document may be resolved with the same memory meanwhile.
    """
    scope = Scope(document, zone)
    memory = known if known is not None else ResolvedRouteCache()
    names = scope.route_names()
    yield from _resolving_routes(scope, names, document, memory)
    routes = tuple(memory.derived(name) or _resolve_known(scope, name, memory) for name in names)
    yield len(names) / ROUTES_TAKEN_OVER_PER_UNIT
    services = {name: _resolve_service(scope, name) for name in scope.service_names()}
    return ResolvedConfiguration(
        revision=revision,
        zone=zone,
        routes=routes,
        services=MappingProxyType(services),
        secrets=MappingProxyType(scope.secrets()),
        evacuated=frozenset(document.get(RootSection.EVACUATED_ZONES, ())),
        head_bytes=document.get(RootSection.HEAD_BYTES, HEAD_BYTES_SETTING.default),
    )


def _resolving_routes(
    scope: Scope, names: Sequence[str], document: Document, memory: ResolvedRouteCache
) -> Work[None]:
    """Let ``memory`` have all routes; those that a document leaves alone are not looked at."""
    edit = edit_of_routes(memory.document, document)
    memory.document = None
    if edit is None:
        memory.keep_only(names)
        edited: Sequence[str] = names
    else:
        edited = edit.written
        for name in edit.removed:
            memory.forget(name)
    for count, name in enumerate(edited, 1):
        _resolve_known(scope, name, memory)
        if count % ROUTES_AT_ONCE == 0:
            yield ROUTES_AT_ONCE / ROUTES_PER_UNIT
    yield len(names) / ROUTES_TAKEN_OVER_PER_UNIT
    memory.document = document


def _resolve_service(scope: Scope, name: str) -> ResolvedService:
    values = merge(scope.service_layers(name))
    return ResolvedService(
        name=name,
        slots_per_backend=values["slots_per_backend"],
        connections_per_backend=values["connections_per_backend"],
        connect_timeout=_seconds(values, "connect_timeout"),
        slow_start=_seconds(values, "slow_start"),
        ejection_failures=values["ejection_failures"],
        ejection_time=_seconds(values, "ejection_time"),
        health_path=values["health_path"],
        cold_start=_seconds(values, "cold_start"),
        cold_rate=float(values["cold_rate"]),
    )


def _resolve_known(scope: Scope, name: str, memory: ResolvedRouteCache) -> ResolvedRoute:
    tables, defaults = scope.route_tables(name), scope.inherited_values(name)
    route = memory.find(name, tables, defaults)
    if route is None:
        route = _resolve_route(scope, name)
        memory.remember(name, tables, defaults, route)
    return route


def _resolve_route(scope: Scope, name: str) -> ResolvedRoute:
    values = scope.route_values(name)
    return ResolvedRoute(
        name=name,
        service=values["service"],
        hosts=_lower(tuple(values["hosts"])),
        path_prefix=values["path_prefix"],
        methods=tuple(values["methods"]),
        work_class=WorkClass(values["class"]),
        timeout=_seconds(values, "timeout"),
        repeatable=values["repeatable"],
        retry_limit=values["retry_limit"],
        retry_budget=float(values["retry_budget"]),
        queue_limit=values["queue_limit"],
        crash_limit=values["crash_limit"],
        header_secrets=_fixed(values["header_secrets"]),
        split=_fixed(values["split"]),
        priority=values["priority"],
        target_latency=_seconds(values, "target_latency"),
    )


def _fixed(table: Mapping[str, Any]) -> Mapping[str, Any]:
    """Return a copy that nobody can change; the many empty ones are one object."""
    return MappingProxyType(dict(table)) if table else NOTHING


@lru_cache(maxsize=HOSTS_SHARED)
def _lower(hosts: tuple[str, ...]) -> tuple[str, ...]:
    """Return the names in lower case; routes to the same hosts share one object."""
    return tuple(host.lower() for host in hosts)


def _seconds(values: Mapping[str, Any], setting: str) -> float:
    seconds = duration_seconds(values[setting])
    assert seconds is not None, f"validation let {setting} pass"
    return seconds
