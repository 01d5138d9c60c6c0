"""Records the events of the nodes during one measurement, and computes its result."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping, Sequence

import msgspec

from pewtertack.core.eras import split_tree_number
from pewtertack.events import Event
from pewtertack.lab.convergence.options import GridPoint
from pewtertack.lab.report.statistics import percentile

READ_FAILURES = (Event.SOURCE_FAILED, Event.MACHINE_LIST_FAILED)
READER_CHANGES = (Event.READER_STARTED, Event.READER_STOPPED)


class StageTimes(msgspec.Struct, frozen=True, kw_only=True):
    """When the nodes reached a stage, in seconds after the acknowledgement of the edit.

    The first, median, 99th percentile and last node; ``None`` if too few nodes reached the stage.
    """

    first: float | None
    middle: float | None
    p99: float | None
    last: float | None


class PointResult(msgspec.Struct, frozen=True, kw_only=True):
    """Result of one measurement. Counts cover the whole time for which the source was slow."""

    point: GridPoint
    virtual: bool
    seed: int
    held: StageTimes
    in_force: StageTimes
    missing: int
    """Number of nodes at which the edit was not in force when the measurement ended."""
    watched_seconds: float
    """Time during which calls, reader changes and failed reads were counted."""
    calls: int
    """Calls of the source for either document, including rejected ones."""
    reader_changes: int
    failed_reads: int
    failures: Mapping[str, int]
    """Number of failed reads by reason."""
    bytes_per_node: float | None = None
    """Bytes that a node received from other nodes in that time; unknown for real processes."""


class EventRecording:
    """Records the events of a fleet's nodes.

    Args:
        names: names of the nodes.
    """

    def __init__(self, names: Sequence[str]) -> None:
        self._names = names
        self.serving_nodes: set[str] = set()
        self.versions_in_force = dict.fromkeys(names, 0)
        """Newest version that has been in force at each node; 0 if there was none."""
        self._held_delays: dict[str, float] = {}
        self._in_force_delays: dict[str, float] = {}
        self._counting = False
        self._edit_version = math.inf
        self._edit_time = 0.0
        self.reader_changes = 0
        self.failures: Counter[str] = Counter()

    def start_counting(self) -> None:
        """Start to count reader changes and failed reads."""
        self._counting = True

    def record_edit(self, version: int, now: float) -> None:
        """Record that the source acknowledged the measured edit at the time ``now``."""
        self._edit_version = version
        self._edit_time = now

    def record_event(
        self, node: str, event: str, now: float, revision: int = 0, reason: str = ""
    ) -> None:
        """Record one event of a node."""
        if event == Event.NODE_SERVING.name:
            self.serving_nodes.add(node)
        elif event == Event.REVISION_HELD.name:
            self._record_stage(self._held_delays, node, now, split_tree_number(revision)[0])
        elif event == Event.REVISION_IN_FORCE.name:
            version = split_tree_number(revision)[0]
            self.versions_in_force[node] = max(version, self.versions_in_force[node])
            self._record_stage(self._in_force_delays, node, now, version)
        elif self._counting and event in {item.name for item in READER_CHANGES}:
            self.reader_changes += 1
        elif self._counting and event in {item.name for item in READ_FAILURES}:
            self.failures[reason] += 1

    def _record_stage(self, delays: dict[str, float], node: str, now: float, version: int) -> None:
        if version >= self._edit_version:
            delays.setdefault(node, now - self._edit_time)

    @property
    def all_serving(self) -> bool:
        """Whether all nodes serve with some configuration in force."""
        return (
            len(self.serving_nodes) == len(self._names) and min(self.versions_in_force.values()) > 0
        )

    @property
    def all_in_force(self) -> bool:
        """Whether the edit is in force at all nodes."""
        return len(self._in_force_delays) == len(self._names)

    def result(
        self,
        point: GridPoint,
        virtual: bool,
        seed: int,
        watched_seconds: float,
        calls: int,
        bytes_per_node: float | None = None,
    ) -> PointResult:
        """Return the result of the measurement."""
        return PointResult(
            point=point,
            virtual=virtual,
            seed=seed,
            held=self._stage_times(self._held_delays),
            in_force=self._stage_times(self._in_force_delays),
            missing=len(self._names) - len(self._in_force_delays),
            watched_seconds=round(watched_seconds, 3),
            calls=calls,
            reader_changes=self.reader_changes,
            failed_reads=self.failures.total(),
            failures=dict(sorted(self.failures.items())),
            bytes_per_node=bytes_per_node,
        )

    def _stage_times(self, delays: dict[str, float]) -> StageTimes:
        """Return the times of a stage; nodes that did not reach it count as infinitely late."""
        sorted_delays = sorted(delays.values())
        sorted_delays += [math.inf] * (len(self._names) - len(sorted_delays))
        return StageTimes(
            first=_round_finite(sorted_delays[0]),
            middle=_round_finite(percentile(sorted_delays, 0.5)),
            p99=_round_finite(percentile(sorted_delays, 0.99)),
            last=_round_finite(sorted_delays[-1]),
        )


def _round_finite(seconds: float) -> float | None:
    return round(seconds, 3) if math.isfinite(seconds) else None
