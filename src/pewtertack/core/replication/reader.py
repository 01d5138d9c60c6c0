"""Reading the platform: when reads are due, and what their answers say."""

from __future__ import annotations

from collections.abc import Mapping
from random import Random
from typing import Any

import msgspec

from pewtertack.core.effects import Effect, Log, ReadDocument
from pewtertack.core.inputs import DocumentRead, DocumentReadFailed, DocumentUnchanged
from pewtertack.core.new_entries import NEW_ENTRY_WAIT_SECONDS
from pewtertack.core.profile import TimingProfile
from pewtertack.core.replication.answer_times import AnswerTimes
from pewtertack.core.replication.freshness import SourceFreshness
from pewtertack.core.replication.open_reads import OpenRead, OpenReads
from pewtertack.core.replication.readership import Readership
from pewtertack.core.revision import NO_REVISION, Document, RevisionId
from pewtertack.events import Event
from pewtertack.wire.messages import DocumentKind

BACKOFF_FACTOR = 2.0
MIN_WAIT_SHARE = 0.2
"""Of its usual wait, for the read after a change."""
OVERDUE_SECONDS = 2.0
"""Seconds beyond its wait after which a read that is still open confirms nothing."""


class ReadContext(msgspec.Struct, frozen=True):
    """What a read needs to know of what this node holds, beside the numbers."""

    era: int = 0
    """The latest era of the source that the node has heard of."""
    era_since: float = 0.0
    """When the node heard of it, in monotonic seconds."""
    evacuated: tuple[str, ...] = ()
    """The zones that the held tree names as evacuated."""
    ended: Mapping[str, int] = {}
    """Those that it names no longer (`core.ended_evacuations`)."""
    doubts_copy: bool = False
    """Whether the node cannot know which evacuations a copy shows have ended."""
    held: RevisionId = NO_REVISION
    """Of the held tree."""
    tree: Document | None = None


EMPTY_READ_CONTEXT = ReadContext()


