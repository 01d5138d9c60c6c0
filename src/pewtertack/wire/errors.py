"""Errors for refused frames. Refusals are counted by ``code``."""

from __future__ import annotations

from typing import ClassVar

from pewtertack.errors import ProtocolError


class OversizedFrameError(ProtocolError):
    """The frame is longer than its transport allows."""

    code: ClassVar[str] = "frame-oversized"


class TruncatedFrameError(ProtocolError):
    """The frame is shorter than its announced length or than any valid frame."""

    code: ClassVar[str] = "frame-truncated"


class StrangerFrameError(ProtocolError):
    """The authentication tag does not match: wrong fleet key, or the frame was altered."""

    code: ClassVar[str] = "frame-stranger"


class MalformedFrameError(ProtocolError):
    """The authenticated body is no envelope, or its message has invalid fields."""

    code: ClassVar[str] = "frame-malformed"


class WrongVersionError(ProtocolError):
    """The sender uses another version of the protocol."""

    code: ClassVar[str] = "frame-wrong-version"


class UnknownMessageError(ProtocolError):
    """The protocol has no message with this tag."""

    code: ClassVar[str] = "frame-unknown-message"


class ReplayedFrameError(ProtocolError):
    """The frame counter was seen before, or is older than the sender's replay window."""

    code: ClassVar[str] = "frame-replayed"
