"""The mix of calls: one kind of call for each route of a tree."""

from __future__ import annotations

import msgspec

from pewtertack.core.configuration.resolution import resolve_document
from pewtertack.core.configuration.resolved import ResolvedRoute, WorkClass
from pewtertack.core.revision import Document, revision_id_of

EXTRA_TIMEOUT_SECONDS = 2.0
"""How much longer than the route's timeout a caller waits for the response."""


class ClassLoad(msgspec.Struct, frozen=True):
    """The relative frequency, duration and sizes of the calls of one work class."""

    weight: float
    work_milliseconds: float
    answer_bytes: int
    body_bytes: int


CLASS_LOADS = {
    WorkClass.URGENT: ClassLoad(4.0, 3.0, 256, 0),
    WorkClass.INTERACTIVE: ClassLoad(4.0, 6.0, 1024, 0),
    WorkClass.BULK: ClassLoad(0.5, 30.0, 256, 262_144),
    WorkClass.BACKGROUND: ClassLoad(1.5, 15.0, 32_768, 0),
}
POST_BODY_BYTES = 512


class CallKind(msgspec.Struct, frozen=True):
    """One kind of call, to one route. Times without a unit in their name are in seconds."""

    route: str
    host: str
    path: str
    method: str
    repeatable: bool
    weight: float
    work_milliseconds: float
    answer_bytes: int
    body_bytes: int
    client_timeout: float


def mix_of_tree(tree: Document) -> tuple[CallKind, ...]:
    """Return one kind of call for each route of ``tree``, without the overrides of any zone.

    Raises:
        TreeRejectedError: the tree is not valid.
    """
    resolved = resolve_document(tree, revision_id_of(1, tree), "")
    return tuple(_call_for_route(route) for route in resolved.routes)


def _call_for_route(route: ResolvedRoute) -> CallKind:
    load = CLASS_LOADS[route.work_class]
    method = route.methods[0] if route.methods else "GET"
    min_body_bytes = POST_BODY_BYTES if method in ("POST", "PUT") else 0
    return CallKind(
        route=route.name,
        host=route.hosts[0] if route.hosts else "any.example",
        path=route.path_prefix.rstrip("/") + "/1",
        method=method,
        repeatable=route.repeatable,
        weight=load.weight,
        work_milliseconds=load.work_milliseconds,
        answer_bytes=load.answer_bytes,
        body_bytes=max(load.body_bytes, min_body_bytes),
        client_timeout=route.timeout + EXTRA_TIMEOUT_SECONDS,
    )