class PlatformReader:
    """Issues reads of both documents while its readership tells this node to.

    What the platform has confirmed goes into ``freshness``.
    """

    def __init__(
        self,
        profile: TimingProfile,
        readership: Readership,
        freshness: SourceFreshness,
        random: Random,
        first_read_at: float,
        narrow_link: bool = False,
    ) -> None:
        self.readership = readership
        self._profile = profile
        self._freshness = freshness
        self._random = random
        self.open_reads = {kind: OpenReads() for kind in DocumentKind}
        self._last_read_id = 0
        self._not_before = dict.fromkeys(DocumentKind, first_read_at)
        if narrow_link:
            self._not_before[DocumentKind.CONFIGURATION] += profile.narrow_patience
        self.answer_times = AnswerTimes(profile.read_patience)
        self.last_answer_at: dict[DocumentKind, float] = {}
        self._paused: set[DocumentKind] = set()
        """Documents of which no answer has come since a pause of this process."""
        self._last_numbers: dict[DocumentKind, int] = {}
        self._stale_numbers: dict[DocumentKind, int] = {}
        self._changed: set[DocumentKind] = set()
        """Documents of which the last answer was a change, which ended the reads of all nodes."""
        self.reading = False
        self._context = EMPTY_READ_CONTEXT

    def tick(
        self,
        now: float,
        allowed: bool,
        numbers: dict[DocumentKind, int],
        joining: bool = False,
        held: ReadContext = EMPTY_READ_CONTEXT,
    ) -> list[Effect]:
        """Return the reads that are due; ``numbers`` are those already held.

        ``joining`` tells that the node joins a fleet whose source is durable.
        """
        self._context = held
        effects = self._set_reading(self.readership.should_read(now, allowed, joining))
        self._confirm_by_open_reads(now)
        looking = self.readership.starts_with_stale_read and (allowed or joining)
        for kind in DocumentKind:
            if looking and numbers[kind] == 0:
                effects += self._read_if_due(now, kind, 0, may_be_stale=True)
            elif self.reading:
                effects += self._read_if_due(now, kind, numbers[kind], may_be_stale=False)
        return effects

    def _set_reading(self, reading: bool) -> list[Effect]:
        if reading == self.reading:
            return []
        self.reading = reading
        return [Log(Event.READER_STARTED if reading else Event.READER_STOPPED, {})]

    def _confirm_by_open_reads(self, now: float) -> None:
        """While the platform holds a read open, it has nothing newer.

        A connection that has silently gone is noticed by the platform adapter.
        """
        overdue = max(OVERDUE_SECONDS, self.answer_times.timeout_seconds)
        for kind, reads in self.open_reads.items():
            answered_at = self.last_answer_at.get(kind)
            if answered_at is None or not any(self._confirms(read) for read in reads):
                continue
            if reads.failure_count or kind in self._stale_numbers or kind in self._paused:
                continue
            if now - answered_at <= self._profile.read_wait + overdue:
                self._freshness.confirm(kind, now)

    def _confirms(self, read: OpenRead) -> bool:
        """Tell whether an open read shows that nothing has changed: its cursor is of this era."""
        return read.confirms and read.effect.era >= self._context.era

    def after_pause(self) -> None:
        """What is open since before a pause of this process confirms nothing."""
        self._paused.update(DocumentKind)
        for reads in self.open_reads.values():
            reads.after_pause()

    def _read_if_due(
        self, now: float, kind: DocumentKind, held: int, may_be_stale: bool
    ) -> list[Effect]:
        if now < self._not_before[kind] or not self._may_open(now, kind):
            return []
        self._last_read_id += 1
        of_source = self._context
        read = ReadDocument(
            kind,
            self._known_number(kind, held),
            self._wait(now, kind, may_be_stale),
            may_be_stale,
            of_source.era,
            of_source.era_since,
            of_source.evacuated,
            of_source.ended,
            of_source.doubts_copy,
            of_source.held,
            of_source.tree,
            self._last_read_id,
        )
        self.open_reads[kind].open(read, now, self.answer_times.timeout_seconds)
        return [read]

    def _may_open(self, now: float, kind: DocumentKind) -> bool:
        """Tell whether a read may be opened beside those that are open.

        It may beside overdue ones, beside one whose wait has passed, and beside those of a slow
        source: an answer that has begun does not contain what changes meanwhile.
        """
        reads = self.open_reads[kind]
        newest = reads.newest
        if newest is None:
            return True
        if self._profile.read_patience == 0 or reads.is_full:
            return False
        if not reads.is_any_due(now) or newest.is_past_wait(now):
            return True
        return self._overlaps(kind) and now - newest.opened_at >= self._profile.read_overlap

    def _overlaps(self, kind: DocumentKind) -> bool:
        return self.answer_times.is_slow and kind in self.last_answer_at

    def _wait(self, now: float, kind: DocumentKind, may_be_stale: bool) -> float:
        """Return for how long the platform may hold a read open, in seconds.

        A read of a slow source is held until the next one begins. A change ends the reads of all
        nodes at once, so the next ones are held for different times: then one of them begins soon
        after any change, and is told of it while answers to earlier reads are still on their way.
        """
        if may_be_stale or self._must_confirm(kind) or self.open_reads[kind].is_any_overdue(now):
            return 0.0
        longest = self._profile.read_wait
        if kind in self._changed:
            self._changed.discard(kind)
            longest *= self._random.uniform(MIN_WAIT_SHARE, 1.0)
        if self._overlaps(kind):
            longest = min(longest, self._profile.read_overlap)
        if self._context.era and self._context.doubts_copy:
            longest = min(longest, NEW_ENTRY_WAIT_SECONDS)
        return longest

    def _must_confirm(self, kind: DocumentKind) -> bool:
        """Tell whether a read is to confirm what is held, and not to wait for a change."""
        if kind in self._paused:
            return True
        unconfirmed = kind not in self.last_answer_at or self.open_reads[kind].failure_count > 0
        return unconfirmed and self.readership.starts_with_stale_read

    def _known_number(self, kind: DocumentKind, held: int) -> int:
        """Return the number to wait for a change of.

        A stale platform is asked for a change of its own stale number, and a
        rejected revision is not read again: either would be answered at once.
        """
        return self._stale_numbers.get(kind) or max(held, self._last_numbers.get(kind, 0))

    def is_failing(self, kind: DocumentKind) -> bool:
        """Tell whether the last read of a document failed."""
        return self.open_reads[kind].failure_count > 0

    def on_document(self, now: float, answer: DocumentRead, held: int) -> None:
        """The platform answered with a document while the number ``held`` was held."""
        kind, number = answer.kind, answer.number
        self._last_numbers[kind] = number
        self._changed.add(kind)
        if number < held:
            self._stale_numbers[kind] = number
            self._record_answer(now, answer)
        else:
            self._stale_numbers.pop(kind, None)
            self.on_answer(now, answer)

    def on_answer(self, now: float, answer: DocumentRead | DocumentUnchanged) -> None:
        """The platform gave a usable answer that is no older than what is held."""
        if self._record_answer(now, answer):
            self._freshness.confirm(answer.kind, now)

    def _record_answer(self, now: float, answer: DocumentRead | DocumentUnchanged) -> bool:
        """Note an answer; return whether it is no older than the last pause of this process."""
        kind = answer.kind
        recent = self._close_read(answer)
        if not recent:
            self._not_before[kind] = now
            return False
        self._paused.discard(kind)
        few_read = self.readership.sends_heartbeats
        gap = self._profile.few_readers_gap if few_read else self._profile.read_gap
        self._not_before[kind] = now + gap
        self.last_answer_at[kind] = now
        return True

    def _close_read(self, answer: DocumentRead | DocumentUnchanged) -> bool:
        recent = self.open_reads[answer.kind].answered(answer.read_id)
        if recent:
            self._record_time(answer.answer_seconds)
        return recent

    def _record_time(self, seconds: float | None) -> None:
        if seconds is not None:
            self.answer_times.record(seconds)

    def on_stale_document(self, now: float, answer: DocumentRead) -> None:
        """The platform gave an answer that may be old."""
        kind = answer.kind
        self._close_read(answer)
        self._not_before[kind] = now

    def on_failure(self, now: float, failed: DocumentReadFailed) -> dict[str, Any]:
        """Wait before the next read: what the platform asked for, or longer each time.

        Returns what the log tells of the failure.
        """
        kind, retry_after = failed.kind, failed.retry_after
        reads = self.open_reads[kind]
        self._record_time(failed.answer_seconds)
        backoff = self._profile.read_backoff * BACKOFF_FACTOR**reads.failure_count
        backoff = min(backoff, self._profile.read_backoff_limit)
        delay = max(retry_after or 0.0, backoff) * self._random.uniform(0.5, 1.5)
        self._not_before[kind] = now + delay
        return reads.failed(now, failed)
