"""Numbered events as JSON lines on standard output, through logbook.

One line is ``{"time", "number", "event", "node", "incarnation", "uptime", ...}``:
``time`` is Unix time in seconds, ``uptime`` is monotonic seconds since the process started
logging, and the rest are the fields of the event.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from functools import partial
from typing import Any, TextIO

import logbook
import msgspec

from pewtertack.events import REQUEST_EVENT_SERIES, Event
from pewtertack.json_encoding import encode_json
from pewtertack.log_writer import BoundedWriter, LineSink

CHANNEL = "pewtertack"


_boot_time_ns = partial(time.clock_gettime_ns, time.CLOCK_BOOTTIME)
"""Returns monotonic nanoseconds that include the time suspended, like the node's clock."""
HALF_MICROSECOND_NS = 500
MICROSECOND_NS = 1000
MICROSECONDS_PER_SECOND = 1_000_000


class _StreamSink:
    """Writes each line to a text stream immediately."""

    def __init__(self, stream: TextIO) -> None:
        self._stream = stream

    def write(self, line: bytes, routine: bool) -> None:  # noqa: ARG002 (interface)
        """Write one line."""
        self._stream.write(line.decode() + "\n")
        self._stream.flush()


_encode = msgspec.json.Encoder(enc_hook=str).encode


def _encode_line(line: dict[str, Any]) -> bytes:
    return encode_json(line, enc_hook=str)


class _SinkHandler(logbook.Handler):  # type: ignore[misc]
    """Passes the line of every record to a sink."""

    def __init__(self, sink: LineSink) -> None:
        super().__init__(level=logbook.INFO)
        self._sink = sink

    def emit(self, record: logbook.LogRecord) -> None:
        """Write one record."""
        self._sink.write(_encode_line(record.extra["line"]), record.extra["routine"])


class EventLog:
    """Records numbered events of one process under its name and incarnation.

    Without a ``stream``, lines go to standard output through a writer that never blocks
    (``pewtertack.log_writer``); ``clock`` is the monotonic time of that writer.
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
        self._common_fields: dict[int, dict[str, Any]] = {}
        """The fields common to all lines of an event, by the number of the event."""
        self._started = _boot_time_ns()
        self._writer: BoundedWriter | None = None
        sink = self._make_sink(stream, clock)
        self._write = sink.write
        self._logger.handlers.append(_SinkHandler(sink))

    def _make_sink(self, stream: TextIO | None, clock: Callable[[], float]) -> LineSink:
        if stream is not None:
            return _StreamSink(stream)
        self._writer = BoundedWriter(sys.stdout.fileno(), self._dropped_line, clock)
        return self._writer

    def record(self, event: Event, **fields: Any) -> None:
        """Write one line. No field may have the name of a field that all lines have.

        Request events bypass logbook and go directly to the sink: each request, served or
        rejected, logs several, and logbook's records took a tenth of the processor time of
        a served request.
        """
        line = self._line(event, fields)
        if event.number // 100 == REQUEST_EVENT_SERIES:
            try:
                encoded = _encode(line)
            except OverflowError:
                encoded = _encode_line(line)
            self._write(encoded, event.routine)
        else:
            self._logger.info(event.name, extra={"line": line, "routine": False})

    def close(self) -> None:
        """Write the buffered lines before the process exits."""
        if self._writer is not None:
            self._writer.close()

    def _line(self, event: Event, fields: dict[str, Any]) -> dict[str, Any]:
        common = self._common_fields.get(event.number)
        if common is None:
            common = {"number": event.number, "event": event.name, **self._identity}
            self._common_fields[event.number] = common
        # Rounds to microseconds with integer arithmetic, which takes 0.1 us; ``round(seconds, 6)``
        # takes 5 us, and each hop of a request logs four lines.
        uptime = _boot_time_ns() - self._started
        return {
            "time": (time.time_ns() + HALF_MICROSECOND_NS)
            // MICROSECOND_NS
            / MICROSECONDS_PER_SECOND,
            **common,
            "uptime": (uptime + HALF_MICROSECOND_NS) // MICROSECOND_NS / MICROSECONDS_PER_SECOND,
            **fields,
        }

    def _dropped_line(self, routine: int, other: int) -> bytes:
        line = self._line(Event.LOG_LINES_LEFT_OUT, {"routine": routine, "other": other})
        return msgspec.json.encode(line)
