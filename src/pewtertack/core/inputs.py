"""Events that drive the coordination core. Times are monotonic seconds."""

from __future__ import annotations

import msgspec

from pewtertack.core.items import ItemFinding
from pewtertack.core.revision import Document
from pewtertack.errors import ReadFailure
from pewtertack.wire.messages import DocumentKind, Message


class Ticked(msgspec.Struct, frozen=True):
    """The runtime's periodic call, every ``TimingProfile.tick`` seconds."""


class MessageReceived(msgspec.Struct, frozen=True):
    """An authenticated message from the process ``incarnation`` of the peer ``sender``."""

    sender: str
    sender_address: str
    incarnation: int
    message: Message


class FrameArriving(msgspec.Struct, frozen=True):
    """Bytes of a frame that is not yet whole, nor authenticated, have come from ``host``.

    Told of long frames from time to time, so that who waits for one knows of it.
    """

    host: str
    """IP number of the peer."""


class DocumentRead(msgspec.Struct, frozen=True):
    """The platform answered a ``ReadDocument`` with a document under its number."""

    kind: DocumentKind
    number: int
    document: Document
    stale: bool = False
    """The answer may be some seconds old: it confirms nothing."""
    findings: tuple[ItemFinding, ...] = ()
    """What was passed over since it cannot be understood."""
    answer_findings: tuple[ItemFinding, ...] = ()
    """What is wrong with the platform's answers themselves."""
    read_id: int = 0
    """``ReadDocument.read_id``; 0 where the oldest open read is meant."""
    answer_seconds: float | None = None
    """Seconds that the source needed beyond the wait, where that is known."""


class DocumentUnchanged(msgspec.Struct, frozen=True):
    """The platform answered a ``ReadDocument`` with "not modified"."""

    kind: DocumentKind
    answer_findings: tuple[ItemFinding, ...] = ()
    read_id: int = 0
    answer_seconds: float | None = None


class DocumentReadFailed(msgspec.Struct, frozen=True):
    """The platform gave no usable answer to a ``ReadDocument``."""

    kind: DocumentKind
    reason: str
    retry_after: float | None = None
    answer_findings: tuple[ItemFinding, ...] = ()
    read_id: int = 0
    answer_seconds: float | None = None
    failure: ReadFailure | None = None
    """How the read ended, where the reader tells."""


class BackendLeavingObserved(msgspec.Struct, frozen=True):
    """A back end's own answer said that it is leaving."""

    name: str
    address: str
    started_at: int = 0


class BackendCrashed(msgspec.Struct, frozen=True):
    """A back end ended while it ran the requests of these fingerprints."""

    fingerprints: tuple[bytes, ...]
    number: int | None = None
    """The end's number, where other nodes may have seen the same one."""


class SuspectAnswered(msgspec.Struct, frozen=True):
    """The back end beside this node answered a request under which others had ended."""

    fingerprint: bytes


class WorkContinued(msgspec.Struct, frozen=True):
    """The core may go on with what it has begun; answers each ``ContinueWork``."""


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
