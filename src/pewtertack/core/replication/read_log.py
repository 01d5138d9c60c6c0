"""How this node's reads of the source fare, for its operators."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, NamedTuple

from pewtertack.core.effects import Effect, ReadDocument
from pewtertack.core.inputs import DocumentReadFailed
from pewtertack.errors import ReadFailure
from pewtertack.wire.messages import DocumentKind


class OpenedRead(NamedTuple):
    """When a read began, in monotonic seconds, and how long the source may hold it open."""

    at: float
    wait: float


class ReadLog:
    """The open reads of one document, and the failures since its last usable answer."""

    __slots__ = ("_opened", "failures", "last_failure")

    def __init__(self) -> None:
        self._opened: dict[int, OpenedRead] = {}
        """By their numbers, the oldest first."""
        self.failures = 0
        """Failed reads in a row."""
        self.last_failure: ReadFailure | None = None
        """Of the last of them."""

    @property
    def open_reads(self) -> int:
        """How many reads have no answer."""
        return len(self._opened)

    @property
    def oldest(self) -> OpenedRead | None:
        """The read that has been open for longest."""
        return next(iter(self._opened.values()), None)

    def open(self, now: float, read: ReadDocument) -> None:
        """A read begins."""
        self._opened[read.read] = OpenedRead(now, read.wait)

    def answer(self, number: int) -> None:
        """A read got a usable answer."""
        self._close(number)
        self.failures = 0
        self.last_failure = None

    def fail(self, now: float, failed: DocumentReadFailed) -> dict[str, Any]:
        """A read failed; return what is to be logged of it."""
        fields: dict[str, Any] = {"reason": failed.reason}
        if failed.failure is not None:
            fields["failure"] = failed.failure.value
        opened = self._close(failed.read)
        if opened is not None:
            fields["seconds"] = round(now - opened.at, 3)
        self.failures += 1
        self.last_failure = failed.failure
        return fields

    def _close(self, number: int) -> OpenedRead | None:
        """Take out a read, the oldest where its number is not told."""
        return self._opened.pop(number or next(iter(self._opened), 0), None)


class ReadLogs:
    """The logs of both documents."""

    __slots__ = ("of",)

    def __init__(self) -> None:
        self.of = {kind: ReadLog() for kind in DocumentKind}

    def note(self, now: float, effects: Iterable[Effect]) -> None:
        """Take in the reads that begin."""
        for effect in effects:
            if isinstance(effect, ReadDocument):
                self.of[effect.kind].open(now, effect)
