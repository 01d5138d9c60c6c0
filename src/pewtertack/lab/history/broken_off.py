"""Answers that broke off because the node that passed them on was killed.

A caller's node that has passed an answer's head on can only break the answer off when the node
beside the back end is gone. Where no answer had begun it could have answered, so nothing is
excused; nor by a planned stop or a pause of that node.
"""

from __future__ import annotations

from pewtertack.lab.history.timeline import Timeline
from pewtertack.lab.records import ExecutionStart, NodeKill, NodeStart, Told, ToldOutcome


class KilledGateways:
    """Knows for each request the node beside the back end that began it last, and its kills."""

    __slots__ = ("_gateways", "_kills")

    def __init__(self, timeline: Timeline) -> None:
        self._gateways: dict[str, str] = {}
        self._kills: dict[str, list[float]] = {}
        beside: dict[str, str] = {}
        for line in timeline.lines:
            match line:
                case NodeStart():
                    beside[line.beside] = line.node
                case ExecutionStart():
                    self._gateways[line.request_id] = beside.get(line.backend, "")
                case NodeKill():
                    self._kills.setdefault(line.node, []).append(line.time)

    def broke_off(self, told: Told) -> bool:
        """Tell whether such a kill can have broken an answer off."""
        if told.outcome is not ToldOutcome.CUT or told.broken_off_after is None:
            return False
        began = told.time - told.latency
        kills = self._kills.get(self._gateways.get(told.request_id, ""), ())
        return any(began <= killed <= told.time for killed in kills)
