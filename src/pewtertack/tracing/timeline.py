"""Orders the log lines of a request and its nested calls across machines.

Within a process, lines are ordered by its monotonic clock. Clocks of different processes are
aligned by causality: an attempt reaches its gateway after the proxy has chosen it, and ends
there before the proxy learns of its end. The midpoint of the possible offsets is used, and
half of their range is reported as the uncertainty.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from pewtertack.tracing.crashes import crashes_during
from pewtertack.tracing.errors import RequestUnknownError
from pewtertack.tracing.reading import LogLine

ROUTED_EVENT = "REQUEST_ROUTED"
ATTEMPT_END_EVENTS = frozenset(
    {
        *("REQUEST_RETRIED", "REQUEST_NOT_RETRIED", "REQUEST_ANSWERED", "REQUEST_CUT"),
        *("REQUEST_CANCELLED", "REQUEST_REFUSED"),
    }
)
GATEWAY_PREFIX = "GATEWAY_"
STATE_CHANGE_EVENTS = frozenset(
    {
        *("REVISION_IN_FORCE", "BACKEND_SEEN", "BACKEND_LEAVING", "BACKEND_GONE"),
        *("BACKEND_EJECTED", "BACKEND_RETURNED", "SOURCE_LOST", "SOURCE_REGAINED"),
        *("MEMBER_SUSPECT", "MEMBER_DEAD", "NODE_SERVING", "NODE_JOINING", "NODE_WOKE"),
        *("NODE_DRAINING",),
    }
)
NESTED_ID_SEPARATOR = "."
"""The id of a nested call consists of its request's id, this separator and an id of its own."""
STATE_CHANGE_LOOKBACK_SECONDS = 3.0
"""State changes from this long before the first line of the request are included."""

ProcessId = tuple[str, int]
"""Name and incarnation."""


@dataclass(frozen=True, slots=True)
class TimedLine:
    """A line with its time ``at`` on the common clock, in seconds since the first line."""

    at: float
    line: LogLine


@dataclass(frozen=True, slots=True)
class Timeline:
    """The path of one request over the nodes."""

    request: str
    timed_lines: tuple[TimedLine, ...]
    state_changes: tuple[TimedLine, ...]
    """State changes of the involved nodes, shortly before and during the request."""
    uncertainty: dict[str, float]
    """Seconds by which the lines of a node may be off relative to those of the first node."""
    nested: tuple[Timeline, ...] = ()
    """Calls that the back end made while it executed the request."""
    crashes: tuple[LogLine, ...] = ()
    """Back-end crashes that count against the request, under any of its ids."""


@dataclass(slots=True)
class _ClockAlignment:
    """Offsets that align the monotonic clock of each process with that of the first one."""

    offsets: dict[ProcessId, float] = field(default_factory=dict)
    uncertainty: dict[str, float] = field(default_factory=dict)

    def at(self, line: LogLine) -> float:
        return line.uptime + self.offsets.get(_process_id(line), 0.0)


def build_timeline(lines: Sequence[LogLine], request: str) -> Timeline:
    """Return the timeline of ``request``.

    Raises:
        RequestUnknownError: no line mentions it.
    """
    request_lines = [line for line in lines if line.request == request]
    if not request_lines:
        raise RequestUnknownError(f"no line mentions request {request}")
    clocks = _align_clocks(request_lines)
    ordered = sorted(request_lines, key=clocks.at)
    first_at = clocks.at(ordered[0])
    timed_lines = tuple(TimedLine(clocks.at(line) - first_at, line) for line in ordered)
    state_changes = _state_changes(lines, clocks, first_at, timed_lines[-1].at)
    nested = tuple(build_timeline(lines, name) for name in _nested_requests(lines, request))
    crashes = crashes_during(lines, request)
    return Timeline(request, timed_lines, state_changes, clocks.uncertainty, nested, crashes)


def _process_id(line: LogLine) -> ProcessId:
    return line.node, line.incarnation


def _align_clocks(request_lines: list[LogLine]) -> _ClockAlignment:
    clocks = _ClockAlignment()
    proxy_lines = [line for line in request_lines if not line.event.startswith(GATEWAY_PREFIX)]
    first = min(proxy_lines or request_lines, key=lambda line: line.time)
    clocks.offsets[_process_id(first)] = 0.0
    for process in {_process_id(line) for line in request_lines} - {_process_id(first)}:
        _align_process(clocks, request_lines, proxy_lines, process, first)
    return clocks


def _align_process(
    clocks: _ClockAlignment,
    request_lines: list[LogLine],
    proxy_lines: list[LogLine],
    process: ProcessId,
    first: LogLine,
) -> None:
    process_lines = sorted(
        (line for line in request_lines if _process_id(line) == process),
        key=lambda item: item.uptime,
    )
    backend = process_lines[0].fields.get("backend")
    bounds = _attempt_bounds(proxy_lines, str(backend))
    if bounds is None:
        clocks.offsets[process] = (
            process_lines[0].time - first.time + first.uptime - process_lines[0].uptime
        )
        return
    earliest = bounds[0] - process_lines[0].uptime
    latest = max(earliest, bounds[1] - process_lines[-1].uptime)
    clocks.offsets[process] = (earliest + latest) / 2
    clocks.uncertainty[process[0]] = round((latest - earliest) / 2, 6)


def _attempt_bounds(proxy_lines: list[LogLine], backend: str) -> tuple[float, float] | None:
    """Return when the proxy chose ``backend`` and when it learned that the attempt ended."""
    ordered = sorted(proxy_lines, key=lambda line: line.uptime)
    chosen: float | None = None
    for line in ordered:
        if line.event == ROUTED_EVENT and line.fields.get("backend") == backend:
            chosen = line.uptime
        elif chosen is not None and line.event in ATTEMPT_END_EVENTS:
            return chosen, line.uptime
    return None


def _state_changes(
    lines: Iterable[LogLine], clocks: _ClockAlignment, first_at: float, end: float
) -> tuple[TimedLine, ...]:
    candidates = [
        TimedLine(clocks.at(line) - first_at, line)
        for line in lines
        if line.event in STATE_CHANGE_EVENTS and _process_id(line) in clocks.offsets
    ]
    recent = [
        timed_line
        for timed_line in candidates
        if -STATE_CHANGE_LOOKBACK_SECONDS <= timed_line.at <= end
    ]
    return tuple(sorted(recent, key=lambda timed_line: timed_line.at))


def _nested_requests(lines: Sequence[LogLine], request: str) -> list[str]:
    """Return the ids of the direct nested calls of ``request``."""
    prefix = request + NESTED_ID_SEPARATOR
    ids = (line.request for line in lines if line.request.startswith(prefix))
    return [name for name in dict.fromkeys(ids) if NESTED_ID_SEPARATOR not in name[len(prefix) :]]
