"""Numbered events as JSON lines on standard output, through logbook.

One line is ``{"time", "number", "event", "node", "incarnation", "uptime", ...}``:
``time`` is Unix time in seconds, ``uptime`` steady seconds since the process began to
log, the rest are the event's fields.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from functools import partial
from typing import Any, TextIO

import logbook
import msgspec

from pewtertack.events import REQUEST_EVENTS, Event
from pewtertack.log_writer import BoundedWriter, LineSink

CHANNEL = "pewtertack"


_steady = partial(time.clock_gettime_ns, time.CLOCK_BOOTTIME)
"""Returns nanoseconds that also pass while the machine is suspended, as on the node's clock."""
HALF_MICROSECOND = 500
MICROSECOND = 1000
PER_SECOND = 1_000_000


class _StreamSink:
    """Writes each line to a text stream at once."""

    def __init__(self, stream: TextIO) -> None:
        self._stream = stream

    def write(self, line: bytes, routine: bool) -> None:
        """Write one line."""
        self._stream.write(line.decode() + "\n")
        self._stream.flush()


_encode = msgspec.json.Encoder(enc_hook=str).encode


class _SinkHandler(logbook.Handler):  # type: ignore[misc]
    """Hands every record's line to a sink."""

    def __init__(self, sink: LineSink) -> None:
        super().__init__(level=logbook.INFO)
        self._sink = sink

    def emit(self, record: logbook.LogRecord) -> None:
        """Write one record."""
        self._sink.write(_encode(record.extra["line"]), record.extra["routine"])


class EventLog:
    """Records numbered events of one process under its name and incarnation.

    Without a ``stream`` lines go to standard output and never block
    (``pewtertack.log_writer``), whose monotonic time is ``clock``.
    """

    def __init__(
        self,
        node: str,
        incarnation: int,
        stream: TextIO | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._logger = logbook.Logger(CHANNEL)
        self._identity = {"node": node, "incarnation": incarnation}
        self._constants: dict[int, dict[str, Any]] = {}
        """What every line of an event has, by the event's number."""
        self._started = _steady()
        self._writer: BoundedWriter | None = None
        sink = self._sink_of(stream, clock)
        self._write = sink.write
        self._logger.handlers.append(_SinkHandler(sink))

    def _sink_of(self, stream: TextIO | None, clock: Callable[[], float]) -> LineSink:
        if stream is not None:
            return _StreamSink(stream)
        self._writer = BoundedWriter(sys.stdout.fileno(), self._left_out_line, clock)
        return self._writer

    def record(self, event: Event, **fields: Any) -> None:
        """Write one line. Fields may not be named like those that every line has.

        Lines of requests, several each, go to the sink without logbook's record, which took
        a tenth of a served request's processor time; a refused one has as many.
        """
        line = self._line(event, fields)
        if event.number // 100 == REQUEST_EVENTS:
            self._write(_encode(line), event.routine)
        else:
            self._logger.info(event.name, extra={"line": line, "routine": False})

    def close(self) -> None:
        """Write what is still buffered; the process is about to end."""
        if self._writer is not None:
            self._writer.close()

    def _line(self, event: Event, fields: dict[str, Any]) -> dict[str, Any]:
        constants = self._constants.get(event.number)
        if constants is None:
            constants = {"number": event.number, "event": event.name, **self._identity}
            self._constants[event.number] = constants
        # Seconds to the microsecond, here and by whole numbers: ``round(seconds, 6)`` takes 5 us,
        # this 0.1, and a hop has four lines.
        uptime = _steady() - self._started
        return {
            "time": (time.time_ns() + HALF_MICROSECOND) // MICROSECOND / PER_SECOND,
            **constants,
            "uptime": (uptime + HALF_MICROSECOND) // MICROSECOND / PER_SECOND,
            **fields,
        }

    def _left_out_line(self, routine: int, other: int) -> bytes:
        line = self._line(Event.LOG_LINES_LEFT_OUT, {"routine": routine, "other": other})
        return msgspec.json.encode(line)
