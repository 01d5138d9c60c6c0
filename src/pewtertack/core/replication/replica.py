"""One replica of the configuration, with its held, committed and in-force revisions."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum

import msgspec

from pewtertack.core.configuration.findings import Finding
from pewtertack.core.configuration.memory import ResolvedRouteCache, ValidationCache
from pewtertack.core.configuration.resolution import resolve_checked_in_slices
from pewtertack.core.configuration.resolved import ResolvedConfiguration
from pewtertack.core.configuration.validation import check_document_in_slices
from pewtertack.core.delta import Delta, DeltaMismatchError
from pewtertack.core.effects import Effect, Log
from pewtertack.core.profile import Mechanisms
from pewtertack.core.replication.store import DocumentStore, entry_count
from pewtertack.core.revision import (
    NO_REVISION,
    Document,
    RevisionConflictError,
    RevisionId,
    revision_id_of,
)
from pewtertack.core.slices import Budget, SlicedWork, Work, run_to_completion
from pewtertack.events import Event

MAX_REPORTED_FINDINGS = 5
WRONG_DIGEST = "wrong snapshot digest"
DIGESTED_ENTRIES_PER_UNIT = 30
"""Number of entries whose digest is computed in one unit of sliced work."""


class Lag(Enum):
    """Whether a revision newer than the one in force is known, and its state."""

    NONE = "none"
    """No newer revision is known."""
    COMING = "coming"
    """It is committed and comes into force as soon as it has arrived."""
    REFUSED = "refused"
    """It was rejected by this node as invalid."""


class Rejection(msgspec.Struct, frozen=True):
    """A rejected revision and the findings that made it invalid."""

    revision: RevisionId
    findings: tuple[Finding, ...]


class ConfigurationReplica:
    """Decides which revision to hold and which to bring into force.

    Invariants: the numbers of ``held``, ``committed`` and ``in_force`` never decrease; ``in_force``
    was committed and is valid, complete and resolved.
    """

    def __init__(self, zone: str, mechanisms: Mechanisms) -> None:
        self._zone = zone
        self._mechanisms = mechanisms
        self.store = DocumentStore()
        self._validation_cache = ValidationCache()
        self._resolved_routes = ResolvedRouteCache()
        self.committed = NO_REVISION
        self.in_force: ResolvedConfiguration | None = None
        self._resolving: SlicedWork[ResolvedConfiguration] | None = None
        self.last_rejection: Rejection | None = None
        self.stale_answers = 0
        self.conflicts = 0

    @property
    def held(self) -> RevisionId:
        """The newest valid revision that is stored completely."""
        return self.store.revision

    @property
    def in_force_number(self) -> int:
        """The number of the revision in force, or 0 if there is none."""
        return self.in_force.revision.number if self.in_force is not None else 0

    @property
    def lag(self) -> Lag:
        """Whether the revision in force is older than the newest known revision, and why."""
        rejected_number = (
            self.current_rejection.revision.number if self.current_rejection is not None else 0
        )
        newest_number = max(self.committed.number, rejected_number)
        if newest_number <= self.in_force_number:
            return Lag.NONE
        return Lag.REFUSED if newest_number == rejected_number else Lag.COMING

    @property
    def current_rejection(self) -> Rejection | None:
        """The last rejected revision, unless one at least as new is held."""
        rejection = self.last_rejection
        if rejection is None or rejection.revision.number <= self.held.number:
            return None
        return rejection

    def wants(self, revision: RevisionId) -> bool:
        """Tell whether ``revision`` is worth pulling from a peer."""
        if self.last_rejection is not None and revision == self.last_rejection.revision:
            return False
        return revision.number > self.held.number or revision == self.missing_committed

    @property
    def missing_committed(self) -> RevisionId | None:
        """The committed revision if it is not stored here although one at least as new is held."""
        if self.held.number < self.committed.number or self.committed.number == 0:
            return None
        if self.committed.number <= self.in_force_number:
            return None
        return self.committed if self.store.recent_document(self.committed) is None else None

    def offer_document(self, number: int, document: Document) -> list[Effect]:
        """Hold the document that the source returned if it is newer and valid."""
        return run_to_completion(self.offer_document_in_slices(number, document))

    def offer_document_in_slices(self, number: int, document: Document) -> Work[list[Effect]]:
        """Like ``offer_document``, in slices."""
        yield _digest_cost(document)
        revision = revision_id_of(number, document)
        yield _digest_cost(document)
        return (yield from self.offer_in_slices(revision, document))

    def offer_snapshot_in_slices(
        self, revision: RevisionId, document: Document
    ) -> Work[list[Effect]]:
        """Hold a peer's snapshot if its digest matches and it is newer and valid, in slices."""
        yield _digest_cost(document)
        if revision_id_of(revision.number, document) != revision:
            return [Log(Event.FRAME_REFUSED, {"reason": WRONG_DIGEST})]
        yield _digest_cost(document)
        return (yield from self.offer_in_slices(revision, document))

    def offer(self, revision: RevisionId, document: Document) -> list[Effect]:
        """Hold ``document`` if it is newer and valid."""
        return run_to_completion(self.offer_in_slices(revision, document))

    def offer_in_slices(self, revision: RevisionId, document: Document) -> Work[list[Effect]]:
        """Like ``offer``, in slices."""
        refusal = self._refuse_by_order(revision)
        if refusal is not None:
            return refusal
        document = yield from self._share_in_slices(document)
        rejection = yield from self._check_in_slices(revision, document)
        if rejection is not None:
            return rejection
        if revision.number < self.held.number and revision == self.missing_committed:
            self.store.keep_recent(revision, document)
            return []
        yield _digest_cost(document)
        self.store.put(revision, document)
        return [self._held_log()]

    def offer_deltas(self, deltas: tuple[Delta, ...]) -> list[Effect]:
        """Hold the target of a chain of deltas if it is newer and valid.

        A chain that does not fit, or whose target is invalid, changes nothing.

        Raises:
            DeltaMismatchError: the chain starts at the held revision, but an edit does not apply or
                the digest of the result differs.
        """
        return run_to_completion(self.offer_deltas_in_slices(deltas))

    def offer_deltas_in_slices(self, deltas: tuple[Delta, ...]) -> Work[list[Effect]]:
        """Like ``offer_deltas``, in slices; the work raises ``DeltaMismatchError``."""
        yield _digest_cost(self.store.document)
        steps = self.store.resolve_chain(deltas)
        if not steps:
            return []
        revision, document = steps[-1].delta.target, steps[-1].document
        refusal = self._refuse_by_order(revision)
        if refusal is not None:
            return refusal
        yield _digest_cost(document)
        rejection = yield from self._check_in_slices(revision, document)
        if rejection is not None:
            return rejection
        self.store.put_steps(steps)
        return [self._held_log()]

    def _share_in_slices(self, document: Document) -> Work[Document]:
        """Return an equal document that shares unchanged tables with the held one.

        A source may return anything; a value that is no tree is returned as is, for validation to
        reject.
        """
        try:
            return (yield from self.store.share_in_slices(document))
        except (AttributeError, TypeError, DeltaMismatchError):
            return document

    def _refuse_by_order(self, revision: RevisionId) -> list[Effect] | None:
        """Return the effects of refusing a revision because of its number, or ``None``.

        Accepted are newer revisions and the committed revision that is missing here.
        """
        if revision == self.held:
            return []
        if revision == self.missing_committed:
            return None
        try:
            is_newer = revision.is_newer_than(self.held)
        except RevisionConflictError:
            self.conflicts += 1
            return [self._revision_log(Event.REVISION_CONFLICT, revision)]
        if is_newer or not self._mechanisms.monotonic_numbers:
            return None
        self.stale_answers += 1
        return [self._revision_log(Event.REVISION_STALE, revision)]

    def _check_in_slices(
        self, revision: RevisionId, document: Document
    ) -> Work[list[Effect] | None]:
        """Return the effects of rejecting the document, or ``None`` if it is valid."""
        if self.last_rejection is not None and self.last_rejection.revision == revision:
            return []
        if not self._mechanisms.validation:
            return None
        findings = yield from check_document_in_slices(document, self._validation_cache)
        if not findings:
            return None
        self.last_rejection = Rejection(revision, findings)
        return [self.rejection_log(self.last_rejection)]

    def mark_committed(self, revision: RevisionId) -> bool:
        """Record that ``revision`` is committed; return whether that was new."""
        if revision.number <= self.committed.number:
            return False
        self.committed = revision
        return True

    def next_in_force(self) -> ResolvedConfiguration | None:
        """Bring the committed revision into force if it is held, and return its configuration."""
        return self.advance_in_force(Budget())

    @property
    def is_resolving(self) -> bool:
        """Whether a configuration is being resolved."""
        return self._resolving is not None

    def advance_in_force(self, budget: Budget) -> ResolvedConfiguration | None:
        """Like ``next_in_force``, as far as ``budget`` allows; the next call continues.

        A configuration whose resolution has started comes into force before a newer one is started.
        """
        if self._resolving is None:
            self._resolving = self._next_to_resolve()
        work = self._resolving
        self._resolving = None
        if work is None:
            return None
        if not work.advance(budget):
            self._resolving = work
            return None
        self.in_force = work.result
        return self.in_force

    def _next_to_resolve(self) -> SlicedWork[ResolvedConfiguration] | None:
        target = self.committed if self._mechanisms.quorum_gate else self.held
        current = self.in_force_number
        if target.number == 0:
            return None
        if target.number <= current and self._mechanisms.monotonic_numbers:
            return None
        if self.in_force is not None and self.in_force.revision == target:
            return None
        document = self.store.recent_document(target)
        if document is None:
            return None
        return SlicedWork(
            resolve_checked_in_slices(document, target, self._zone, self._resolved_routes)
        )

    def rejection_log(self, rejection: Rejection, lasting_seconds: float | None = None) -> Log:
        """Return the log event of a rejection; ``lasting_seconds`` is how long it has persisted."""
        log = self._revision_log(Event.REVISION_REJECTED, rejection.revision)
        log.fields["findings"] = list(map(str, rejection.findings[:MAX_REPORTED_FINDINGS]))
        if lasting_seconds is not None:
            log.fields["lasting"] = round(lasting_seconds, 3)
        return log

    def _held_log(self) -> Log:
        return self._revision_log(Event.REVISION_HELD, self.held)

    def _revision_log(self, event: Event, revision: RevisionId) -> Log:
        fields = {"revision": revision.number, "digest": revision.digest.hex()}
        return Log(event, fields)


def _digest_cost(document: Document) -> float:
    return (
        entry_count(document) / DIGESTED_ENTRIES_PER_UNIT if isinstance(document, Mapping) else 0.0
    )


__all__ = ["WRONG_DIGEST", "ConfigurationReplica", "DeltaMismatchError", "Rejection"]
