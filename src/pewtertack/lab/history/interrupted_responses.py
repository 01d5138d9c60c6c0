"""Responses cut because the node that forwarded them from the back end was killed or paused.

Once a caller's node has forwarded a response head, it can only cut the response when the
back end's gateway node is gone, or when its own shutdown ends while that node is paused.
Before the head it could still have sent an error response, so a call without any response is
not excused. A graceful shutdown of the gateway node excuses nothing either.
"""

from __future__ import annotations

from math import inf

from pewtertack.lab.history.timeline import Interval, Timeline
from pewtertack.lab.records import (
    CallOutcome,
    CallResult,
    ExecutionStart,
    NodeKill,
    NodePause,
    NodeResume,
    NodeStart,
)


class GatewayDisturbances:
    """The gateway node of each request's last execution, with the kills and pauses of that node."""

    __slots__ = ("_gateway_by_request", "_kill_times", "_pauses")

    def __init__(self, timeline: Timeline) -> None:
        self._gateway_by_request: dict[str, str] = {}
        self._kill_times: dict[str, list[float]] = {}
        self._pauses: dict[str, list[Interval]] = {}
        gateway_by_backend: dict[str, str] = {}
        for line in timeline.lines:
            match line:
                case NodeStart():
                    gateway_by_backend[line.beside] = line.node
                case ExecutionStart():
                    self._gateway_by_request[line.request_id] = gateway_by_backend.get(
                        line.backend, ""
                    )
                case NodeKill():
                    self._kill_times.setdefault(line.node, []).append(line.time)
                case NodePause():
                    self._pauses.setdefault(line.node, []).append(Interval(line.time))
                case NodeResume():
                    self._end_pause(line)

    def _end_pause(self, line: NodeResume) -> None:
        pauses = self._pauses.get(line.node, ())
        if pauses and pauses[-1].end == inf:
            pauses[-1].end = line.time

    def may_have_cut(
        self, result: CallResult, recovery: float, stopped_at: float | None = None
    ) -> bool:
        """Return whether a kill of the gateway node, or a pause, can have cut the response.

        A pause counts only during a graceful shutdown of the caller's node.

        Args:
            result: the result of the call.
            recovery: seconds for which a pause may have effects after its end.
            stopped_at: when the caller's node received SIGTERM; ``None`` if it did not.
        """
        if result.outcome is not CallOutcome.CUT or result.broken_off_after is None:
            return False
        gateway = self._gateway_by_request.get(result.request_id, "")
        started_at = result.time - result.latency
        if any(
            started_at <= killed_at <= result.time
            for killed_at in self._kill_times.get(gateway, ())
        ):
            return True
        if stopped_at is None:
            return False
        since = max(started_at, stopped_at, result.time - recovery)
        return any(pause.overlaps(since, result.time) for pause in self._pauses.get(gateway, ()))
