"""Reads of the platform: when they are due, and which of their answers confirm held documents."""

from __future__ import annotations

import math
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
from pewtertack.core.replication.open_reads import ANSWER_START_SECONDS, OpenRead, OpenReads
from pewtertack.core.replication.readership import Readership
from pewtertack.core.revision import NO_REVISION, Document, RevisionId
from pewtertack.events import Event
from pewtertack.wire.messages import DocumentKind

BACKOFF_FACTOR = 2.0
"""Factor by which the delay before the next read grows with each consecutive failure."""
MIN_WAIT_SHARE = 0.2
"""Lower bound of the random share of its usual wait that the read after a change gets."""


class ReadContext(msgspec.Struct, frozen=True):
    """The state of this node that a read needs, in addition to the numbers of held documents."""

    era: int = 0
    """The latest era of the source that is known to this node."""
    era_since: float = 0.0
    """When this node learned of the era, in monotonic seconds."""
    evacuated_zones: tuple[str, ...] = ()
    """The zones that the held tree names as evacuated."""
    ended_evacuations: Mapping[str, int] = {}
    """Zones whose evacuation has ended, each with a revision of the source
    (``core.ended_evacuations``)."""
    doubts_copy: bool = False
    """Whether an old copy of the source may show evacuations whose end this node did not see."""
    held_revision: RevisionId = NO_REVISION
    """The revision of the held tree."""
    held_tree: Document | None = None
    """The held tree."""


EMPTY_READ_CONTEXT = ReadContext()


