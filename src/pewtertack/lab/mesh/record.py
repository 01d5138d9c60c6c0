"""What callers, back ends and nodes have recorded in one run."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterator, Sequence

import anyio
import msgspec

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses of a node's own answer that promise that the request has not run and never will."""
RUN = "run"
"""``BackendEvent.what`` at the start of an execution."""


class BackendEvent(msgspec.Struct, frozen=True):
    """One step of a back end with a request."""

    at: float
    backend: str
    request_id: str
    what: str


class CallerAttempt(msgspec.Struct, frozen=True):
    """One attempt of a caller. Times are in seconds of the event loop's clock."""

    request_id: str
    kind: str
    node: str
    sent_at: float
    ended_at: float
    status: int
    """Status of the answer, 0 without one."""
    answered_by_backend: bool
    repeatable: bool


class NodeLine(msgspec.Struct, frozen=True):
    """A log line of a node that names a request."""

    at: float
    node: str
    text: str


class MeshRecord:
    """Collects the records of a run."""

    def __init__(self) -> None:
        self.attempts: list[CallerAttempt] = []
        self.backend_events: list[BackendEvent] = []
        self.faults: Counter[str] = Counter()
        """Number of faults injected, by kind."""
        self.started_at = anyio.current_time()
        self._node_lines: dict[str, list[NodeLine]] = defaultdict(list)
        self._fault_lines: list[tuple[float, str]] = []

    def note_backend(self, backend: str, request_id: str, what: str) -> None:
        """Record a step of a back end."""
        self.backend_events.append(BackendEvent(anyio.current_time(), backend, request_id, what))

    def note_fault(self, kind: str, detail: str) -> None:
        """Record the start or the end of a fault."""
        self.faults[kind] += 1
        self._fault_lines.append((anyio.current_time(), f"{kind}: {detail}"))

    def note_node_line(self, node: str, request_id: str, text: str) -> None:
        """Record a node's log line about a request."""
        self._node_lines[request_id].append(NodeLine(anyio.current_time(), node, text))

    def count_runs(self) -> int:
        """Return the number of executions of requests that may not run twice."""
        once = {item.request_id for item in self.attempts if not item.repeatable}
        return sum(item.what == RUN and item.request_id in once for item in self.backend_events)

    def violations(self) -> list[str]:
        """Return a description of each promise that was broken."""
        runs = Counter(item.request_id for item in self.backend_events if item.what == RUN)
        return [text for item in self.attempts for text in _judge(item, runs[item.request_id])]

    def violating_ids(self) -> list[str]:
        """Return the ids of the requests whose promise was broken."""
        return [text.partition(":")[0] for text in self.violations()]

    def trace(self, request_id: str) -> str:
        """Return all that was recorded of a request, and the faults until its end, by time."""
        attempts = [item for item in self.attempts if item.request_id == request_id]
        lines = [*self._trace_backends(request_id), *self._trace_nodes(request_id)]
        for attempt in attempts:
            lines.append((attempt.sent_at, f"caller: sent to {attempt.node} ({attempt.kind})"))
            lines.append((attempt.ended_at, f"caller: answered with {attempt.status or 'nothing'}"))
        until = max(at for at, _ in lines)
        lines += [(at, text) for at, text in self._fault_lines if at < until]
        return "\n".join(f"{at - self.started_at:9.4f} {text}" for at, text in sorted(lines))

    def _trace_backends(self, request_id: str) -> Iterator[tuple[float, str]]:
        for event in self.backend_events:
            if event.request_id == request_id:
                yield event.at, f"{event.backend}: {event.what}"

    def _trace_nodes(self, request_id: str) -> Iterator[tuple[float, str]]:
        for line in self._node_lines[request_id]:
            yield line.at, f"{line.node}: {line.text}"


def _judge(attempt: CallerAttempt, run_count: int) -> Iterator[str]:
    if attempt.repeatable or run_count == 0:
        return
    if run_count > 1:
        yield f"{attempt.request_id}: {attempt.kind} ran {run_count} times"
    if attempt.status in NOT_RUN_STATUSES and not attempt.answered_by_backend:
        yield f"{attempt.request_id}: {attempt.kind} was answered {attempt.status}, but ran"


def count_statuses(attempts: Sequence[CallerAttempt]) -> dict[str, int]:
    """Return the number of attempts by status of their answer, "none" without one."""
    return dict(sorted(Counter(str(item.status or "none") for item in attempts).items()))
