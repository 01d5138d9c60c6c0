"""The operator's configuration and evacuations as a tree."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Annotated, Any

import msgspec

from pewtertack.core.configuration.model import RootSection
from pewtertack.core.items import read_item

REPEATABLE_KINDS = frozenset({"safe", "download"})


class _Share(msgspec.Struct, frozen=True, rename="pascal"):
    service: str
    weight: int


class _Route(msgspec.Struct, frozen=True, rename="pascal"):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout: str
    target_latency: str = "0s"
    priority: int = 0
    service: str = ""
    traffic_split: tuple[_Share, ...] = ()
    max_attempts: int = 1


class _Service(msgspec.Struct, frozen=True, rename="pascal"):
    name: str
    connection_limit: int
    health_path: str = "/"
    cold_start: str = "0s"
    cold_per_s: float = msgspec.field(name="ColdPerS", default=0.0)


class _Limits(msgspec.Struct, frozen=True, rename="pascal"):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout: str
    idle_timeout: str


class _Configuration(msgspec.Struct, frozen=True, rename="pascal"):
    version: Annotated[str, msgspec.Meta(pattern=r"\A(r)?[0-9]{1,9}\Z")]
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    limits: _Limits


def tree_of(value: bytes, zones: Sequence[str] = ()) -> tuple[int, dict[str, Any]]:
    """Return the version and the tree of a configuration while some zones are evacuated.

    Raises:
        ItemFormatError: it lacks a field, or one has a wrong value.
    """
    given = read_item(value, _Configuration)
    version = int(given.version.removeprefix("r"))
    tree: dict[str, Any] = {
        "services": {item.name: _service_of(item) for item in given.services},
        "routes": {item.name: _route_of(item) for item in given.routes},
    }
    if zones:
        tree[RootSection.EVACUATED_ZONES.value] = list(zones)
    return version, tree


def _service_of(service: _Service) -> dict[str, Any]:
    tree: dict[str, Any] = {"connections_per_backend": service.connection_limit}
    if service.cold_per_s > 0:
        tree["health_path"] = service.health_path.rstrip("/") or "/"
        tree["cold_start"] = service.cold_start
        tree["cold_rate"] = service.cold_per_s
    return tree


def _route_of(route: _Route) -> dict[str, Any]:
    split = {share.service: share.weight for share in route.traffic_split}
    return {
        "service": route.service or max(split, key=lambda name: split[name], default=""),
        "hosts": [route.host],
        "path_prefix": route.path_prefix.rstrip("/") or "/",
        "timeout": route.timeout,
        "target_latency": route.target_latency,
        "priority": route.priority,
        "repeatable": route.kind in REPEATABLE_KINDS,
        "retry_limit": max(0, route.max_attempts - 1),
        "split": split,
    }
