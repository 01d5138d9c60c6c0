"""Converts the operator's configuration and evacuations to the closest equivalent tree."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Annotated, Any

import msgspec

from pewtertack.core.configuration import conversion
from pewtertack.core.configuration.model import RootSection
from pewtertack.core.items import ParsedItems, parse_item

REPEATABLE_KINDS = frozenset({"safe", "download"})
RouteCache = ParsedItems[tuple[str, dict[str, Any]]]
"""Parsed routes of the previous configuration; unchanged ones keep their table objects."""

_Number = Annotated[float, msgspec.Meta(ge=-1e15, le=1e15)]
_Weight = Annotated[float, msgspec.Meta(ge=0, le=1e15)]


class _SplitShare(msgspec.Struct, frozen=True, rename="pascal"):
    service: str
    weight: _Weight


class _Route(msgspec.Struct, frozen=True, rename="pascal"):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout: str
    target_latency: str = "0s"
    priority: _Number = 0
    service: str | None = None
    traffic_split: tuple[_SplitShare, ...] | None = None
    max_attempts: _Number = 1


class _Service(msgspec.Struct, frozen=True, rename="pascal"):
    name: str
    connection_limit: _Number
    health_path: str = "/"
    cold_start: str = "0s"
    cold_per_s: _Number = msgspec.field(name="ColdPerS", default=0.0)


class _Limits(msgspec.Struct, frozen=True, rename="pascal"):
    max_header_bytes: _Number
    max_body_bytes: _Number
    header_timeout: str
    idle_timeout: str


class _Configuration(msgspec.Struct, frozen=True, rename="pascal"):
    version: Annotated[str, msgspec.Meta(pattern=r"\A(r)?[0-9]{1,18}\Z")]
    routes: tuple[msgspec.Raw, ...] | None
    services: tuple[_Service, ...] | None
    limits: _Limits


def parse_configuration(
    value: bytes, zones: Sequence[str] = (), cache: RouteCache | None = None
) -> tuple[int, dict[str, Any]]:
    """Return the version and tree of a configuration with evacuated ``zones``, using ``cache``.

    Raises:
        ItemFormatError: a field is missing or has an invalid value.
    """
    parsed = parse_item(value, _Configuration)
    version = int(parsed.version.removeprefix("r"))
    routes = (cache or RouteCache()).parse(parsed.routes or (), _read_route)
    tree: dict[str, Any] = {
        "services": {item.name: _service_table(item) for item in parsed.services or ()},
        "routes": conversion.unique_routes(routes),
    }
    tree |= conversion.head_bytes_settings(parsed.limits.max_header_bytes)
    if zones:
        tree[RootSection.EVACUATED_ZONES.value] = list(zones)
    return version, tree


def _read_route(text: bytes) -> tuple[str, dict[str, Any]]:
    route = parse_item(text, _Route)
    return route.name, _route_table(route)


def _service_table(service: _Service) -> dict[str, Any]:
    cold = (service.health_path, service.cold_start) if service.cold_per_s > 0 else None
    return conversion.service_settings(service.connection_limit, service.cold_per_s, cold)


def _route_table(route: _Route) -> dict[str, Any]:
    shares = [(share.service, share.weight) for share in route.traffic_split or ()]
    times = (route.timeout, route.target_latency)
    table = conversion.route_match_settings(
        route.host, route.path_prefix, route.service or "", shares
    )
    table |= conversion.route_limit_settings(times, route.priority, route.max_attempts)
    return {**table, "repeatable": route.kind in REPEATABLE_KINDS}
