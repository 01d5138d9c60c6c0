"""Routes, services, machines and dispatchers for tests of the request path."""

from random import Random
from types import MappingProxyType
from typing import Any

from pewtertack.core.configuration.resolved import (
    ResolvedConfiguration,
    ResolvedRoute,
    ResolvedService,
    WorkClass,
)
from pewtertack.core.machines import Machine, MachineList, MachineRole, MachineState
from pewtertack.core.revision import RevisionId
from pewtertack.routing.dispatcher import Dispatcher
from pewtertack.routing.queueing import Ticket


def service(name: str = "logbook", **changes: Any) -> ResolvedService:
    values: dict[str, Any] = {
        "slots_per_backend": 6,
        "connections_per_backend": 130,
        "connect_timeout": 1.0,
        "slow_start": 0.0,
        "ejection_failures": 3,
        "ejection_time": 5.0,
    }
    return ResolvedService(name, **{**values, **changes})


def route(name: str = "lookup", **changes: Any) -> ResolvedRoute:
    values: dict[str, Any] = {
        "service": "logbook",
        "hosts": (),
        "path_prefix": "/",
        "methods": (),
        "work_class": WorkClass.INTERACTIVE,
        "timeout": 5.0,
        "repeatable": False,
        "retry_limit": 2,
        "retry_budget": 0.1,
        "queue_limit": 20,
        "header_secrets": MappingProxyType({}),
    }
    return ResolvedRoute(name, **{**values, **changes})


def configuration(
    *routes: ResolvedRoute,
    services: tuple[ResolvedService, ...] = (),
    secrets: dict[str, str] | None = None,
    number: int = 1,
) -> ResolvedConfiguration:
    by_name = {item.name: item for item in services or (service(),)}
    return ResolvedConfiguration(
        RevisionId(number, b"x"), "ikeja", routes or (route(),), by_name, secrets or {}
    )


def backend(
    name: str,
    address: str = "127.0.0.1:1",
    zone: str = "ikeja",
    state: MachineState = MachineState.LIVE,
) -> Machine:
    return Machine(name, MachineRole.BACKEND, zone, address, "logbook", state)


def machines(*names: str, number: int = 1, **changes: Any) -> MachineList:
    return MachineList(number, tuple(backend(name, **changes) for name in names))


def dispatcher(*names: str, seed: int = 1) -> Dispatcher:
    subject = Dispatcher(Random(seed))
    subject.use_zone("ikeja")
    subject.use_machines(machines(*names), 0.0)
    return subject


def ticket(
    deadline: float = 5.0, settings: ResolvedService | None = None, **changes: Any
) -> Ticket:
    return Ticket(route(**changes), settings or service(), deadline)
