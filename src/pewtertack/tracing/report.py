"""A timeline as text and as plain data for JSON."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from pewtertack.tracing.crashes import running_requests
from pewtertack.tracing.reading import ReadCounts
from pewtertack.tracing.timeline import TimedLine, Timeline

ORDER_NOTE = (
    "Ordered within a node by its steady clock, between nodes by cause;"
    " a node's wall clock is not used where cause says enough."
)
INDENT = "  "
LONG_FIELDS = frozenset({"routes", "services", "secrets", "digest", "request"})
"""Not shown: they name a whole revision, or what the heading names."""


def report_lines(timeline: Timeline, counts: ReadCounts) -> Iterator[str]:
    """Yield the lines of the report."""
    yield f"request {timeline.request}"
    yield ORDER_NOTE
    if counts.left_out or counts.broken:
        yield (
            f"Incomplete: nodes left out {counts.left_out} lines in all,"
            f" {counts.broken} lines were cut or damaged."
        )
    yield from _timeline_lines(timeline, "")


def _timeline_lines(timeline: Timeline, indent: str) -> Iterator[str]:
    for timed_line in timeline.timed_lines:
        yield indent + _timed_line_line(timed_line)
    for node, seconds in sorted(timeline.uncertainty.items()):
        yield f"{indent}lines of {node} may be off by {seconds * 1000:.1f} ms"
    if timeline.state_changes:
        yield f"{indent}what these nodes came to believe, from 3 s before:"
        for timed_line in timeline.state_changes:
            yield indent + INDENT + _timed_line_line(timed_line)
    if timeline.crashes:
        yield f"{indent}back ends that ended while they ran this request, under whichever id:"
        for line in timeline.crashes:
            ran = ", ".join(name for name, _ in running_requests(line))
            ended = f"{line.time:.3f}  {line.node:<15} {line.fields.get('backend')} ran {ran}"
            yield indent + INDENT + ended
    for nested in timeline.nested:
        yield f"{indent}call within it: request {nested.request}"
        yield from _timeline_lines(nested, indent + INDENT)


def _timed_line_line(timed_line: TimedLine) -> str:
    line = timed_line.line
    fields = " ".join(
        f"{name}={_format_value(value)}"
        for name, value in line.fields.items()
        if name not in LONG_FIELDS and value not in (None, "")
    )
    return f"{timed_line.at * 1000:10.1f} ms  {line.node:<15} {line.event:<20} {fields}"


def _format_value(value: Any) -> str:
    text = str(value)
    return repr(text) if " " in text else text


def report_data(timeline: Timeline, counts: ReadCounts) -> dict[str, Any]:
    """Return the report as plain data; times in seconds from the first line."""
    return {
        **_timeline_data(timeline),
        "order": ORDER_NOTE,
        "lines_left_out": counts.left_out,
        "lines_broken": counts.broken,
    }


def _timeline_data(timeline: Timeline) -> dict[str, Any]:
    return {
        "request": timeline.request,
        "lines": [_timed_line_data(timed_line) for timed_line in timeline.timed_lines],
        "beliefs": [_timed_line_data(timed_line) for timed_line in timeline.state_changes],
        "uncertainty": timeline.uncertainty,
        "ends": [
            {"time": line.time, "node": line.node, **line.fields} for line in timeline.crashes
        ],
        "inner": [_timeline_data(nested) for nested in timeline.nested],
    }


def _timed_line_data(timed_line: TimedLine) -> dict[str, Any]:
    line = timed_line.line
    return {
        "at": round(timed_line.at, 6),
        "node": line.node,
        "incarnation": line.incarnation,
        "event": line.event,
        **{name: value for name, value in line.fields.items() if name not in LONG_FIELDS},
    }
