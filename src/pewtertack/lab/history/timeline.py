"""An index of a history for the checks: incarnations of nodes, zone cuts and source faults."""

from __future__ import annotations

import bisect
import itertools
import math
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from pewtertack.events import Event
from pewtertack.lab.records import (
    Cut,
    Edit,
    Heal,
    HistoryLine,
    NodeEvent,
    NodeExit,
    NodeKill,
    NodePause,
    NodeResume,
    NodeStart,
    NodeStop,
    RevisionInForce,
    SourceFault,
)

NO_FAULT = "none"
"""The value of ``SourceFault.fault`` that marks the end of a fault."""

NOT_SERVING_EVENTS = (
    Event.NODE_JOINING.name,
    Event.NODE_WOKE.name,
    Event.NODE_DRAINING.name,
    Event.NODE_SUPERSEDED.name,
)
"""The events after which a node does not accept callers' requests until NODE_SERVING."""


@dataclass(slots=True)
class Interval:
    """A span of time, in seconds; ``end`` is infinite while the interval is open."""

    start: float
    end: float = math.inf

    def overlaps(self, start: float, end: float) -> bool:
        """Return whether the interval overlaps the closed interval from ``start`` to ``end``."""
        return self.start <= end and self.end >= start


@dataclass(slots=True)
class ServingInterval(Interval):
    """An interval during which a process accepted callers' requests."""

    number: int = 0
    """The number of the revision in force when the interval began.

    Later events with the same time do not count.
    """


@dataclass(slots=True)
class Incarnation:
    """One process of a node.

    It lasts from the process's start to SIGTERM, its exit, its kill or its replacement; without
    any of these it is still open at the end of the history.
    """

    node: str
    zone: str
    span: Interval
    in_force: list[RevisionInForce] = field(default_factory=list)
    pauses: list[Interval] = field(default_factory=list)
    serving: list[ServingInterval] = field(default_factory=list)
    killed: bool = False

    def revision_at(self, time: float) -> int:
        """Return the number of the revision in force at ``time``; 0 if there is none."""
        index = bisect.bisect_right(self.in_force, time, key=lambda event: event.time)
        return self.in_force[index - 1].revision if index else 0

    def is_serving_at(self, time: float) -> bool:
        """Return whether the process accepted callers' requests at ``time``."""
        return any(span.start <= time < span.end for span in self.serving)

    def is_running_at(self, time: float) -> bool:
        """Return whether the process existed and was not paused at ``time``."""
        exists = self.span.start <= time < self.span.end
        return exists and not any(span.start <= time < span.end for span in self.pauses)

    def end(self, time: float) -> None:
        """End the incarnation at ``time``, with all its open pauses and serving intervals."""
        self.span.end = min(self.span.end, time)
        for span in (*self.pauses, *self.serving):
            span.end = min(span.end, time)


@dataclass(slots=True)
class ZoneCut:
    """An interval during which messages from one zone to another were dropped."""

    from_zone: str
    to_zone: str
    span: Interval


