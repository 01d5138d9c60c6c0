"""What the nodes of one measurement reported, and what follows from it."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping, Sequence

import msgspec

from pewtertack.core.eras import split_tree_number
from pewtertack.events import Event
from pewtertack.lab.convergence.options import Point
from pewtertack.lab.report.statistics import percentile

READ_FAILURES = (Event.SOURCE_FAILED, Event.MACHINE_LIST_FAILED)
READER_CHANGES = (Event.READER_STARTED, Event.READER_STOPPED)


class Moments(msgspec.Struct, frozen=True, kw_only=True):
    """When the nodes reached a stage, in seconds from the acknowledgement of the edit.

    ``None`` where fewer nodes reached it.
    """

    first: float | None
    middle: float | None
    p99: float | None
    last: float | None


class PointResult(msgspec.Struct, frozen=True, kw_only=True):
    """What one measurement found. Counts are of the whole time that the source was slow."""

    point: Point
    virtual: bool
    seed: int
    held: Moments
    in_force: Moments
    missing: int
    """Nodes without the edit in force when the measurement ended."""
    watched_seconds: float
    """For how long calls, changes of readers and failed reads were counted."""
    calls: int
    """Of the source, for either document, refused ones included."""
    reader_changes: int
    failed_reads: int
    failures: Mapping[str, int]
    """Failed reads by their reason."""
    bytes_per_node: float | None = None
    """Bytes between nodes that a node received while they were counted; unknown for processes."""


class Recording:
    """Takes the events of a fleet's nodes.

    Args:
        names: the nodes.
    """

    def __init__(self, names: Sequence[str]) -> None:
        self._names = names
        self.serving: set[str] = set()
        self.versions = dict.fromkeys(names, 0)
        """The version in force at each node."""
        self._held: dict[str, float] = {}
        self._in_force: dict[str, float] = {}
        self._watched = False
        self._version = math.inf
        self._edited_at = 0.0
        self.reader_changes = 0
        self.failures: Counter[str] = Counter()

    def watch(self) -> None:
        """Count changes of readers and failed reads from now on."""
        self._watched = True

    def edited(self, version: int, now: float) -> None:
        """Note that the source acknowledged the edit that is measured."""
        self._version = version
        self._edited_at = now

    def take(self, node: str, event: str, now: float, revision: int = 0, reason: str = "") -> None:
        """Take in one event of a node."""
        if event == Event.NODE_SERVING.name:
            self.serving.add(node)
        elif event == Event.REVISION_HELD.name:
            self._note(self._held, node, now, split_tree_number(revision)[0])
        elif event == Event.REVISION_IN_FORCE.name:
            version = split_tree_number(revision)[0]
            self.versions[node] = max(version, self.versions[node])
            self._note(self._in_force, node, now, version)
        elif self._watched and event in {item.name for item in READER_CHANGES}:
            self.reader_changes += 1
        elif self._watched and event in {item.name for item in READ_FAILURES}:
            self.failures[reason] += 1

    def _note(self, stage: dict[str, float], node: str, now: float, version: int) -> None:
        if version >= self._version:
            stage.setdefault(node, now - self._edited_at)

    @property
    def all_serve(self) -> bool:
        """Whether all nodes serve by some configuration."""
        return len(self.serving) == len(self._names) and min(self.versions.values()) > 0

    @property
    def all_in_force(self) -> bool:
        """Whether the edit is in force everywhere."""
        return len(self._in_force) == len(self._names)

    def result(
        self,
        point: Point,
        virtual: bool,
        seed: int,
        watched_seconds: float,
        calls: int,
        bytes_per_node: float | None = None,
    ) -> PointResult:
        """Return what was found."""
        return PointResult(
            point=point,
            virtual=virtual,
            seed=seed,
            held=self._moments(self._held),
            in_force=self._moments(self._in_force),
            missing=len(self._names) - len(self._in_force),
            watched_seconds=round(watched_seconds, 3),
            calls=calls,
            reader_changes=self.reader_changes,
            failed_reads=self.failures.total(),
            failures=dict(sorted(self.failures.items())),
            bytes_per_node=bytes_per_node,
        )

    def _moments(self, stage: dict[str, float]) -> Moments:
        """Nodes that did not reach the stage come after all others."""
        times = sorted(stage.values())
        times += [math.inf] * (len(self._names) - len(times))
        return Moments(
            first=_finite(times[0]),
            middle=_finite(percentile(times, 0.5)),
            p99=_finite(percentile(times, 0.99)),
            last=_finite(times[-1]),
        )


def _finite(seconds: float) -> float | None:
    return round(seconds, 3) if math.isfinite(seconds) else None
