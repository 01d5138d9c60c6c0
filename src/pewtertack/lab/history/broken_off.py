"""Answers that broke off because the node that passed them on was killed or paused.

A caller's node that has passed an answer's head on can only break the answer off when the node
beside the back end is gone, or when its own stop ends while that node is paused. Where no answer
had begun it could have answered, so nothing is excused; nor by a planned stop of that node.
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


class DisturbedGateways:
    """Knows for each request the node beside the back end that began it last, and its troubles."""

    __slots__ = ("_gateways", "_kills", "_pauses")

    def __init__(self, timeline: Timeline) -> None:
        self._gateways: dict[str, str] = {}
        self._kills: dict[str, list[float]] = {}
        self._pauses: dict[str, list[Interval]] = {}
        beside: dict[str, str] = {}
        for line in timeline.lines:
            match line:
                case NodeStart():
                    beside[line.beside] = line.node
                case ExecutionStart():
                    self._gateways[line.request_id] = beside.get(line.backend, "")
                case NodeKill():
                    self._kills.setdefault(line.node, []).append(line.time)
                case NodePause():
                    self._pauses.setdefault(line.node, []).append(Interval(line.time))
                case NodeResume():
                    self._end_pause(line)

    def _end_pause(self, line: NodeResume) -> None:
        pauses = self._pauses.get(line.node, ())
        if pauses and pauses[-1].end == inf:
            pauses[-1].end = line.time

    def broke_off(self, told: CallResult, recovery: float, stopped_at: float | None = None) -> bool:
        """Tell whether a kill can have broken an answer off, or a pause during a planned stop.

        Args:
            told: what its caller was told.
            recovery: seconds after its end for which a pause may still be felt.
            stopped_at: when its caller's node was asked to stop; ``None`` if it was not.
        """
        if told.outcome is not CallOutcome.CUT or told.broken_off_after is None:
            return False
        gateway = self._gateways.get(told.request_id, "")
        began = told.time - told.latency
        if any(began <= killed <= told.time for killed in self._kills.get(gateway, ())):
            return True
        if stopped_at is None:
            return False
        since = max(began, stopped_at, told.time - recovery)
        return any(pause.overlaps(since, told.time) for pause in self._pauses.get(gateway, ()))