class PlatformReader:
    """Issues reads of both documents while its readership policy selects this node as a reader.

    Confirmations of the platform are recorded in ``freshness``.
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
        """Documents for which no answer has arrived since a pause of this process."""
        self._last_numbers: dict[DocumentKind, int] = {}
        """The number of the last answer."""
        self._stale_numbers: dict[DocumentKind, int] = {}
        """The number of the last answer if it was older than the held document."""
        self._changed: set[DocumentKind] = set()
        """Documents whose last answer was a change, which ended the reads of all nodes."""
        self._preceding_reader_at = -math.inf
        """When the last heartbeat arrived from a reader that reads with the shorter wait."""
        self.reading = False
        self._context = EMPTY_READ_CONTEXT

    def tick(
        self,
        now: float,
        allowed: bool,
        numbers: dict[DocumentKind, int],
        joining: bool = False,
        context: ReadContext = EMPTY_READ_CONTEXT,
    ) -> list[Effect]:
        """Return the reads that are due.

        Args:
            now: monotonic seconds.
            allowed: whether the phase of the node lets it read for others.
            numbers: the numbers of the held documents.
            joining: whether the node joins a fleet whose source is durable.
            context: further state of the node.
        """
        self._context = context
        effects = self._set_reading(now, self.readership.should_read(now, allowed, joining))
        self._confirm_by_open_reads(now)
        may_read_stale = self.readership.starts_with_stale_read and (allowed or joining)
        for kind in DocumentKind:
            if may_read_stale and numbers[kind] == 0:
                effects += self._read_if_due(now, kind, 0, may_be_stale=True)
            elif self.reading:
                effects += self._read_if_due(now, kind, numbers[kind], may_be_stale=False)
        return effects

    def _set_reading(self, now: float, reading: bool) -> list[Effect]:
        if reading == self.reading:
            return []
        self.reading = reading
        age = self._freshness.max_age(now)
        fields = {} if math.isinf(age) else {"unconfirmed_seconds": round(age, 3)}
        return [Log(Event.READER_STARTED if reading else Event.READER_STOPPED, fields)]

    def _confirm_by_open_reads(self, now: float) -> None:
        """Confirm documents with open reads: the platform would have answered if it had changes.

        On a connection that stays up, a platform that has fallen silent cannot be told from one
        that has nothing new. Open reads therefore confirm only for a limited time after an answer.
        """
        for kind, reads in self.open_reads.items():
            if kind not in self.last_answer_at or not any(map(self._confirms, reads.awaited)):
                continue
            if reads.failure_count or kind in self._stale_numbers or kind in self._paused:
                continue
            self._freshness.confirm(kind, min(now, self._confirmed_until(now, kind)))

    def _confirmed_until(self, now: float, kind: DocumentKind) -> float:
        """Return when the next answer of the platform is due, to this node or to another reader."""
        answered_at = now - self._freshness.answers.age(now, kind)
        answer_seconds = max(ANSWER_START_SECONDS, self.answer_times.usual_max_seconds)
        due_at = answered_at + self._read_gap + self._answer_interval(kind) + answer_seconds
        if self.readership.sends_heartbeats:
            due_at += self._profile.heartbeat_interval + self._profile.tick
        return due_at

    def _answer_interval(self, kind: DocumentKind) -> float:
        """Return the seconds after which some reader of the fleet asks again at the latest.

        Where few nodes read, the answers about the configuration suffice: nodes that take over
        from readers of a silent platform read both documents.
        """
        if kind is DocumentKind.MACHINE_LIST and self.readership.sends_heartbeats:
            return self._relaxed_wait
        return self._profile.read_wait

    @property
    def _relaxed_wait(self) -> float:
        return max(self._profile.read_wait, self._profile.preceded_read_wait)

    def _is_answer_missing(self, now: float, kind: DocumentKind) -> bool:
        """Tell whether no reader has reported an answer in time, so that this node must ask."""
        answered_at = self.last_answer_at.get(kind)
        if answered_at is None or now - answered_at <= self._answer_interval(kind):
            return False
        return now > self._confirmed_until(now, kind)

    def on_preceding_reader(self, now: float) -> None:
        """Note the heartbeat of a reader that reads with the shorter wait."""
        self._preceding_reader_at = now

    @property
    def _read_gap(self) -> float:
        """Seconds between an answer and the next read."""
        has_few_readers = self.readership.sends_heartbeats
        return self._profile.few_readers_gap if has_few_readers else self._profile.read_gap

    def _confirms(self, read: OpenRead) -> bool:
        """Tell whether an open read proves that nothing has changed since it was issued.

        A read that was issued in an earlier era proves nothing.
        """
        return read.confirms and read.effect.era >= self._context.era

    def after_pause(self) -> None:
        """Ignore confirmations by open reads, which were issued before a pause of the process."""
        self._paused.update(DocumentKind)
        for reads in self.open_reads.values():
            reads.after_pause()

    def _read_if_due(
        self, now: float, kind: DocumentKind, held: int, may_be_stale: bool
    ) -> list[Effect]:
        if now < self._not_before[kind] or not self._may_open(now, kind):
            return []
        self._last_read_id += 1
        context = self._context
        read = ReadDocument(
            kind,
            self._known_number(kind, held),
            self._wait(now, kind, may_be_stale),
            may_be_stale,
            context.era,
            context.era_since,
            context.evacuated_zones,
            context.ended_evacuations,
            context.doubts_copy,
            context.held_revision,
            context.held_tree,
            self._last_read_id,
        )
        self.open_reads[kind].open(read, now, self.answer_times.timeout_seconds)
        return [read]

    def _may_open(self, now: float, kind: DocumentKind) -> bool:
        """Tell whether a read may be opened in addition to those that are open.

        This is allowed if all open reads are overdue, if the wait of the newest has ended, or if
        the source is slow. An answer that has begun does not contain changes that happen meanwhile.
        """
        reads = self.open_reads[kind]
        newest = reads.newest
        if newest is None:
            return True
        if self._profile.read_patience == 0 or reads.is_full:
            return False
        if not reads.is_any_due(now) or newest.is_past_wait(now):
            return True
        if newest.effect.wait > 0 and self._is_answer_missing(now, kind):
            return True
        return self._overlaps(kind) and now - newest.opened_at >= self._profile.read_overlap

    def _overlaps(self, kind: DocumentKind) -> bool:
        return self.answer_times.is_slow and kind in self.last_answer_at

    def _wait(self, now: float, kind: DocumentKind, may_be_stale: bool) -> float:
        """Return for how many seconds the platform may hold a read open.

        A read of a slow source is held open until the next one starts. A change ends the reads of
        all nodes at the same time, so the next reads get different waits. After any further change,
        one of them then starts soon and receives the change while answers to earlier reads are
        still being transferred.
        """
        reads = self.open_reads[kind]
        if may_be_stale or self._must_confirm(kind) or reads.is_any_overdue(now):
            return 0.0
        if reads.newest is not None and not self._overlaps(kind):
            return 0.0  # the answer tells whether the source is silent
        wait = self._usual_wait(now, kind)
        if kind in self._changed:
            self._changed.discard(kind)
            wait *= self._random.uniform(MIN_WAIT_SHARE, 1.0)
        if self._overlaps(kind):
            wait = min(wait, self._profile.read_overlap)
        if self._context.era and self._context.doubts_copy:
            wait = min(wait, NEW_ENTRY_WAIT_SECONDS)
        return wait

    def _usual_wait(self, now: float, kind: DocumentKind) -> float:
        """Return the wait in seconds, which is longer while another reader reports answers."""
        is_preceded = now - self._preceding_reader_at <= self._profile.reader_lease
        if is_preceded and self.readership.sends_heartbeats:
            return self._relaxed_wait
        return self._answer_interval(kind)

    def _must_confirm(self, kind: DocumentKind) -> bool:
        """Tell whether a read must confirm the held document instead of waiting for a change."""
        if kind in self._paused:
            return True
        unconfirmed = kind not in self.last_answer_at or self.open_reads[kind].failure_count > 0
        return unconfirmed and self.readership.starts_with_stale_read

    def _known_number(self, kind: DocumentKind, held: int) -> int:
        """Return the number of the document whose change the read waits for.

        For a platform that returns stale documents this is its own stale number. For a rejected
        revision it is the number of that revision. With the held number, either read would be
        answered immediately.
        """
        return self._stale_numbers.get(kind) or max(held, self._last_numbers.get(kind, 0))

    def is_failing(self, kind: DocumentKind) -> bool:
        """Tell whether the last read of a document failed."""
        return self.open_reads[kind].failure_count > 0

    def on_document(self, now: float, answer: DocumentRead, held: int) -> None:
        """Process an answer that contains a document; ``held`` is the number of the held one."""
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
        """Process an answer that is usable and no older than the held document."""
        if self._record_answer(now, answer):
            self._freshness.confirm(answer.kind, now)
            self._freshness.answers.confirm(answer.kind, now)

    def _record_answer(self, now: float, answer: DocumentRead | DocumentUnchanged) -> bool:
        """Record an answer; return false if its read was opened before the last pause."""
        kind = answer.kind
        is_recent = self._close_read(answer)
        if not is_recent:
            self._not_before[kind] = now
            return False
        self._paused.discard(kind)
        self._not_before[kind] = now + self._read_gap
        self.last_answer_at[kind] = now
        return True

    def _close_read(self, answer: DocumentRead | DocumentUnchanged) -> bool:
        is_recent = self.open_reads[answer.kind].answered(answer.read_id)
        if is_recent:
            self._record_time(answer.answer_seconds)
        return is_recent

    def _record_time(self, seconds: float | None) -> None:
        if seconds is not None:
            self.answer_times.record(seconds)

    def on_stale_document(self, now: float, answer: DocumentRead) -> None:
        """Process an answer that may be stale."""
        kind = answer.kind
        self._close_read(answer)
        self._not_before[kind] = now

    def on_failure(self, now: float, failed: DocumentReadFailed) -> dict[str, Any]:
        """Delay the next read, by exponential backoff or longer if the platform asked for it.

        Returns:
            The fields for the log event of the failure.
        """
        kind, retry_after = failed.kind, failed.retry_after
        reads = self.open_reads[kind]
        self._record_time(failed.answer_seconds)
        backoff = self._profile.read_backoff * BACKOFF_FACTOR**reads.failure_count
        backoff = min(backoff, self._profile.read_backoff_limit)
        delay = max(retry_after or 0.0, backoff) * self._random.uniform(0.5, 1.5)
        self._not_before[kind] = now + delay
        return reads.failed(now, failed)
