"""Resolution of a valid tree for one zone."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from functools import lru_cache
from types import MappingProxyType
from typing import Any

from pewtertack.core.configuration.findings import TreeRejectedError
from pewtertack.core.configuration.memory import ResolvedRouteCache, find_route_edit
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

EMPTY_MAPPING: Mapping[str, Any] = MappingProxyType({})
ROUTES_PER_SLICE = 50
"""Routes that are resolved in one slice."""
ROUTES_PER_UNIT = 3
"""Routes that are resolved in the time of one work unit (see ``core.slices``)."""
ROUTES_REUSED_PER_UNIT = 50
"""Routes that are reused from the cache in the time of one work unit."""
HOST_LISTS_CACHE_SIZE = 256
"""Number of different host lists that are cached."""


def resolve_document(document: Document, revision: RevisionId, zone: str) -> ResolvedConfiguration:
    """Return the configuration of a proxy in ``zone``.

    A zone that the tree does not name gets the root's values.

    Raises:
        TreeRejectedError: the document is not valid.
    """
    findings = check_document(document)
    if findings:
        raise TreeRejectedError(findings)
    return resolve_checked(document, revision, zone)


def resolve_checked(
    document: Document, revision: RevisionId, zone: str, cache: ResolvedRouteCache | None = None
) -> ResolvedConfiguration:
    """Resolve a document for which ``check_document`` found nothing.

    Unchanged routes are reused from the ``cache``, which must have been used for the same zone
    only.
    """
    return run_to_completion(resolve_checked_in_slices(document, revision, zone, cache))


def resolve_checked_in_slices(
    document: Document, revision: RevisionId, zone: str, cache: ResolvedRouteCache | None = None
) -> Work[ResolvedConfiguration]:
    """Do the work of ``resolve_checked`` in slices.

    No other document may be resolved with the same cache in the meantime.
    """
    scope = Scope(document, zone)
    used_cache = cache if cache is not None else ResolvedRouteCache()
    names = scope.route_names()
    yield from _update_routes_in_slices(scope, names, document, used_cache)
    routes = tuple(
        used_cache.latest(name) or _cached_route(scope, name, used_cache) for name in names
    )
    yield len(names) / ROUTES_REUSED_PER_UNIT
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


def _update_routes_in_slices(
    scope: Scope, names: Sequence[str], document: Document, cache: ResolvedRouteCache
) -> Work[None]:
    """Bring the entries of all routes in ``cache`` up to date.

    Routes that the document does not change are skipped.
    """
    edit = find_route_edit(cache.document, document)
    cache.document = None
    if edit is None:
        cache.keep_only(names)
        changed: Sequence[str] = names
    else:
        changed = edit.changed
        for name in edit.removed:
            cache.discard(name)
    for count, name in enumerate(changed, 1):
        _cached_route(scope, name, cache)
        if count % ROUTES_PER_SLICE == 0:
            yield ROUTES_PER_SLICE / ROUTES_PER_UNIT
    yield len(names) / ROUTES_REUSED_PER_UNIT
    cache.document = document


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


def _cached_route(scope: Scope, name: str, cache: ResolvedRouteCache) -> ResolvedRoute:
    tables, defaults = scope.route_tables(name), scope.inherited_values(name)
    route = cache.lookup(name, tables, defaults)
    if route is None:
        route = _resolve_route(scope, name)
        cache.store(name, tables, defaults, route)
    return route


def _resolve_route(scope: Scope, name: str) -> ResolvedRoute:
    values = scope.route_values(name)
    return ResolvedRoute(
        name=name,
        service=values["service"],
        hosts=_lower_case(tuple(values["hosts"])),
        path_prefix=values["path_prefix"],
        methods=tuple(values["methods"]),
        work_class=WorkClass(values["class"]),
        timeout=_seconds(values, "timeout"),
        repeatable=values["repeatable"],
        retry_limit=values["retry_limit"],
        retry_budget=float(values["retry_budget"]),
        queue_limit=values["queue_limit"],
        crash_limit=values["crash_limit"],
        header_secrets=_read_only(values["header_secrets"]),
        split=_read_only(values["split"]),
        priority=values["priority"],
        target_latency=_seconds(values, "target_latency"),
    )


def _read_only(table: Mapping[str, Any]) -> Mapping[str, Any]:
    """Return a read-only copy; all empty copies are the same object, since many are empty."""
    return MappingProxyType(dict(table)) if table else EMPTY_MAPPING


@lru_cache(maxsize=HOST_LISTS_CACHE_SIZE)
def _lower_case(hosts: tuple[str, ...]) -> tuple[str, ...]:
    """Return the names in lower case; routes with the same hosts share the result."""
    return tuple(host.lower() for host in hosts)


def _seconds(values: Mapping[str, Any], setting: str) -> float:
    seconds = duration_seconds(values[setting])
    assert seconds is not None, f"validation accepted an invalid {setting}"
    return seconds
