"""Base classes of the exception hierarchy; every failure has its own type.

Each package derives its errors from one of the classes here. ``code`` is the
machine-readable name used in command output, logs and HTTP responses.
"""

from __future__ import annotations

from enum import StrEnum
from typing import ClassVar


class PewtertackError(Exception):
    """Base of every error raised by this library."""

    code: ClassVar[str] = "pewtertack-error"


class ConfigurationError(PewtertackError):
    """The operators' configuration tree cannot be read, parsed or accepted."""

    code: ClassVar[str] = "configuration-error"


class SettingsError(PewtertackError):
    """A settings file or command-line flag of a process is invalid."""

    code: ClassVar[str] = "settings-error"


class ProtocolError(PewtertackError):
    """A frame from a peer is rejected."""

    code: ClassVar[str] = "protocol-error"


class CoordinationError(PewtertackError):
    """A coordination state machine was used contrary to its contract."""

    code: ClassVar[str] = "coordination-error"


class ReadFailure(StrEnum):
    """Why a read of the configuration source or the machine list gave no usable response."""

    NO_CONNECTION = "no-connection"
    """No connection could be established."""
    REFUSED = "refused"
    """The service responded that it does not serve the read."""
    SLOW = "slow"
    """Timed out on an established connection before the response began."""
    UNFINISHED = "unfinished"
    """Timed out or disconnected after the response had begun."""
    SILENT = "silent"
    """The remote machine stopped acknowledging data on the connection."""
    CLOSED = "closed"
    """The remote end closed the connection before the response began."""
    UNUSABLE = "unusable"
    """A complete response arrived that is invalid or must not be used."""


class PlatformError(PewtertackError):
    """The configuration source or the machine list gave no usable response."""

    code: ClassVar[str] = "platform-error"

    failure = ReadFailure.UNUSABLE
    """Why the read failed."""


class RequestError(PewtertackError):
    """A caller's request ends without a response of a back end."""

    code: ClassVar[str] = "request-error"


class LabError(PewtertackError):
    """A stand-in, scenario or measurement tool cannot do what was requested."""

    code: ClassVar[str] = "lab-error"
