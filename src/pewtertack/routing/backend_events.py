"""What a proxy's decisions notice of back ends, for those who log it or pass it on."""

from __future__ import annotations

import msgspec

from pewtertack.routing.backend import Backend
from pewtertack.routing.registry import ListChange


class BackendHealthChanged(msgspec.Struct, frozen=True):
    """A back end was ejected, or came back."""

    backend: Backend
    ejected: bool


class BackendLeaving(msgspec.Struct, frozen=True):
    """A back end's own answer said that it leaves; told once for an incarnation."""

    backend: Backend


class BackendListed(msgspec.Struct, frozen=True):
    """The machine list changed what it says of a back end."""

    backend: Backend
    change: ListChange


BackendEvent = BackendHealthChanged | BackendLeaving | BackendListed


def ignore_event(event: BackendEvent) -> None:
    """Tell nobody."""
