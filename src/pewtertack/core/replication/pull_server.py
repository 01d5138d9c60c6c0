"""Answers to pulls: deltas if the log reaches back far enough, otherwise rate-limited snapshots."""

from __future__ import annotations

from random import Random

from pewtertack.core.profile import TimingProfile
from pewtertack.core.replication.store import DocumentStore
from pewtertack.core.revision import Document, RevisionId
from pewtertack.wire.messages import (
    Busy,
    DeltaAnswer,
    DocumentKind,
    Message,
    PackedAnswer,
    Pull,
    SnapshotAnswer,
)
from pewtertack.wire.packing import PullAnswer, pack

RETRY_AFTER_RANGE_MILLISECONDS = (200, 800)
"""Range from which the retry delay of a refused peer is chosen at random."""


class _PackedAnswerCache:
    """Caches the last packed answer: after an edit, a whole zone pulls the same one."""

    __slots__ = ("answer", "packed")

    def __init__(self) -> None:
        self.answer: PullAnswer | None = None
        self.packed: PackedAnswer | None = None

    def packed_form(self, answer: PullAnswer) -> PackedAnswer | None:
        """Return ``answer`` packed, or ``None`` if it is to be sent unpacked."""
        if answer != self.answer:
            self.answer, self.packed = answer, pack(answer)
        return self.packed


class _TokenBucket:
    """A token bucket that holds at most the tokens of one second."""

    __slots__ = ("_rate", "_refilled_at", "_tokens")

    def __init__(self, rate: float, now: float) -> None:
        self._rate = self._tokens = rate
        self._refilled_at = now

    def take(self, now: float) -> bool:
        self._tokens = min(self._rate, self._tokens + (now - self._refilled_at) * self._rate)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class PullServer:
    """Serves the documents of one node to its peers.

    The rate of snapshots is limited for each kind of document separately. With a shared limit, a
    joiner, which needs both documents, received one and had to retry for the other half a second
    later.
    """

    def __init__(
        self,
        stores: dict[DocumentKind, DocumentStore],
        profile: TimingProfile,
        random: Random,
        now: float,
        wide_link: bool = False,
    ) -> None:
        self._stores = stores
        rate = profile.wide_snapshots_per_second if wide_link else profile.snapshots_per_second
        self._snapshot_buckets = {kind: _TokenBucket(rate, now) for kind in DocumentKind}
        self._random = random
        self._packed = {kind: _PackedAnswerCache() for kind in DocumentKind}

    def answer(self, now: float, pull: Pull) -> Message | None:
        """Return the answer to ``pull``, or ``None`` if this node has nothing newer."""
        store = self._stores[pull.kind]
        if pull.exact is not None:
            return self._answer_exact(now, pull.kind, pull.exact)
        if store.revision.number == 0 or store.revision == pull.have:
            return None
        if store.revision.number < pull.have.number:
            return None
        deltas = store.deltas_since(pull.have)
        if deltas is not None:
            answer = DeltaAnswer(pull.kind, deltas)
            return self._packed[pull.kind].packed_form(answer) or answer
        return self._snapshot(now, pull.kind, store.revision, store.document)

    def _answer_exact(self, now: float, kind: DocumentKind, revision: RevisionId) -> Message | None:
        document = self._stores[kind].recent_document(revision)
        if document is None:
            return None
        return self._snapshot(now, kind, revision, document)

    def _snapshot(
        self, now: float, kind: DocumentKind, revision: RevisionId, document: Document
    ) -> Message:
        if not self._snapshot_buckets[kind].take(now):
            return Busy(kind, self._random.randint(*RETRY_AFTER_RANGE_MILLISECONDS))
        answer = SnapshotAnswer(kind, revision, dict(document))
        return self._packed[kind].packed_form(answer) or answer
