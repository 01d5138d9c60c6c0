"""The exception tree: every failure that pewtertack raises has a type of its own.

Each package defines its errors below one of the branches here. ``code`` is the
machine-readable name which command output, logs and HTTP answers carry.
"""

from __future__ import annotations

from enum import StrEnum
from typing import ClassVar


class PewtertackError(Exception):
    """Base of every error raised by this library."""

    code: ClassVar[str] = "pewtertack-error"


class ConfigurationError(PewtertackError):
    """The operators' tree cannot be read, parsed or accepted."""

    code: ClassVar[str] = "configuration-error"


class SettingsError(PewtertackError):
    """A settings file or flag of a process is wrong."""

    code: ClassVar[str] = "settings-error"


class ProtocolError(PewtertackError):
    """A frame from a peer is refused."""

    code: ClassVar[str] = "protocol-error"


class CoordinationError(PewtertackError):
    """A coordination state machine was used against its contract."""

    code: ClassVar[str] = "coordination-error"


class ReadFailure(StrEnum):
    """How a read of the configuration source or the machine list ended without a usable answer."""

    NO_CONNECTION = "no-connection"
    """No connection was made."""
    REFUSED = "refused"
    """The service answered that it does not serve the read."""
    SLOW = "slow"
    """Given up before the answer began, on a connection that stood."""
    UNFINISHED = "unfinished"
    """Given up, or cut off, after the answer had begun."""
    SILENT = "silent"
    """The other machine acknowledged nothing more on the connection."""
    CLOSED = "closed"
    """The other end closed the connection before the answer began."""
    UNUSABLE = "unusable"
    """A whole answer came that must not or cannot be used."""


class PlatformError(PewtertackError):
    """The configuration source or the machine list gave no usable answer."""

    code: ClassVar[str] = "platform-error"

    failure = ReadFailure.UNUSABLE
    """How the read ended."""


class RequestError(PewtertackError):
    """A caller's request ends without the back end's answer."""

    code: ClassVar[str] = "request-error"


class LabError(PewtertackError):
    """A stand-in, scenario or measurement tool cannot do what it was asked."""

    code: ClassVar[str] = "lab-error"
