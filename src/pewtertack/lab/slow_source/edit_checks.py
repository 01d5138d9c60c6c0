"""What a series with a slow source must not show. Times are seconds of one clock; no I/O."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

import msgspec

from pewtertack.core.eras import split_tree_number
from pewtertack.events import Event


class Slowness(msgspec.Struct, frozen=True):
    """What an answer of the source takes, from a moment on."""

    since: float
    answer_seconds: float


class Acknowledged(msgspec.Struct, frozen=True):
    """An edit that the source has acknowledged."""

    version: int
    at: float
    transfer_seconds: float = 0.0
    """What its configuration takes as the body of an answer."""


class NodeHistory:
    """What the processes under one node's name have said.

    Args:
        name: the node.
    """

    __slots__ = ("in_force", "name", "serving", "steps_back")

    def __init__(self, name: str) -> None:
        self.name = name
        self.serving: list[tuple[float, float]] = []
        """Spans during which a process served, the last of them open (``inf``) or ended."""
        self.in_force: list[tuple[float, int]] = []
        """Each version that came into force, and when."""
        self.steps_back: list[str] = []

    def take(self, event: str, now: float, revision: int = 0) -> None:
        """Take in one event of the node."""
        if event == Event.NODE_SERVING.name:
            self.serving.append((now, float("inf")))
        elif event == Event.REVISION_IN_FORCE.name:
            version = split_tree_number(revision)[0]
            if self.in_force and version < self.in_force[-1][1]:
                before = self.in_force[-1][1]
                self.steps_back.append(f"{self.name}: version {version} after {before}")
            self.in_force.append((now, version))

    def end_serving(self, now: float) -> None:
        """Note that the process was asked to end."""
        if self.is_serving:
            self.serving[-1] = (self.serving[-1][0], now)

    @property
    def is_serving(self) -> bool:
        """Whether a process serves and was not asked to end."""
        return bool(self.serving) and self.serving[-1][1] == float("inf")

    def served_throughout(self, begin: float, end: float) -> bool:
        """Tell whether one process served all the time."""
        return any(since <= begin and end <= until for since, until in self.serving)

    def reached(self, version: int, since: float) -> float | None:
        """Return when ``version`` or a newer one came into force at ``since`` or later.

        ``since`` itself where it was in force before.
        """
        newest = 0
        for moment, held in self.in_force:
            newest = max(newest, held)
            if newest >= version:
                return max(moment, since)
        return None


class Judged(msgspec.Struct, frozen=True):
    """An acknowledged edit at a node that served throughout."""

    node: str
    version: int
    allowed: float
    """Seconds from the acknowledgement within which it must be in force."""
    took: float | None
    """``None`` where it never was."""

    @property
    def is_late(self) -> bool:
        """Whether it was in force too late, or never."""
        return self.took is None or self.took > self.allowed

    def __str__(self) -> str:
        """Return it for operators."""
        took = "never" if self.took is None else f"after {self.took:.2f} s"
        return f"{self.node}: version {self.version} in force {took}, due in {self.allowed:.2f} s"


def allowed_seconds(slowness: Sequence[Slowness], edited_at: float, bound: float) -> float:
    """Return the time before an answer that the edit may have had to wait for, and ``bound``.

    The source's time counts at the edit, and as it changes until the edit is due.
    """
    allowed = bound + _at(slowness, edited_at)
    for step in slowness:
        if edited_at < step.since <= edited_at + allowed:
            allowed = max(allowed, bound + step.answer_seconds)
    return allowed


def _at(slowness: Sequence[Slowness], moment: float) -> float:
    """Return the longest answer that may be under way; one lasts as long as when it began."""
    longest = 0.0
    for index, step in enumerate(slowness):
        until = slowness[index + 1].since if index + 1 < len(slowness) else moment
        if step.since <= moment < until + step.answer_seconds:
            longest = max(longest, step.answer_seconds)
    return longest


def judge_edits(
    edits: Sequence[Acknowledged],
    slowness: Sequence[Slowness],
    nodes: Sequence[NodeHistory],
    bound: float,
    ended_at: float,
) -> Iterator[Judged]:
    """Yield every edit at every node that served until it was due.

    What was due after ``ended_at`` is not judged.
    """
    for edit in edits:
        edited_at = edit.at
        allowed = allowed_seconds(slowness, edited_at, bound + edit.transfer_seconds)
        due = edited_at + allowed
        if due > ended_at:
            continue
        for node in nodes:
            if not node.served_throughout(edited_at, due):
                continue
            reached = node.reached(edit.version, edited_at)
            took = None if reached is None else reached - edited_at
            yield Judged(node.name, edit.version, allowed, took)
