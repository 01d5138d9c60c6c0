"""The reads of one document that the source has not answered."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from pewtertack.core.effects import ReadDocument
from pewtertack.core.inputs import DocumentReadFailed
from pewtertack.errors import ReadFailure

MAX_OPEN_READS = 8
"""Reads of one document that are open at once."""
ANSWER_START_SECONDS = 0.3
"""Seconds within which a quick source answers a read whose wait has passed."""
MAX_READ_GAP_SECONDS = 2.0
"""Seconds between two reads of a source that answers none, unless it is known to be slow."""


class OpenRead:
    """A read that the platform has not answered."""

    __slots__ = ("allowed_seconds", "before_pause", "confirms", "effect", "opened_at")

    def __init__(self, effect: ReadDocument, opened_at: float, allowed: float) -> None:
        self.effect = effect
        self.opened_at = opened_at
        """Monotonic seconds."""
        self.allowed_seconds = allowed
        """Seconds within which the answer is due, the wait included."""
        self.confirms = not effect.may_be_stale
        """Whether the platform has nothing newer as long as it is open."""
        self.before_pause = False
        """Whether the process has been paused since it was opened: its answer may be old."""

    def is_overdue(self, now: float) -> bool:
        """Tell whether the answer should have come."""
        return now > self.opened_at + self.allowed_seconds

    def is_past_wait(self, now: float) -> bool:
        """Tell whether its answer should have begun: the source is slow, or was since a change."""
        return (
            self.effect.wait > 0 and now > self.opened_at + self.effect.wait + ANSWER_START_SECONDS
        )


class OpenReads:
    """The open reads of one document, the oldest first.

    One that is overdue stays open, since its answer may be on its way; another is opened beside
    it, and the first answer counts.
    """

    __slots__ = ("_reads", "failure_count", "last_failure", "unanswered_count")

    def __init__(self) -> None:
        self._reads: list[OpenRead] = []
        self.unanswered_count = 0
        """Reads that were opened beside overdue ones since the last answer."""
        self.failure_count = 0
        """Failed reads since the last answer."""
        self.last_failure: ReadFailure | None = None
        """How the last of them ended."""

    def __iter__(self) -> Iterator[OpenRead]:
        return iter(self._reads)

    def __len__(self) -> int:
        return len(self._reads)

    @property
    def oldest(self) -> OpenRead | None:
        """The read that has been open for longest."""
        return self._reads[0] if self._reads else None

    @property
    def newest(self) -> OpenRead | None:
        """The read that was opened last and is still open."""
        return self._reads[-1] if self._reads else None

    @property
    def is_full(self) -> bool:
        """Whether no more may be opened."""
        return len(self._reads) >= MAX_OPEN_READS

    def open(self, effect: ReadDocument, now: float, patience: float) -> None:
        """Note a read; ``patience`` is how long an answer may take beyond its wait, in seconds."""
        if self._reads and self.is_any_overdue(now):
            self.unanswered_count += 1
        if self.unanswered_count:
            patience = max(patience, MAX_READ_GAP_SECONDS)
        read = OpenRead(effect, now, effect.wait + patience)
        if self.unanswered_count:
            read.confirms = False
        self._reads.append(read)

    def is_any_overdue(self, now: float) -> bool:
        """Tell whether an answer should have come that has not."""
        return any(read.is_overdue(now) for read in self._reads)

    def is_any_due(self, now: float) -> bool:
        """Tell whether an answer may still come in time."""
        return any(not read.is_overdue(now) for read in self._reads)

    def after_pause(self) -> None:
        """What is open since before a pause of this process is overdue, and confirms nothing."""
        for read in self._reads:
            read.allowed_seconds = 0.0
            read.confirms = False
            read.before_pause = True

    def close(self, number: int) -> OpenRead | None:
        """Remove and return the read ``number``; the oldest if that is 0."""
        for index, read in enumerate(self._reads):
            if number in (0, read.effect.read_id):
                return self._reads.pop(index)
        return None

    def answered(self, number: int) -> bool:
        """Remove an answered read; return whether its answer is no older than the last pause."""
        read = self.close(number)
        self.unanswered_count = 0
        self.failure_count = 0
        self.last_failure = None
        return read is None or not read.before_pause

    def failed(self, now: float, failed: DocumentReadFailed) -> dict[str, Any]:
        """Remove a failed read; return the fields of its log event."""
        read = self.close(failed.read_id)
        self.failure_count += 1
        self.last_failure = failed.failure
        fields: dict[str, Any] = {"reason": failed.reason}
        if failed.failure is not None:
            fields["failure"] = failed.failure.value
        if read is not None:
            fields["seconds"] = round(now - read.opened_at, 3)
        return fields
