"""Numbered events as JSON lines on standard output, through logbook.

One line is ``{"time", "number", "event", "node", "incarnation", "uptime", ...}``:
``time`` is Unix time in seconds, ``uptime`` steady seconds since the process began to
log, the rest are the event's fields.
"""

from __future__ import annotations

import sys
import time
from typing import Any, TextIO

import logbook
import msgspec

from pewtertack.events import Event
from pewtertack.log_writer import BoundedWriter, LineSink

CHANNEL = "pewtertack"


def _steady() -> float:
    """Return seconds that also pass while the machine is suspended, as the node's clock's do."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class _StreamSink:
    """Writes each line to a text stream at once."""

    def __init__(self, stream: TextIO) -> None:
        self._stream = stream

    def write(self, line: bytes, routine: bool) -> None:
        """Write one line."""
        self._stream.write(line.decode() + "\n")
        self._stream.flush()


def _encoded(line: dict[str, Any]) -> bytes:
    return msgspec.json.encode(line, enc_hook=str)


class _SinkHandler(logbook.Handler):  # type: ignore[misc]
    """Hands every record's line to a sink."""

    def __init__(self, sink: LineSink) -> None:
        super().__init__(level=logbook.INFO)
        self._sink = sink

    def emit(self, record: logbook.LogRecord) -> None:
        """Write one record."""
        self._sink.write(_encoded(record.extra["line"]), record.extra["routine"])


class EventLog:
    """Records numbered events of one process under its name and incarnation.

    Without a ``stream`` lines go to standard output and never block
    (``pewtertack.log_writer``).
    """

    def __init__(self, node: str, incarnation: int, stream: TextIO | None = None) -> None:
        self._logger = logbook.Logger(CHANNEL)
        self._identity = {"node": node, "incarnation": incarnation}
        self._started = _steady()
        self._writer: BoundedWriter | None = None
        self._sink = self._sink_of(stream)
        self._logger.handlers.append(_SinkHandler(self._sink))

    def _sink_of(self, stream: TextIO | None) -> LineSink:
        if stream is not None:
            return _StreamSink(stream)
        self._writer = BoundedWriter(sys.stdout.fileno(), self._left_out_line)
        return self._writer

    def record(self, event: Event, **fields: Any) -> None:
        """Write one line. Fields may not be named like those that every line has.

        Lines of requests, several each, go to the sink without logbook's record, which took
        a tenth of a served request's processor time; a refused one has as many.
        """
        line = self._line(event, fields)
        if event.of_request:
            self._sink.write(_encoded(line), event.routine)
        else:
            self._logger.info(event.name, extra={"line": line, "routine": False})

    def close(self) -> None:
        """Write what is still buffered; the process is about to end."""
        if self._writer is not None:
            self._writer.close()

    def _line(self, event: Event, fields: dict[str, Any]) -> dict[str, Any]:
        return {
            "time": round(time.time(), 6),
            "number": event.number,
            "event": event.name,
            **self._identity,
            "uptime": round(_steady() - self._started, 6),
            **fields,
        }

    def _left_out_line(self, routine: int, other: int) -> bytes:
        line = self._line(Event.LOG_LINES_LEFT_OUT, {"routine": routine, "other": other})
        return msgspec.json.encode(line)
