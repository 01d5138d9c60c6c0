"""The operator's configuration as a tree, the back ends' entries as a machine list."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, ClassVar

import msgspec

from pewtertack.core.machines import MachineRole, MachineState
from pewtertack.errors import PlatformError

REPEATABLE_KIND = "safe"
DRAINING = "draining"


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


def tree_of(value: bytes) -> tuple[int, dict[str, Any]]:
    """Return the number and the tree of a configuration.

    Raises:
        ItemFormatError: it lacks a field, or one has a wrong value.
    """
    try:
        given = msgspec.json.decode(value, type=_Configuration)
        number = int(given.version.removeprefix("r"))
    except (msgspec.MsgspecError, ValueError) as error:
        raise ItemFormatError(f"configuration: {error}") from error
    return number, {
        "services": {
            item.name: {"connections_per_backend": item.connection_limit} for item in given.services
        },
        "routes": {item.name: _route_of(item) for item in given.routes},
    }


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
