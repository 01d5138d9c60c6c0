"""Records the HTTP server's log messages as numbered events."""

from __future__ import annotations

import logging

from pewtertack.events import Event
from pewtertack.log import EventLog
from pewtertack.node import clock
from pewtertack.node.http.cycle import LOGGER_NAME

REPEAT_INTERVAL_SECONDS = 1.0
"""Minimum seconds between two records of the same message."""


class LibraryLogHandler(logging.Handler):
    """Records warnings and errors of a library as ``HTTP_SERVER_WARNING``.

    Without a handler, logging would write plain text to standard error.
    """

    def __init__(self, log: EventLog) -> None:
        super().__init__(logging.WARNING)
        self._log = log
        self._recorded_at: dict[str, float] = {}

    def emit(self, record: logging.LogRecord) -> None:
        """Record one message with the exception attached to it, if any."""
        message = record.getMessage()
        now = clock.now()
        if now - self._recorded_at.get(message, -REPEAT_INTERVAL_SECONDS) < REPEAT_INTERVAL_SECONDS:
            return
        self._recorded_at = {message: now}
        error = record.exc_info[1] if record.exc_info else None
        self._log.record(
            Event.HTTP_SERVER_WARNING,
            reason=message.partition("\n")[0],
            type=type(error).__name__ if error else "",
            detail=str(error) if error else "",
        )


def record_library_log(log: EventLog) -> None:
    """Send the HTTP server's messages to ``log`` from now on, and nowhere else."""
    logger = logging.getLogger(LOGGER_NAME)
    logger.handlers = [LibraryLogHandler(log)]
    logger.setLevel(logging.WARNING)
    logger.propagate = False
