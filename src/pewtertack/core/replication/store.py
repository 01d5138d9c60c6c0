"""Store of the documents that one replica holds: the newest and a bounded log of deltas."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Iterable

from pewtertack.core.delta import Delta, apply_delta, apply_edits, compare, compare_in_slices
from pewtertack.core.revision import NO_REVISION, Document, RevisionId
from pewtertack.core.slices import Work, run_to_completion

MAX_DELTAS = 64
"""Number of deltas that the log keeps."""
MAX_EDITS = 2000
"""A delta log is shortened if it has more edits than this and than the document has entries, since
a snapshot is then cheaper."""
MAX_RECENT_DOCUMENTS = 8
"""Recent documents share most of their content, because an edit copies only its path."""


class ChainStep:
    """A delta and the document that results from it."""

    __slots__ = ("delta", "document")

    def __init__(self, delta: Delta, document: Document) -> None:
        self.delta = delta
        self.document = document


class DocumentStore:
    """The newest held revision of one document, with its recent deltas and predecessors."""

    def __init__(self) -> None:
        self.revision = NO_REVISION
        self.document: Document = {}
        self._deltas: deque[Delta] = deque(maxlen=MAX_DELTAS)
        self._recent: OrderedDict[RevisionId, Document] = OrderedDict()

    def share_with_newest(self, document: Document) -> Document:
        """Return an equal document that shares unchanged tables with the newest one."""
        return run_to_completion(self.share_in_slices(document))

    def share_in_slices(self, document: Document) -> Work[Document]:
        """Like ``share_with_newest``, in slices."""
        edits = yield from compare_in_slices(self.document, document)
        return apply_edits(self.document, edits)

    def put(self, revision: RevisionId, document: Document) -> None:
        """Hold ``document``, which the caller has validated, including its digest."""
        delta = Delta(self.revision, revision, compare(self.document, document))
        self._append(delta, document)

    def resolve_chain(self, deltas: Iterable[Delta]) -> tuple[ChainStep, ...]:
        """Return the steps of a chain of deltas from the held revision, without storing them.

        Deltas that precede the held revision are skipped.

        Raises:
            DeltaMismatchError: an edit does not apply or the digest of its result differs.
        """
        steps: list[ChainStep] = []
        revision, document = self.revision, self.document
        for delta in deltas:
            if delta.base == revision:
                revision, document = delta.target, apply_delta(delta, document)
                steps.append(ChainStep(delta, document))
        return tuple(steps)

    def put_steps(self, steps: Iterable[ChainStep]) -> None:
        """Hold the last document of a chain that ``resolve_chain`` returned."""
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
        """Add a document to the recent ones without making it the newest."""
        self._recent[revision] = document
        while len(self._recent) > MAX_RECENT_DOCUMENTS:
            self._recent.popitem(last=False)

    def _shorten_log(self, entries: int) -> None:
        edits = sum(len(delta.edits) for delta in self._deltas)
        limit = max(MAX_EDITS, entries)
        while edits > limit:
            edits -= len(self._deltas.popleft().edits)

    def recent_document(self, revision: RevisionId) -> Document | None:
        """Return the document of a recent revision, or ``None`` if it is no longer kept."""
        return self._recent.get(revision)

    def deltas_since(self, revision: RevisionId) -> tuple[Delta, ...] | None:
        """Return the deltas from ``revision`` to the newest, or ``None`` if the log lacks them."""
        deltas = list(self._deltas)
        for index, delta in enumerate(deltas):
            if delta.base == revision:
                return tuple(deltas[index:])
        return None

    @property
    def last_delta(self) -> Delta | None:
        """The newest delta, if the log contains it."""
        return self._deltas[-1] if self._deltas else None


def entry_count(document: Document) -> int:
    """Return the total number of entries in the tables of a document."""
    return sum(len(table) for table in document.values() if isinstance(table, dict))
