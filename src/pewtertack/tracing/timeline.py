"""Orders the lines of one request, and of the calls within it, over machines.

Within a process lines are ordered by its steady clock. Between processes the clocks are
set against each other by cause: an attempt reaches its gateway after the proxy has chosen
it and ends there before the proxy knows. The middle of what this allows is taken; the
spread is told as the uncertainty.
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
"""A call within a request has the request's id, this and an id of its own."""
STATE_CHANGE_LOOKBACK_SECONDS = 3.0
"""Changes of belief this long before the request's first line are shown with it."""

Process = tuple[str, int]
"""Name and incarnation."""


@dataclass(frozen=True, slots=True)
class TimedLine:
    """A line at its place on the common time line; ``at`` in seconds from the first line."""

    at: float
    line: LogLine


@dataclass(frozen=True, slots=True)
class Timeline:
    """One request's way."""

    request: str
    timed_lines: tuple[TimedLine, ...]
    state_changes: tuple[TimedLine, ...]
    """What the nodes on the way had come to believe shortly before, and meanwhile."""
    uncertainty: dict[str, float]
    """Seconds by which a node's lines may be off against the first node's."""
    nested: tuple[Timeline, ...] = ()
    """Calls that the back end made while it ran the request."""
    crashes: tuple[LogLine, ...] = ()
    """Ends of back ends that speak against the request, whichever id it came under."""


@dataclass(slots=True)
class _Clocks:
    """Offsets that bring each process's steady clock to the first process's."""

    offsets: dict[Process, float] = field(default_factory=dict)
    uncertainty: dict[str, float] = field(default_factory=dict)

    def at(self, line: LogLine) -> float:
        return line.uptime + self.offsets.get(_process(line), 0.0)


def build_timeline(lines: Sequence[LogLine], request: str) -> Timeline:
    """Return the way of ``request``.

    Raises:
        RequestUnknownError: no line names it.
    """
    own = [line for line in lines if line.request == request]
    if not own:
        raise RequestUnknownError(f"no line names request {request}")
    clocks = _set_clocks(own)
    ordered = sorted(own, key=clocks.at)
    begin = clocks.at(ordered[0])
    timed_lines = tuple(TimedLine(clocks.at(line) - begin, line) for line in ordered)
    state_changes = _state_changes(lines, clocks, begin, timed_lines[-1].at)
    nested = tuple(build_timeline(lines, name) for name in _nested_requests(lines, request))
    crashes = crashes_during(lines, request)
    return Timeline(request, timed_lines, state_changes, clocks.uncertainty, nested, crashes)


def _process(line: LogLine) -> Process:
    return line.node, line.incarnation


def _set_clocks(own: list[LogLine]) -> _Clocks:
    clocks = _Clocks()
    proxy_lines = [line for line in own if not line.event.startswith(GATEWAY_PREFIX)]
    first = min(proxy_lines or own, key=lambda line: line.time)
    clocks.offsets[_process(first)] = 0.0
    for process in {_process(line) for line in own} - {_process(first)}:
        _set_clock(clocks, own, proxy_lines, process, first)
    return clocks


def _set_clock(
    clocks: _Clocks,
    own: list[LogLine],
    proxy_lines: list[LogLine],
    process: Process,
    first: LogLine,
) -> None:
    there = sorted(
        (line for line in own if _process(line) == process), key=lambda item: item.uptime
    )
    backend = there[0].fields.get("backend")
    bounds = _attempt_bounds(proxy_lines, str(backend))
    if bounds is None:
        clocks.offsets[process] = there[0].time - first.time + first.uptime - there[0].uptime
        return
    earliest = bounds[0] - there[0].uptime
    latest = max(earliest, bounds[1] - there[-1].uptime)
    clocks.offsets[process] = (earliest + latest) / 2
    clocks.uncertainty[process[0]] = round((latest - earliest) / 2, 6)


def _attempt_bounds(proxy_lines: list[LogLine], backend: str) -> tuple[float, float] | None:
    """Return when the proxy chose ``backend`` and when it knew the attempt's end."""
    ordered = sorted(proxy_lines, key=lambda line: line.uptime)
    chosen: float | None = None
    for line in ordered:
        if line.event == ROUTED_EVENT and line.fields.get("backend") == backend:
            chosen = line.uptime
        elif chosen is not None and line.event in ATTEMPT_END_EVENTS:
            return chosen, line.uptime
    return None


def _state_changes(
    lines: Iterable[LogLine], clocks: _Clocks, begin: float, end: float
) -> tuple[TimedLine, ...]:
    found = [
        TimedLine(clocks.at(line) - begin, line)
        for line in lines
        if line.event in STATE_CHANGE_EVENTS and _process(line) in clocks.offsets
    ]
    near = [
        timed_line for timed_line in found if -STATE_CHANGE_LOOKBACK_SECONDS <= timed_line.at <= end
    ]
    return tuple(sorted(near, key=lambda timed_line: timed_line.at))


def _nested_requests(lines: Sequence[LogLine], request: str) -> list[str]:
    """Return the ids of the calls that the back end made: its request's id and more."""
    prefix = request + NESTED_ID_SEPARATOR
    named = (line.request for line in lines if line.request.startswith(prefix))
    return [name for name in dict.fromkeys(named) if NESTED_ID_SEPARATOR not in name[len(prefix) :]]
