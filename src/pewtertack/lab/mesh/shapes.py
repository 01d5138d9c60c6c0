"""Shapes of meshes: services, kinds of requests and the rate of calls."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from pewtertack.lab.errors import LabUsageError

SAFE, UNSAFE, UPLOAD = "safe", "unsafe", "upload"
"""Kinds of routes; only safe requests may run more than once."""
HEALTH_PATH = "/health"


class ServiceShape(msgspec.Struct, frozen=True):
    """One service and its back ends."""

    name: str
    backends: int
    slots: int
    queue_length: int
    """Requests that a back end queues beyond its slots."""
    resets_when_full: bool
    """Whether a full back end resets the connection in place of a refusal."""


class RequestKind(msgspec.Struct, frozen=True):
    """Requests of one route. Times are in seconds."""

    name: str
    service: str
    kind: str
    weight: float
    """Share of the callers' requests, relative to other kinds; 0 if only back ends send them."""
    work: float
    deadline: float
    timeout: float
    objective: float
    caller_retries: int = 0
    """How often a caller tries again."""
    body_bytes: int = 0
    """Mean length of the request's body."""
    response_bytes: int = 1500
    nested: str = ""
    """Name of the kind that the back end sends while it runs the request; "" for none."""
    nested_count: int = 1
    nested_share: float = 0.7
    """Share of the executions that send nested requests."""

    @property
    def method(self) -> str:
        """The HTTP method."""
        return "GET" if self.kind == SAFE else "POST"

    @property
    def path(self) -> str:
        """Path prefix of the route."""
        return f"/{self.name}/"

    @property
    def repeatable(self) -> bool:
        """Whether it may run more than once."""
        return self.kind == SAFE


class MeshShape(msgspec.Struct, frozen=True):
    """One machine, with a node and a back end, for each back end of the services."""

    services: tuple[ServiceShape, ...]
    kinds: tuple[RequestKind, ...]
    zones: tuple[str, ...]
    calls_per_second: float
    """Requests of all callers together."""
    max_attempts: int = 2
    """Back ends that one request may be sent to."""
    retry_slack: int = 62
    """Retries that a service's budget allows in addition to its share."""

    def kind(self, name: str) -> RequestKind:
        """Return the kind of requests called ``name``."""
        return next(kind for kind in self.kinds if kind.name == name)

    def with_attempts(self, max_attempts: int) -> MeshShape:
        """Return the shape with another limit on the back ends that a request is sent to."""
        return msgspec.structs.replace(self, max_attempts=max_attempts)

    def with_backends(self, limit: int) -> MeshShape:
        """Return the shape with at most ``limit`` back ends a service.

        Raises:
            LabUsageError: the limit is below 1.
        """
        if limit < 1:
            raise LabUsageError("each service needs a back end")
        services = tuple(
            msgspec.structs.replace(service, backends=min(limit, service.backends))
            for service in self.services
        )
        return msgspec.structs.replace(self, services=services)


RESERVATIONS = MeshShape(
    services=(
        ServiceShape("orders", 6, 12, 48, resets_when_full=True),
        ServiceShape("reservations", 4, 12, 48, resets_when_full=True),
        ServiceShape("scans", 3, 12, 48, resets_when_full=True),
    ),
    kinds=(
        RequestKind(
            *("order-status", "orders", SAFE, 5.3, 0.12, 2.5, 1.2, 0.4, 2),
            nested="stock-check",
            nested_count=2,
        ),
        RequestKind(
            *("reserve", "reservations", UNSAFE, 1.8, 0.16, 3.0, 1.5, 0.5, 2, 300),
            nested="scan-check",
        ),
        RequestKind("scan", "scans", UPLOAD, 0.56, 0.14, 3.0, 1.5, 0.5, 2, 60_000, 400),
        RequestKind("stock-check", "reservations", SAFE, 0.0, 0.03, 0.4, 0.4, 0.12),
        RequestKind("scan-check", "scans", SAFE, 0.0, 0.03, 0.4, 0.4, 0.12),
    ),
    zones=("east", "north", "west"),
    calls_per_second=480.0,
)
"""Long deadlines, unsafe requests with nested calls, back ends that reset when they are full."""

LOGBOOK = MeshShape(
    services=(
        ServiceShape("logbook", 7, 6, 24, resets_when_full=False),
        ServiceShape("archive", 5, 6, 24, resets_when_full=False),
    ),
    kinds=(
        RequestKind(*("lookup", "logbook", SAFE, 6.0, 0.06, 0.5, 0.5, 0.2, 1), nested="match"),
        RequestKind("confirm", "logbook", UNSAFE, 2.1, 0.078, 0.6, 0.6, 0.25, 1, 300, 5000),
        RequestKind("upload", "archive", UPLOAD, 0.73, 0.072, 0.8, 0.8, 0.3, 1, 60_000, 5000),
        RequestKind("browse", "archive", SAFE, 1.0, 0.24, 1.5, 1.5, 0.6, 1),
        RequestKind("match", "archive", SAFE, 0.0, 0.015, 0.2, 0.2, 0.06),
    ),
    zones=("east", "north", "south", "west"),
    calls_per_second=400.0,
    retry_slack=64,
)
"""Short deadlines, unsafe requests without nested calls, back ends that refuse when full."""

SHAPES: Mapping[str, MeshShape] = {"reservations": RESERVATIONS, "logbook": LOGBOOK}


def find_shape(name: str) -> MeshShape:
    """Return the shape called ``name``.

    Raises:
        LabUsageError: there is none.
    """
    if name not in SHAPES:
        raise LabUsageError(f"unknown shape {name!r}; known: {', '.join(SHAPES)}")
    return SHAPES[name]
