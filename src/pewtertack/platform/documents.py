"""The operator's configuration as a tree, the back ends' entries as a machine list."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any, ClassVar

import msgspec

from pewtertack.core.configuration.model import RootSection
from pewtertack.core.configuration.values import is_zone_name
from pewtertack.core.machines import MachineRole, MachineState
from pewtertack.errors import PlatformError

REPEATABLE_KIND = "safe"
DRAINING = "draining"
NO_TIME = ("ms", "s")
"""What is left of a length of time without the zeros of its number."""


class ItemFormatError(PlatformError):
    """An item of the store is not what the platform's pages say."""

    code: ClassVar[str] = "platform-item"


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
    version: str
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    limits: _Limits


class _Backend(msgspec.Struct, frozen=True, rename="pascal"):
    service: str
    address: str
    zone: str
    state: str
    slots: int = 0
    cold_remaining: str = "0s"


def tree_of(value: bytes, evacuated: Iterable[str] = ()) -> tuple[int, dict[str, Any]]:
    """Return the version and the tree of a configuration while some zones are evacuated.

    Names that are none of a zone are passed over: they must not refuse the whole tree.

    Raises:
        ItemFormatError: it lacks a field, or one has a wrong value.
    """
    try:
        given = msgspec.json.decode(value, type=_Configuration)
        version = int(given.version.removeprefix("r"))
    except (msgspec.MsgspecError, ValueError) as error:
        raise ItemFormatError(f"configuration: {error}") from error
    tree: dict[str, Any] = {
        "services": {item.name: _service_of(item) for item in given.services},
        "routes": {item.name: _route_of(item) for item in given.routes},
    }
    zones = sorted(zone for zone in evacuated if is_zone_name(zone))
    if zones:
        tree[RootSection.EVACUATED_ZONES.value] = zones
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
        "repeatable": route.kind == REPEATABLE_KIND,
        "retry_limit": max(0, route.max_attempts - 1),
        "split": split,
    }


def machines_of(
    entries: Mapping[str, bytes], gateway_port: int, peer_port: int
) -> dict[str, dict[str, Any]]:
    """Return the machine list of the back ends ``{id: entry}`` and the nodes beside them.

    Nodes have the same ports on all machines and are named by their IP numbers.

    Raises:
        ItemFormatError: an entry lacks a field, or one has a wrong value.
    """
    machines: dict[str, dict[str, Any]] = {}
    for name, value in entries.items():
        backend = _backend_of(name, value)
        host = backend.address.rpartition(":")[0]
        machines[name] = {
            "role": MachineRole.BACKEND.value,
            "zone": backend.zone,
            "address": backend.address,
            "service": backend.service,
            "state": (
                MachineState.LEAVING if backend.state == DRAINING else MachineState.LIVE
            ).value,
            "gateway": f"{host}:{gateway_port}",
            "slots": backend.slots,
        }
        if backend.cold_remaining.strip("0.") not in NO_TIME:
            machines[name]["cold"] = True
        machines[host] = {
            "role": MachineRole.NODE.value,
            "zone": backend.zone,
            "address": f"{host}:{peer_port}",
        }
    return machines


def _backend_of(name: str, value: bytes) -> _Backend:
    try:
        return msgspec.json.decode(value, type=_Backend)
    except msgspec.MsgspecError as error:
        raise ItemFormatError(f"back end {name}: {error}") from error
