"""Checks of a series with a slow source: which edits came into force too late, and on which nodes.

Times are in seconds of one clock. This module performs no I/O.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence

import msgspec

from pewtertack.core.eras import split_tree_number
from pewtertack.events import Event


class SourceDelay(msgspec.Struct, frozen=True):
    """The time that responses of the source take, from ``since`` on."""

    since: float
    answer_seconds: float


class AcknowledgedEdit(msgspec.Struct, frozen=True):
    """An edit that the source has acknowledged."""

    version: int
    acknowledged_at: float
    transfer_seconds: float = 0.0
    """Time that the transfer of its configuration as a response body takes."""


class NodeHistory:
    """The events of all processes of one node.

    Args:
        name: name of the node.
    """

    __slots__ = ("in_force", "name", "reversions", "serving")

    def __init__(self, name: str) -> None:
        self.name = name
        self.serving: list[tuple[float, float]] = []
        """Start and end of each time for which a process served; the last end may be ``inf``."""
        self.in_force: list[tuple[float, int]] = []
        """Time and number of each version that came into force."""
        self.reversions: list[str] = []
        """A message for each time that an older version replaced a newer one."""

    def record_event(self, event: str, now: float, revision: int = 0) -> None:
        """Record an event of the node."""
        if event == Event.NODE_SERVING.name:
            self.serving.append((now, float("inf")))
        elif event == Event.REVISION_IN_FORCE.name:
            version = split_tree_number(revision)[0]
            if self.in_force and version < self.in_force[-1][1]:
                previous = self.in_force[-1][1]
                self.reversions.append(f"{self.name}: version {version} after {previous}")
            self.in_force.append((now, version))

    def end_serving(self, now: float) -> None:
        """Record that the process was told to stop."""
        if self.is_serving:
            self.serving[-1] = (self.serving[-1][0], now)

    @property
    def is_serving(self) -> bool:
        """Whether a process serves and was not told to stop."""
        return bool(self.serving) and self.serving[-1][1] == float("inf")

    def served_throughout(self, begin: float, end: float) -> bool:
        """Return whether one process served from ``begin`` to ``end``."""
        return any(since <= begin and end <= until for since, until in self.serving)

    def in_force_since(self, version: int, since: float) -> float | None:
        """Return the first time, not before ``since``, with ``version`` or a newer one in force.

        This is ``since`` itself if it came into force earlier, ``None`` if it never did.
        """
        newest = 0
        for time, in_force_version in self.in_force:
            newest = max(newest, in_force_version)
            if newest >= version:
                return max(time, since)
        return None


class EditVerdict(msgspec.Struct, frozen=True):
    """The verdict on an acknowledged edit for a node that served until the edit was due."""

    node: str
    version: int
    limit_seconds: float
    """Time limit in seconds, from the acknowledgement until the edit is in force."""
    elapsed_seconds: float | None
    """Time in seconds until the edit was in force, ``None`` if it never was."""

    @property
    def is_late(self) -> bool:
        """Whether the edit came into force too late or never."""
        return self.elapsed_seconds is None or self.elapsed_seconds > self.limit_seconds

    def __str__(self) -> str:
        """Return the verdict as a message for operators."""
        elapsed = "never" if self.elapsed_seconds is None else f"after {self.elapsed_seconds:.2f} s"
        return (
            f"{self.node}: version {self.version} in force {elapsed}, "
            f"due in {self.limit_seconds:.2f} s"
        )


def time_limit(delays: Sequence[SourceDelay], edited_at: float, bound: float) -> float:
    """Return the time limit of an edit: ``bound`` plus the longest response it may wait for.

    The response time at the edit and its changes until the edit is due are considered.
    """
    limit_seconds = bound + _longest_response_at(delays, edited_at)
    for delay in delays:
        if edited_at < delay.since <= edited_at + limit_seconds:
            limit_seconds = max(limit_seconds, bound + delay.answer_seconds)
    return limit_seconds


def _longest_response_at(delays: Sequence[SourceDelay], time: float) -> float:
    """Return the duration of the longest response that may be in progress at ``time``.

    The duration of a response is the response time of the source when it began.
    """
    longest = 0.0
    for index, delay in enumerate(delays):
        until = delays[index + 1].since if index + 1 < len(delays) else time
        if delay.since <= time < until + delay.answer_seconds:
            longest = max(longest, delay.answer_seconds)
    return longest


def check_edits(
    edits: Sequence[AcknowledgedEdit],
    delays: Sequence[SourceDelay],
    nodes: Sequence[NodeHistory],
    bound: float,
    ended_at: float,
) -> Iterator[EditVerdict]:
    """Yield a verdict on each edit for each node that served until the edit was due.

    Edits that are due after ``ended_at`` are skipped.
    """
    for edit in edits:
        edited_at = edit.acknowledged_at
        limit_seconds = time_limit(delays, edited_at, bound + edit.transfer_seconds)
        due = edited_at + limit_seconds
        if due > ended_at:
            continue
        for node in nodes:
            if not node.served_throughout(edited_at, due):
                continue
            in_force_since = node.in_force_since(edit.version, edited_at)
            elapsed_seconds = None if in_force_since is None else in_force_since - edited_at
            yield EditVerdict(node.name, edit.version, limit_seconds, elapsed_seconds)
