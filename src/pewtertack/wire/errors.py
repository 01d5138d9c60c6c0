"""Why a peer's frame was refused. Every refusal is counted by its ``code``."""

from __future__ import annotations

from typing import ClassVar

from pewtertack.errors import ProtocolError


class OversizedFrameError(ProtocolError):
    """The frame is longer than its channel allows."""

    code: ClassVar[str] = "frame-oversized"


class TruncatedFrameError(ProtocolError):
    """The frame ends before its announced or smallest possible length."""

    code: ClassVar[str] = "frame-truncated"


class StrangerFrameError(ProtocolError):
    """The tag does not match: the sender lacks the fleet key, or the frame was altered."""

    code: ClassVar[str] = "frame-stranger"


class MalformedFrameError(ProtocolError):
    """The authenticated body is not an envelope, or its message has wrong fields."""

    code: ClassVar[str] = "frame-malformed"


class WrongVersionError(ProtocolError):
    """The sender speaks another version of the protocol."""

    code: ClassVar[str] = "frame-wrong-version"


class UnknownMessageError(ProtocolError):
    """The message's tag is not in the protocol."""

    code: ClassVar[str] = "frame-unknown-message"


class ReplayedFrameError(ProtocolError):
    """The counter was seen before, or is older than the window of its sender."""

    code: ClassVar[str] = "frame-replayed"
