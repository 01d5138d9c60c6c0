"""Instructions that the coordination core returns to its runtime."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import msgspec

from pewtertack.core.configuration.resolved import ResolvedConfiguration
from pewtertack.core.machines import MachineList
from pewtertack.core.replication.stages import DeliveryChannel, Stage
from pewtertack.core.revision import NO_REVISION, Document, RevisionId
from pewtertack.events import Event
from pewtertack.wire.messages import DocumentKind, Message


class Send(msgspec.Struct, frozen=True):
    """Send ``message`` to the peer ``name`` at ``address``, best effort."""

    name: str
    address: str
    message: Message


class ReadDocument(msgspec.Struct, frozen=True):
    """Read a document from the platform, unless number ``after`` is still current.

    The runtime answers each with one of the three document inputs. One read of a kind is
    outstanding at a time, unless the source is slow or silent. ``wait`` is how long the platform
    may hold the read open while nothing changes (long poll), in seconds.
    """

    kind: DocumentKind
    after: int
    wait: float
    may_be_stale: bool = False
    """A cheaper answer that is some seconds old will do, if the platform gives such."""
    era: int = 0
    """The latest era of the source that this node has heard of (`core.eras`)."""
    era_since: float = 0.0
    """When the node heard of it, in monotonic seconds."""
    evacuated_zones: tuple[str, ...] = ()
    """The zones that the held tree names as evacuated."""
    ended_evacuations: Mapping[str, int] = {}
    """Those that it names no longer (`core.ended_evacuations`)."""
    doubts_copy: bool = False
    """The node began too late to know which evacuations have ended, and no peer has told yet."""
    held_revision: RevisionId = NO_REVISION
    """Of the held tree."""
    held_tree: Document | None = None
    """The held tree: a source that has come back may know an older version alone."""
    read_id: int = 0
    """Tells this read from the others; its answer carries the same."""


class ContinueWork(msgspec.Struct, frozen=True):
    """Give the core a ``WorkContinued`` once other tasks have had their turn.

    At most one is outstanding.
    """


class BringIntoForce(msgspec.Struct, frozen=True):
    """Swap the proxy to this configuration in one step."""

    configuration: ResolvedConfiguration


class UseMachineList(msgspec.Struct, frozen=True):
    """Choose back ends from this list from now on."""

    machines: MachineList


class SetServing(msgspec.Struct, frozen=True):
    """Accept callers' requests, or refuse them as not run with ``retry_after`` seconds."""

    serving: bool
    retry_after: float = 1.0


class StageReached(msgspec.Struct, frozen=True):
    """A revision has reached a stage ``seconds`` after this node first heard of it."""

    stage: Stage
    way: DeliveryChannel
    seconds: float


class Log(msgspec.Struct, frozen=True):
    """Record a numbered event with its fields."""

    event: Event
    fields: dict[str, Any]


Effect = (
    Send
    | ReadDocument
    | ContinueWork
    | BringIntoForce
    | UseMachineList
    | SetServing
    | StageReached
    | Log
)
