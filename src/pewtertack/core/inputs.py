"""Events that drive the coordination core. Times are monotonic seconds."""

from __future__ import annotations

from dataclasses import dataclass

from pewtertack.core.revision import Document
from pewtertack.wire.messages import DocumentKind, Message


@dataclass(frozen=True, slots=True)
class Ticked:
    """The runtime's periodic call, every ``TimingProfile.tick`` seconds."""


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """An authenticated message from the process ``incarnation`` of the peer ``sender``."""

    sender: str
    sender_address: str
    incarnation: int
    message: Message


@dataclass(frozen=True, slots=True)
class DocumentRead:
    """The platform answered a ``ReadDocument`` with a document under its number."""

    kind: DocumentKind
    number: int
    document: Document
    stale: bool = False
    """The answer may be some seconds old: it confirms nothing."""


@dataclass(frozen=True, slots=True)
class DocumentUnchanged:
    """The platform answered a ``ReadDocument`` with "not modified"."""

    kind: DocumentKind


@dataclass(frozen=True, slots=True)
class DocumentReadFailed:
    """The platform gave no usable answer to a ``ReadDocument``."""

    kind: DocumentKind
    reason: str
    retry_after: float | None = None


@dataclass(frozen=True, slots=True)
class BackendLeavingObserved:
    """A back end's own answer said that it is leaving."""

    name: str
    address: str


@dataclass(frozen=True, slots=True)
class DrainRequested:
    """The process has been asked to stop."""


Input = (
    Ticked
    | MessageReceived
    | DocumentRead
    | DocumentUnchanged
    | DocumentReadFailed
    | BackendLeavingObserved
    | DrainRequested
)