class Timeline:
    """The events of one run, indexed by incarnation.

    Args:
        lines: the lines of the history, in any order.
    """

    def __init__(self, lines: Iterable[HistoryLine]) -> None:
        self.lines = sorted(lines, key=lambda line: line.time)
        self.incarnations: list[Incarnation] = []
        self.cuts: list[ZoneCut] = []
        self.source_faults: list[Interval] = []
        self.edits: list[Edit] = []
        self._current: dict[str, Incarnation] = {}
        self._started_nodes = {line.node for line in self.lines if isinstance(line, NodeStart)}
        self._open_faults: dict[str, Interval] = {}
        for line in self.lines:
            self._add_line(line)

    @property
    def end(self) -> float:
        """The time of the last line; 0 for an empty history."""
        return self.lines[-1].time if self.lines else 0.0

    def in_force(self) -> Iterator[RevisionInForce]:
        """Yield the events REVISION_IN_FORCE of all nodes, ordered by time."""
        return (line for line in self.lines if isinstance(line, RevisionInForce))

    def first_in_force_times(self) -> dict[int, float]:
        """Return the time at which each revision was first in force on any node."""
        first: dict[int, float] = {}
        for event in self.in_force():
            first.setdefault(event.revision, event.time)
        return first

    def edited_digests(self) -> dict[int, set[str]]:
        """Return the digests of the edits by revision number.

        A number has two digests if the source forked: it served two trees under that number.
        """
        digests: dict[int, set[str]] = {}
        for edit in self.edits:
            digests.setdefault(edit.revision, set()).add(edit.digest)
        return digests

    def cuts_of_zone(self, zone: str) -> list[Interval]:
        """Return the intervals during which ``zone`` was cut off, in either direction."""
        return [cut.span for cut in self.cuts if zone in (cut.from_zone, cut.to_zone)]

    def intervals_without_majority(self, forgotten_after: float) -> list[Interval]:
        """Return the intervals during which no majority of the members was running.

        A member is a node that runs, is paused, or ended less than ``forgotten_after``
        seconds ago without a replacement. A node that starts without a majority cannot learn
        which revision is in force, and refuses callers' requests until it can.
        """
        times = {
            time
            for incarnation in self.incarnations
            for time in _state_changes(incarnation, forgotten_after)
        }
        found: list[Interval] = []
        for start, end in itertools.pairwise([*sorted(times), math.inf]):
            members = self._members_at(start, forgotten_after)
            running = sum(1 for incarnation in members.values() if incarnation.is_running_at(start))
            if members and 2 * running <= len(members):
                found.append(Interval(start, end))
        return found

    def _members_at(self, time: float, forgotten_after: float) -> dict[str, Incarnation]:
        """Return the latest incarnation of each member at ``time``."""
        return {
            incarnation.node: incarnation
            for incarnation in self.incarnations
            if incarnation.span.start <= time < incarnation.span.end + forgotten_after
        }

    def _add_line(self, line: HistoryLine) -> None:
        match line:
            case NodeEvent():
                self._add_node_event(line)
            case NodeStart():
                self._start_incarnation(line.node, line.zone, line.time)
            case NodeKill() | NodeExit() | NodeStop():
                self._end_incarnation(line.node, line.time, isinstance(line, NodeKill))
            case NodePause():
                self._pause(line.node, line.time)
            case NodeResume():
                self._resume(line.node, line.time)
            case Edit():
                self.edits.append(line)
            case Cut() | Heal():
                self._add_cut(line)
            case SourceFault():
                self._add_source_fault(line)

    def _incarnation(self, node: str, time: float) -> Incarnation:
        """Return the current incarnation of ``node``; create it if no start was recorded."""
        if node not in self._current:
            self._start_incarnation(node, "", time)
        return self._current[node]

    def _start_incarnation(self, node: str, zone: str, time: float) -> None:
        self._end_incarnation(node, time, killed=False)
        incarnation = Incarnation(node, zone, Interval(time))
        self.incarnations.append(incarnation)
        self._current[node] = incarnation

    def _end_incarnation(self, node: str, time: float, killed: bool) -> None:
        incarnation = self._current.pop(node, None)
        if incarnation is not None:
            incarnation.killed = killed
            incarnation.end(time)

    def _pause(self, node: str, time: float) -> None:
        if node in self._current:
            self._current[node].pauses.append(Interval(time))

    def _resume(self, node: str, time: float) -> None:
        if node not in self._current:
            return  # the incarnation ended with SIGTERM, before the pause
        for span in self._current[node].pauses:
            span.end = min(span.end, time)

    def _add_node_event(self, event: NodeEvent) -> None:
        if event.node not in self._current and event.node in self._started_nodes:
            return  # the process is shutting down, or its last lines arrived after its end
        incarnation = self._incarnation(event.node, event.time)
        if isinstance(event, RevisionInForce):
            incarnation.in_force.append(event)
        elif event.event == Event.NODE_SERVING.name:
            number = incarnation.in_force[-1].revision if incarnation.in_force else 0
            incarnation.serving.append(ServingInterval(event.time, number=number))
        elif event.event in NOT_SERVING_EVENTS:
            for span in incarnation.serving:
                span.end = min(span.end, event.time)

    def _add_cut(self, line: Cut | Heal) -> None:
        if isinstance(line, Cut):
            self.cuts.append(ZoneCut(line.from_zone, line.to_zone, Interval(line.time)))
            return
        for cut in self.cuts:
            cut.span.end = min(cut.span.end, line.time)

    def _add_source_fault(self, line: SourceFault) -> None:
        running = self._open_faults.pop(line.service, None)
        if running is not None:
            running.end = line.time
        if line.fault != NO_FAULT:
            self._open_faults[line.service] = Interval(line.time)
            self.source_faults.append(self._open_faults[line.service])


def _state_changes(incarnation: Incarnation, forgotten_after: float) -> Iterator[float]:
    """Yield the times at which the process started, ended, was forgotten, paused or resumed."""
    for span in (incarnation.span, *incarnation.pauses):
        yield span.start
        if span.end != math.inf:
            yield span.end
    if incarnation.span.end != math.inf:
        yield incarnation.span.end + forgotten_after
