"""Formats a timeline as text and as plain data for JSON."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from pewtertack.tracing.crashes import running_requests
from pewtertack.tracing.reading import ReadCounts
from pewtertack.tracing.timeline import TimedLine, Timeline

ORDER_NOTE = (
    "Ordered by the monotonic clock within a node and by causality between nodes;"
    " wall clocks are used only where causality does not determine the order."
)
INDENT = "  "
HIDDEN_FIELDS = frozenset({"routes", "services", "secrets", "digest", "request"})
"""Fields that are not shown, as they describe an entire revision or repeat the heading."""


def report_lines(timeline: Timeline, counts: ReadCounts) -> Iterator[str]:
    """Yield the lines of the report."""
    yield f"request {timeline.request}"
    yield ORDER_NOTE
    if counts.dropped or counts.malformed:
        yield (
            f"Incomplete: nodes dropped {counts.dropped} lines in total,"
            f" {counts.malformed} lines were truncated or corrupt."
        )
    yield from _timeline_lines(timeline, "")


def _timeline_lines(timeline: Timeline, indent: str) -> Iterator[str]:
    for timed_line in timeline.timed_lines:
        yield indent + _format_timed_line(timed_line)
    for node, seconds in sorted(timeline.uncertainty.items()):
        yield f"{indent}times of {node} are accurate to {seconds * 1000:.1f} ms"
    if timeline.state_changes:
        yield f"{indent}state changes of these nodes, from 3 s before the request:"
        for timed_line in timeline.state_changes:
            yield indent + INDENT + _format_timed_line(timed_line)
    if timeline.crashes:
        yield f"{indent}back ends that crashed while they executed this request, under any id:"
        for line in timeline.crashes:
            requests = ", ".join(name for name, _ in running_requests(line))
            crash = (
                f"{line.time:.3f}  {line.node:<15} {line.fields.get('backend')} executed {requests}"
            )
            yield indent + INDENT + crash
    for nested in timeline.nested:
        yield f"{indent}nested call: request {nested.request}"
        yield from _timeline_lines(nested, indent + INDENT)


def _format_timed_line(timed_line: TimedLine) -> str:
    line = timed_line.line
    fields = " ".join(
        f"{name}={_format_value(value)}"
        for name, value in line.fields.items()
        if name not in HIDDEN_FIELDS and value not in (None, "")
    )
    return f"{timed_line.at * 1000:10.1f} ms  {line.node:<15} {line.event:<20} {fields}"


def _format_value(value: Any) -> str:
    text = str(value)
    return repr(text) if " " in text else text


def report_data(timeline: Timeline, counts: ReadCounts) -> dict[str, Any]:
    """Return the report as plain data; times are seconds since the first line."""
    return {
        **_timeline_data(timeline),
        "order": ORDER_NOTE,
        "lines_left_out": counts.dropped,
        "lines_broken": counts.malformed,
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
        **{name: value for name, value in line.fields.items() if name not in HIDDEN_FIELDS},
    }
