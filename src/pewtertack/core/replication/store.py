"""Documents that one replica holds: the newest, and a bounded log of deltas."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Iterable

from pewtertack.core.delta import Delta, apply_delta, apply_edits, compare, compare_in_slices
from pewtertack.core.revision import NO_REVISION, Document, RevisionId
from pewtertack.core.slices import Work, run_to_completion

MAX_DELTAS = 64
MAX_EDITS = 2000
"""A delta log with more edits than this, and than the document has entries, is shortened, since a
snapshot is cheaper then."""
MAX_RECENT_DOCUMENTS = 8
"""Recent documents share most of their content, as edits copy only their path."""


class ChainStep:
    """A delta with the document that it leads to."""

    __slots__ = ("delta", "document")

    def __init__(self, delta: Delta, document: Document) -> None:
        self.delta = delta
        self.document = document


class DocumentStore:
    """The newest held revision of one document, with how it came about."""

    def __init__(self) -> None:
        self.revision = NO_REVISION
        self.document: Document = {}
        self._deltas: deque[Delta] = deque(maxlen=MAX_DELTAS)
        self._recent: OrderedDict[RevisionId, Document] = OrderedDict()

    def share_with_newest(self, document: Document) -> Document:
        """Return an equal document that shares with the newest what it leaves alone."""
        return run_to_completion(self.share_in_slices(document))

    def share_in_slices(self, document: Document) -> Work[Document]:
        """Do what ``share`` does, in slices."""
        edits = yield from compare_in_slices(self.document, document)
        return apply_edits(self.document, edits)

    def put(self, revision: RevisionId, document: Document) -> None:
        """Hold ``document``; the caller has checked it and its digest."""
        delta = Delta(self.revision, revision, compare(self.document, document))
        self._append(delta, document)

    def resolve_chain(self, deltas: Iterable[Delta]) -> tuple[ChainStep, ...]:
        """Return where a chain leads from the held revision, changing nothing.

        What comes before the held revision is left out.

        Raises:
            DeltaMismatchError: an edit does not fit or yields another digest.
        """
        steps: list[ChainStep] = []
        revision, document = self.revision, self.document
        for delta in deltas:
            if delta.base == revision:
                revision, document = delta.target, apply_delta(delta, document)
                steps.append(ChainStep(delta, document))
        return tuple(steps)

    def put_steps(self, steps: Iterable[ChainStep]) -> None:
        """Hold the end of a chain that ``follow`` returned."""
        for step in steps:
            self._append(step.delta, step.document)

    def _append(self, delta: Delta, document: Document) -> None:
        if self.revision != NO_REVISION:
            self._deltas.append(delta)
        self._shorten_log(entry_count(document))
        self.revision = delta.target
        self.document = document
        self.keep_recent(delta.target, document)

    def keep_recent(self, revision: RevisionId, document: Document) -> None:
        """Keep a document among the recent ones without making it the newest."""
        self._recent[revision] = document
        while len(self._recent) > MAX_RECENT_DOCUMENTS:
            self._recent.popitem(last=False)

    def _shorten_log(self, entries: int) -> None:
        edits = sum(len(delta.edits) for delta in self._deltas)
        limit = max(MAX_EDITS, entries)
        while edits > limit:
            edits -= len(self._deltas.popleft().edits)

    def recent_document(self, revision: RevisionId) -> Document | None:
        """Return the document of a recent revision, if still kept."""
        return self._recent.get(revision)

    def deltas_since(self, revision: RevisionId) -> tuple[Delta, ...] | None:
        """Return the chain from ``revision`` to the newest, or nothing if unknown."""
        deltas = list(self._deltas)
        for index, delta in enumerate(deltas):
            if delta.base == revision:
                return tuple(deltas[index:])
        return None

    @property
    def last_delta(self) -> Delta | None:
        """The newest edit, if the log has it."""
        return self._deltas[-1] if self._deltas else None


def entry_count(document: Document) -> int:
    """Return how many entries the tables of a document have."""
    return sum(len(table) for table in document.values() if isinstance(table, dict))
