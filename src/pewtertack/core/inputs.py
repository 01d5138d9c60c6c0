"""Inputs: events that drive the coordination core. Times are monotonic seconds."""

from __future__ import annotations

import msgspec

from pewtertack.core.items import ItemFinding
from pewtertack.core.revision import Document
from pewtertack.errors import ReadFailure
from pewtertack.wire.messages import DocumentKind, Message


class Ticked(msgspec.Struct, frozen=True):
    """The runtime's periodic call, every ``TimingProfile.tick`` seconds."""


class MessageReceived(msgspec.Struct, frozen=True):
    """An authenticated message from the peer ``sender``, process ``incarnation``."""

    sender: str
    sender_address: str
    incarnation: int
    message: Message


class FrameArriving(msgspec.Struct, frozen=True):
    """Bytes of an incomplete, not yet authenticated frame were received from ``host``.

    Reported periodically for long frames, so that a pull that waits for one does not time out.
    """

    host: str
    """IP address of the peer."""


class DocumentRead(msgspec.Struct, frozen=True):
    """The platform answered a ``ReadDocument`` with a document and its number."""

    kind: DocumentKind
    number: int
    document: Document
    stale: bool = False
    """Whether the answer may be some seconds old, so that it does not confirm what is held."""
    findings: tuple[ItemFinding, ...] = ()
    """Items of the document that were skipped as invalid."""
    answer_findings: tuple[ItemFinding, ...] = ()
    """Problems of the answers themselves rather than of single items."""
    read_id: int = 0
    """``ReadDocument.read_id``; 0 stands for the oldest open read."""
    answer_seconds: float | None = None
    """Seconds that the source took beyond the long-poll wait, if known."""


class DocumentUnchanged(msgspec.Struct, frozen=True):
    """The platform answered a ``ReadDocument`` with "not modified"."""

    kind: DocumentKind
    answer_findings: tuple[ItemFinding, ...] = ()
    read_id: int = 0
    answer_seconds: float | None = None


class DocumentReadFailed(msgspec.Struct, frozen=True):
    """A ``ReadDocument`` got no usable answer from the platform."""

    kind: DocumentKind
    reason: str
    retry_after: float | None = None
    answer_findings: tuple[ItemFinding, ...] = ()
    read_id: int = 0
    answer_seconds: float | None = None
    failure: ReadFailure | None = None
    """How the read failed, if the reader reports it."""


class BackendLeavingObserved(msgspec.Struct, frozen=True):
    """A back end announced in an answer that it is leaving."""

    name: str
    address: str
    started_at: int = 0


class BackendCrashed(msgspec.Struct, frozen=True):
    """A back end crashed while it ran the requests with these fingerprints."""

    fingerprints: tuple[bytes, ...]
    number: int | None = None
    """A number that identifies the crash, if other nodes may have seen it too."""


class SuspectAnswered(msgspec.Struct, frozen=True):
    """The local back end answered a request during which other back ends had crashed."""

    fingerprint: bytes


class WorkContinued(msgspec.Struct, frozen=True):
    """The core may continue its sliced work; the answer to each ``ContinueWork``."""


class DrainRequested(msgspec.Struct, frozen=True):
    """The process has been asked to stop."""


Input = (
    Ticked
    | MessageReceived
    | FrameArriving
    | DocumentRead
    | DocumentUnchanged
    | DocumentReadFailed
    | BackendLeavingObserved
    | BackendCrashed
    | SuspectAnswered
    | DrainRequested
    | WorkContinued
)
