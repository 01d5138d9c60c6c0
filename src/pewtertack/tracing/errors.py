"""Typed errors of the trace command."""

from __future__ import annotations

from typing import ClassVar

from pewtertack.errors import PewtertackError


class TraceError(PewtertackError):
    """Base of all errors of a trace."""

    code: ClassVar[str] = "trace"


class LogUnreadableError(TraceError):
    """A log file is missing or cannot be read."""

    code: ClassVar[str] = "log-unreadable"


class LogWithoutLinesError(TraceError):
    """A file contains no line of a node's log."""

    code: ClassVar[str] = "log-without-lines"


class RequestUnknownError(TraceError):
    """No line of any file mentions the request."""

    code: ClassVar[str] = "request-unknown"
