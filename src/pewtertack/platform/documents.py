"""The operator's configuration and evacuations as a tree.

The store accepts valid ones alone. A value that a tree cannot have is brought to the nearest that
it can (``core.configuration.conversion``).
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Annotated, Any

import msgspec

from pewtertack.core.configuration import conversion
from pewtertack.core.configuration.model import ROUTE_SETTINGS, SERVICE_SETTINGS, RootSection
from pewtertack.core.items import read_item

REPEATABLE_KINDS = frozenset({"safe", "download"})


_Number = Annotated[float, msgspec.Meta(ge=-1e15, le=1e15)]
_Weight = Annotated[float, msgspec.Meta(ge=0, le=1e15)]


class _Share(msgspec.Struct, frozen=True, rename="pascal"):
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
    traffic_split: tuple[_Share, ...] | None = None
    max_attempts: _Number = 1


class _Service(msgspec.Struct, frozen=True, rename="pascal"):
    name: str
    connection_limit: _Number
    health_path: str = "/"
    cold_start: str = "0s"
    cold_per_s: _Number = msgspec.field(name="ColdPerS", default=0.0)


class _Limits(msgspec.Struct, frozen=True, rename="pascal"):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout: str
    idle_timeout: str


class _Configuration(msgspec.Struct, frozen=True, rename="pascal"):
    version: Annotated[str, msgspec.Meta(pattern=r"\A(r)?[0-9]{1,18}\Z")]
    routes: tuple[_Route, ...] | None
    services: tuple[_Service, ...] | None
    limits: _Limits


def tree_of(value: bytes, zones: Sequence[str] = ()) -> tuple[int, dict[str, Any]]:
    """Return the version and the tree of a configuration while some zones are evacuated.

    Raises:
        ItemFormatError: it lacks a field, or one has a wrong value.
    """
    given = read_item(value, _Configuration)
    version = int(given.version.removeprefix("r"))
    tree: dict[str, Any] = {
        "services": {item.name: _service_of(item) for item in given.services or ()},
        "routes": conversion.routes_by_name(
            (item.name, _route_of(item)) for item in given.routes or ()
        ),
    }
    if zones:
        tree[RootSection.EVACUATED_ZONES.value] = list(zones)
    return version, tree


def _service_of(service: _Service) -> dict[str, Any]:
    limit, rate = SERVICE_SETTINGS["connections_per_backend"], SERVICE_SETTINGS["cold_rate"]
    tree: dict[str, Any] = {limit.name: conversion.whole_number(limit, service.connection_limit)}
    if service.cold_per_s > 0:
        cold = SERVICE_SETTINGS["cold_start"]
        tree["health_path"] = conversion.request_target(service.health_path)
        tree[cold.name] = conversion.duration(cold, service.cold_start)
        tree[rate.name] = conversion.ratio(rate, service.cold_per_s)
    return tree


def _route_of(route: _Route) -> dict[str, Any]:
    shares = [(share.service, share.weight) for share in route.traffic_split or ()]
    split = conversion.weights(ROUTE_SETTINGS["split"], shares)
    target, retries = ROUTE_SETTINGS["target_latency"], ROUTE_SETTINGS["retry_limit"]
    return {
        "service": route.service or max(split, key=lambda name: split[name], default=""),
        "hosts": [conversion.host_name(route.host)],
        "path_prefix": conversion.path_prefix(route.path_prefix),
        "timeout": conversion.duration(ROUTE_SETTINGS["timeout"], route.timeout),
        "target_latency": conversion.duration(target, route.target_latency),
        "priority": conversion.whole_number(ROUTE_SETTINGS["priority"], route.priority),
        "repeatable": route.kind in REPEATABLE_KINDS,
        "retry_limit": conversion.whole_number(retries, route.max_attempts - 1),
        "split": split,
    }
