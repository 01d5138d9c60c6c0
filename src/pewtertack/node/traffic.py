"""Counts the traffic between a node and its peers.

Bytes are those of frames and of the length prefixes of streams, without IP, UDP and TCP headers.
"""

from __future__ import annotations

from collections import Counter
from enum import StrEnum
from typing import NamedTuple

from pewtertack.wire.messages import (
    Announce,
    DeltaAnswer,
    DocumentKind,
    Message,
    PackedAnswer,
    ReaderHeartbeat,
    SnapshotAnswer,
)


class Direction(StrEnum):
    """Whether a frame was sent or received."""

    SENT = "sent"
    RECEIVED = "received"


class Purpose(StrEnum):
    """What the bytes of a frame are for."""

    CONTROL = "control"
    CONFIGURATION = "configuration"
    MACHINE_LIST = "machine-list"


class Flow(NamedTuple):
    """Key of one counter; ``kind`` is the message's type name."""

    direction: Direction
    kind: str
    purpose: Purpose


def purpose_of(message: Message) -> Purpose:
    """Distinguish document bodies from control traffic."""
    if isinstance(message, Announce) and message.delta is not None:
        return Purpose.CONFIGURATION
    if isinstance(message, ReaderHeartbeat) and message.deltas:
        return purpose_of(message.deltas[0])
    if isinstance(message, DeltaAnswer | SnapshotAnswer | PackedAnswer):
        if message.kind == DocumentKind.MACHINE_LIST:
            return Purpose.MACHINE_LIST
        return Purpose.CONFIGURATION
    return Purpose.CONTROL


class Traffic:
    """Messages and bytes by flow, refused frames and unsent messages by reason."""

    def __init__(self) -> None:
        self.messages: Counter[Flow] = Counter()
        self.bytes: Counter[Flow] = Counter()
        self.refused: Counter[str] = Counter()
        """Refused frames by the ``code`` of the refusal."""
        self.unsent: Counter[str] = Counter()
        """Messages dropped before or during sending, by reason."""

    def count(self, direction: Direction, message: Message, size: int) -> None:
        """Count one frame of ``size`` bytes."""
        flow = Flow(direction, type(message).__name__, purpose_of(message))
        self.messages[flow] += 1
        self.bytes[flow] += size

    def bytes_for(self, direction: Direction, purpose: Purpose) -> int:
        """Return the bytes of all flows of one direction and purpose."""
        return sum(
            size
            for flow, size in self.bytes.items()
            if flow.direction == direction and flow.purpose == purpose
        )
