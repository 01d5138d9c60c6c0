"""Effects: instructions that the coordination core returns to its runtime."""

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
    """Send ``message`` to the peer ``name`` at ``address``; delivery is best effort."""

    name: str
    address: str
    message: Message


class ReadDocument(msgspec.Struct, frozen=True):
    """Read a document from the platform if its number differs from ``after``.

    The runtime answers each read with one of the three document inputs. At most one read per
    document kind is outstanding, except while the source is slow or does not answer. ``wait`` is
    the long-poll time: how many seconds the platform may hold the read open while nothing changes.
    """

    kind: DocumentKind
    after: int
    wait: float
    may_be_stale: bool = False
    """Whether a cheaper answer that may be a few seconds old is acceptable."""
    era: int = 0
    """The latest era of the source known to this node (`core.eras`)."""
    era_since: float = 0.0
    """When the node learned of that era, in monotonic seconds."""
    evacuated_zones: tuple[str, ...] = ()
    """The zones that the held tree lists as evacuated."""
    ended_evacuations: Mapping[str, int] = {}
    """Zones whose evacuation has ended, with a revision (`core.ended_evacuations`)."""
    doubts_copy: bool = False
    """Whether evacuations in a restored copy may have ended already: the node started too late to
    see them end, and no peer has reported them yet."""
    held_revision: RevisionId = NO_REVISION
    """The revision of the held tree."""
    held_tree: Document | None = None
    """The held tree, for a restored source that only knows an older version."""
    read_id: int = 0
    """Identifies this read; its answer carries the same id."""


class ContinueWork(msgspec.Struct, frozen=True):
    """Pass a ``WorkContinued`` to the core after other tasks have run.

    At most one request of this kind is outstanding.
    """


class BringIntoForce(msgspec.Struct, frozen=True):
    """Switch the proxy to this configuration atomically."""

    configuration: ResolvedConfiguration


class UseMachineList(msgspec.Struct, frozen=True):
    """Choose back ends from this machine list from now on."""

    machines: MachineList


class SetServing(msgspec.Struct, frozen=True):
    """Accept callers' requests, or refuse them as not run with a ``retry_after`` in seconds."""

    serving: bool
    retry_after: float = 1.0


class StageReached(msgspec.Struct, frozen=True):
    """Record that a revision reached a stage ``seconds`` after this node learned of it."""

    stage: Stage
    channel: DeliveryChannel
    seconds: float


class Log(msgspec.Struct, frozen=True):
    """Write a log event with its fields."""

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
