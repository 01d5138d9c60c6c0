"""Reads of one document that the source has not answered yet."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from pewtertack.core.effects import ReadDocument
from pewtertack.core.inputs import DocumentReadFailed
from pewtertack.errors import ReadFailure

MAX_OPEN_READS = 8
"""Maximum number of concurrent reads of one document."""
ANSWER_START_SECONDS = 0.3
"""Time within which a fast source answers a read after its long-poll wait has ended."""
MAX_READ_GAP_SECONDS = 2.0
"""Time between two reads of a source that answers none, unless it is known to be slow."""


class OpenRead:
    """A read that the platform has not answered yet.

    Args:
        effect: the effect that issued the read.
        opened_at: monotonic seconds.
        allowed_seconds: time within which the answer is due, including the long-poll wait.
    """

    __slots__ = ("allowed_seconds", "before_pause", "confirms", "effect", "opened_at", "superseded")

    def __init__(self, effect: ReadDocument, opened_at: float, allowed_seconds: float) -> None:
        self.effect = effect
        self.opened_at = opened_at
        self.allowed_seconds = allowed_seconds
        self.confirms = not effect.may_be_stale
        """Whether the platform, unless it has fallen silent, has nothing newer while it is open."""
        self.superseded = False
        """Whether a read that was opened later has been answered; the answer may be lost."""
        self.before_pause = False
        """Whether the process was paused after opening the read, so its answer may be old."""

    def is_overdue(self, now: float) -> bool:
        """Tell whether the answer should have arrived by now."""
        return now > self.opened_at + self.allowed_seconds

    def is_past_wait(self, now: float) -> bool:
        """Tell whether its wait ended so long ago that a fast source would have answered."""
        return (
            self.effect.wait > 0 and now > self.opened_at + self.effect.wait + ANSWER_START_SECONDS
        )


class OpenReads:
    """The open reads of one document, oldest first.

    An overdue read stays open because its answer may still arrive. Another read is opened in
    parallel, and the first answer is used.
    """

    __slots__ = ("_reads", "failure_count", "last_failure", "unanswered_count")

    def __init__(self) -> None:
        self._reads: list[OpenRead] = []
        self.unanswered_count = 0
        """Number of reads opened while another was overdue, since the last answer."""
        self.failure_count = 0
        """Number of failed reads since the last answer."""
        self.last_failure: ReadFailure | None = None
        """The failure of the last of them."""

    def __iter__(self) -> Iterator[OpenRead]:
        return iter(self._reads)

    def __len__(self) -> int:
        return len(self._reads)

    @property
    def oldest(self) -> OpenRead | None:
        """The read that has been open the longest."""
        return self._reads[0] if self._reads else None

    @property
    def awaited(self) -> list[OpenRead]:
        """The reads that no later one has superseded."""
        return [read for read in self._reads if not read.superseded]

    @property
    def newest(self) -> OpenRead | None:
        """The awaited read that was opened last."""
        awaited = self.awaited
        return awaited[-1] if awaited else None

    @property
    def is_full(self) -> bool:
        """Whether no further read may be opened."""
        return len(self._reads) >= MAX_OPEN_READS

    def open(self, effect: ReadDocument, now: float, timeout_seconds: float) -> None:
        """Add a read; ``timeout_seconds`` is the time its answer may take after its wait."""
        if self._reads and self.is_any_overdue(now):
            self.unanswered_count += 1
        if self.unanswered_count:
            timeout_seconds = max(timeout_seconds, MAX_READ_GAP_SECONDS)
        read = OpenRead(effect, now, effect.wait + timeout_seconds)
        if self.unanswered_count:
            read.confirms = False
        self._reads.append(read)

    def is_any_overdue(self, now: float) -> bool:
        """Tell whether the answer of any awaited read is overdue."""
        return any(read.is_overdue(now) for read in self.awaited)

    def is_any_due(self, now: float) -> bool:
        """Tell whether the answer of any awaited read may still arrive in time."""
        return any(not read.is_overdue(now) for read in self.awaited)

    def after_pause(self) -> None:
        """Treat reads opened before a pause of this process as overdue and as no confirmation."""
        for read in self._reads:
            read.allowed_seconds = 0.0
            read.confirms = False
            read.before_pause = True

    def close(self, number: int) -> OpenRead | None:
        """Remove and return the read ``number``, or the oldest read if ``number`` is 0."""
        for index, read in enumerate(self._reads):
            if number in (0, read.effect.read_id):
                return self._reads.pop(index)
        return None

    def answered(self, number: int) -> bool:
        """Remove an answered read; return false if it was opened before the last pause.

        Reads that were opened before it are superseded: their answers, if they still arrive, are
        used, but no further read waits for them.
        """
        read = self.close(number)
        if read is not None:
            for other in self._reads:
                other.superseded |= other.opened_at < read.opened_at
        self.unanswered_count = 0
        self.failure_count = 0
        self.last_failure = None
        return read is None or not read.before_pause

    def failed(self, now: float, failed: DocumentReadFailed) -> dict[str, Any]:
        """Remove a failed read; return the fields for its log event."""
        read = self.close(failed.read_id)
        self.failure_count += 1
        self.last_failure = failed.failure
        fields: dict[str, Any] = {"reason": failed.reason}
        if failed.failure is not None:
            fields["failure"] = failed.failure.value
        if read is not None:
            fields["seconds"] = round(now - read.opened_at, 3)
        return fields
