"""Numbered events as JSON lines on standard output, through logbook.

One line is ``{"time", "number", "event", "node", "incarnation", ...}``: ``time``
is Unix time in seconds, the rest are the event's fields.
"""

from __future__ import annotations

import sys
import time
from typing import Any, TextIO

import logbook
import msgspec

from pewtertack.events import Event

CHANNEL = "pewtertack"


class EventLog:
    """Records numbered events of one process under its name and incarnation."""

    def __init__(self, node: str, incarnation: int, stream: TextIO | None = None) -> None:
        self._logger = logbook.Logger(CHANNEL)
        self._identity = {"node": node, "incarnation": incarnation}
        handler = logbook.StreamHandler(stream or sys.stdout, level=logbook.INFO)
        handler.formatter = _format_record
        self._logger.handlers.append(handler)

    def record(self, event: Event, **fields: Any) -> None:
        """Write one line. Fields may not be named like those that every line has."""
        line = {
            "time": round(time.time(), 6),
            "number": event.number,
            "event": event.name,
            **self._identity,
            **fields,
        }
        self._logger.info(event.name, extra={"line": line})


def _format_record(record: logbook.LogRecord, _: logbook.Handler) -> str:
    return msgspec.json.encode(record.extra["line"], enc_hook=str).decode()
