"""Events about back ends that a proxy's routing decisions emit, for logs and other nodes."""

from __future__ import annotations

import msgspec

from pewtertack.routing.backend import Backend
from pewtertack.routing.registry import ListChange


class BackendHealthChanged(msgspec.Struct, frozen=True):
    """A back end was ejected or reinstated."""

    backend: Backend
    ejected: bool


class BackendLeaving(msgspec.Struct, frozen=True):
    """A back end's own answer said that it leaves; emitted once for an incarnation."""

    backend: Backend


class BackendListed(msgspec.Struct, frozen=True):
    """A newer machine list changed a back end's entry."""

    backend: Backend
    change: ListChange


BackendEvent = BackendHealthChanged | BackendLeaving | BackendListed


def ignore_event(event: BackendEvent) -> None:
    """Ignore the event."""
