"""Reads logs of nodes: JSON lines, which may have a prefix from another program."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from pewtertack.events import Event
from pewtertack.tracing.errors import LogUnreadableError, LogWithoutLinesError

COMMON_FIELDS = frozenset({"time", "number", "event", "node", "incarnation", "uptime"})


@dataclass(frozen=True, slots=True)
class LogLine:
    """One event of one process.

    ``time`` is the node's Unix time and may jump; ``uptime`` is monotonic within the
    process ``(node, incarnation)``.
    """

    time: float
    event: str
    node: str
    incarnation: int
    uptime: float
    fields: dict[str, Any]

    @property
    def request(self) -> str:
        """Id of the request that the event concerns, or an empty string."""
        return str(self.fields.get("request", ""))


@dataclass(slots=True)
class ReadCounts:
    """Numbers of lines. ``malformed`` ones begin like an event but are truncated or corrupt."""

    lines: int = 0
    malformed: int = 0
    dropped: int = 0
    """Lines that nodes report to have dropped."""


def read_logs(paths: Iterable[Path], counts: ReadCounts) -> list[LogLine]:
    """Return the events of all files.

    Raises:
        LogUnreadableError: a file cannot be read.
        LogWithoutLinesError: a file contains no event.
    """
    events: list[LogLine] = []
    for path in paths:
        lines = list(_read_file(path, counts))
        if not lines:
            raise LogWithoutLinesError(f"{path}: no line of a node's log")
        events += lines
    return events


def _read_file(path: Path, counts: ReadCounts) -> Iterator[LogLine]:
    try:
        with path.open("rb") as file:
            for raw in file:
                line = _read_line(raw, counts)
                if line is not None:
                    yield line
    except OSError as error:
        raise LogUnreadableError(f"{path}: {error.strerror}") from error


def _read_line(raw: bytes, counts: ReadCounts) -> LogLine | None:
    start = raw.find(b'{"time"')
    if start < 0:
        return None
    try:
        value = msgspec.json.decode(raw[start:])
        line = _make_log_line(value)
    except (msgspec.MsgspecError, KeyError, TypeError, ValueError):
        counts.malformed += 1
        return None
    counts.lines += 1
    if line.event == Event.LOG_LINES_LEFT_OUT.name:
        _add_dropped(line, counts)
    return line


def _add_dropped(line: LogLine, counts: ReadCounts) -> None:
    """Add the numbers of lines that a node has dropped; a line without them is malformed."""
    try:
        counts.dropped += int(line.fields["routine"]) + int(line.fields["other"])
    except (KeyError, TypeError, ValueError):
        counts.malformed += 1


def _make_log_line(value: dict[str, Any]) -> LogLine:
    fields = {name: item for name, item in value.items() if name not in COMMON_FIELDS}
    return LogLine(
        time=float(value["time"]),
        event=str(value["event"]),
        node=str(value["node"]),
        incarnation=int(value["incarnation"]),
        uptime=float(value.get("uptime", value["time"])),
        fields=fields,
    )
