"""One replica of the configuration: held, committed and in-force revisions."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum

import msgspec

from pewtertack.core.configuration.findings import Finding
from pewtertack.core.configuration.memory import CheckedTables, ResolvedRoutes
from pewtertack.core.configuration.resolution import resolving_checked
from pewtertack.core.configuration.resolved import ResolvedConfiguration
from pewtertack.core.configuration.validation import checking_document
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
WRONG_DIGEST = "snapshot digest"
DIGESTED_ENTRIES_PER_UNIT = 30
"""Entries whose digest is computed in one unit."""


class Lag(Enum):
    """What is known of a revision newer than the one in force."""

    NONE = "none"
    """There is none."""
    COMING = "coming"
    """It is committed, and will be in force as soon as it is here."""
    REFUSED = "refused"
    """It was found invalid here."""


class Rejection(msgspec.Struct, frozen=True):
    """A refused revision and why."""

    revision: RevisionId
    findings: tuple[Finding, ...]


class ConfigurationReplica:
    """Decides what to hold and what to bring into force.

    Invariants: the numbers of ``held``, ``committed`` and ``in_force`` never
    decrease; ``in_force`` was committed and is valid, whole and resolved.
    """

    def __init__(self, zone: str, mechanisms: Mechanisms) -> None:
        self._zone = zone
        self._mechanisms = mechanisms
        self.store = DocumentStore()
        self._checked_tables = CheckedTables()
        self._resolved_routes = ResolvedRoutes()
        self.committed = NO_REVISION
        self.in_force: ResolvedConfiguration | None = None
        self._resolving: SlicedWork[ResolvedConfiguration] | None = None
        self.last_rejection: Rejection | None = None
        self.stale_answers = 0
        self.conflicts = 0

    @property
    def held(self) -> RevisionId:
        """The newest valid revision stored whole."""
        return self.store.revision

    @property
    def in_force_number(self) -> int:
        """The number of the revision in force; 0 for none."""
        return self.in_force.revision.number if self.in_force is not None else 0

    @property
    def lag(self) -> Lag:
        """Whether the revision in force is the newest that is known."""
        refused = (
            self.current_rejection.revision.number if self.current_rejection is not None else 0
        )
        newest = max(self.committed.number, refused)
        if newest <= self.in_force_number:
            return Lag.NONE
        return Lag.REFUSED if newest == refused else Lag.COMING

    @property
    def current_rejection(self) -> Rejection | None:
        """The last refused revision while nothing as new is held."""
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
        """The committed revision, if this replica went past it without holding it."""
        if self.held.number < self.committed.number or self.committed.number == 0:
            return None
        if self.committed.number <= self.in_force_number:
            return None
        return self.committed if self.store.recent_document(self.committed) is None else None

    def offer_document(self, number: int, document: Document) -> list[Effect]:
        """Take in the source's answer."""
        return run_to_completion(self.offer_document_in_slices(number, document))

    def offer_document_in_slices(self, number: int, document: Document) -> Work[list[Effect]]:
        """Do what ``offer_document`` does, in slices."""
        yield _digest_cost(document)
        revision = revision_id_of(number, document)
        yield _digest_cost(document)
        return (yield from self.offer_in_slices(revision, document))

    def offer_snapshot_in_slices(
        self, revision: RevisionId, document: Document
    ) -> Work[list[Effect]]:
        """Take in a peer's whole document, in slices, if its digest is right."""
        yield _digest_cost(document)
        if revision_id_of(revision.number, document) != revision:
            return [Log(Event.FRAME_REFUSED, {"reason": WRONG_DIGEST})]
        yield _digest_cost(document)
        return (yield from self.offer_in_slices(revision, document))

    def offer(self, revision: RevisionId, document: Document) -> list[Effect]:
        """Hold ``document`` if it is newer and valid."""
        return run_to_completion(self.offer_in_slices(revision, document))

    def offer_in_slices(self, revision: RevisionId, document: Document) -> Work[list[Effect]]:
        """Do what ``offer`` does, in slices."""
        refused = self._refuse_by_order(revision)
        if refused is not None:
            return refused
        document = yield from self._share_in_slices(document)
        rejected = yield from self._check_in_slices(revision, document)
        if rejected is not None:
            return rejected
        if revision.number < self.held.number and revision == self.missing_committed:
            self.store.keep_recent(revision, document)
            return []
        yield _digest_cost(document)
        self.store.put(revision, document)
        return [self._held_log()]

    def offer_deltas(self, deltas: tuple[Delta, ...]) -> list[Effect]:
        """Hold the end of a chain of deltas if it is newer and valid.

        A chain that does not fit, or whose end is invalid, changes nothing.

        Raises:
            DeltaMismatchError: the chain starts at the held revision but an edit
                does not fit or the result has another digest.
        """
        return run_to_completion(self.offer_deltas_in_slices(deltas))

    def offer_deltas_in_slices(self, deltas: tuple[Delta, ...]) -> Work[list[Effect]]:
        """Do what ``offer_deltas`` does, in slices; it raises the same."""
        yield _digest_cost(self.store.document)
        steps = self.store.resolve_chain(deltas)
        if not steps:
            return []
        revision, document = steps[-1].delta.target, steps[-1].document
        refused = self._refuse_by_order(revision)
        if refused is not None:
            return refused
        yield _digest_cost(document)
        rejected = yield from self._check_in_slices(revision, document)
        if rejected is not None:
            return rejected
        self.store.put_steps(steps)
        return [self._held_log()]

    def _share_in_slices(self, document: Document) -> Work[Document]:
        """Return the document with the tables of the held one that it leaves alone.

        A source may answer with anything; what is no tree is left to validation.
        """
        try:
            return (yield from self.store.share_in_slices(document))
        except (AttributeError, TypeError, DeltaMismatchError):
            return document

    def _refuse_by_order(self, revision: RevisionId) -> list[Effect] | None:
        """Refuse what is neither newer nor the committed revision we lack."""
        if revision == self.held:
            return []
        if revision == self.missing_committed:
            return None
        try:
            newer = revision.is_newer_than(self.held)
        except RevisionConflictError:
            self.conflicts += 1
            return [self._revision_log(Event.REVISION_CONFLICT, revision)]
        if newer or not self._mechanisms.monotonic_numbers:
            return None
        self.stale_answers += 1
        return [self._revision_log(Event.REVISION_STALE, revision)]

    def _check_in_slices(
        self, revision: RevisionId, document: Document
    ) -> Work[list[Effect] | None]:
        """Return what refuses the document; nothing if it is valid."""
        if self.last_rejection is not None and self.last_rejection.revision == revision:
            return []
        if not self._mechanisms.validation:
            return None
        findings = yield from checking_document(document, self._checked_tables)
        if not findings:
            return None
        self.last_rejection = Rejection(revision, findings)
        return [self.rejection_log(self.last_rejection)]

    def mark_committed(self, revision: RevisionId) -> bool:
        """Take in a commit mark; return whether it was news."""
        if revision.number <= self.committed.number:
            return False
        self.committed = revision
        return True

    def next_in_force(self) -> ResolvedConfiguration | None:
        """Return the configuration to swap in now, if the committed one is held."""
        return self.advance_in_force(Budget())

    @property
    def is_resolving(self) -> bool:
        """Whether a configuration is being resolved."""
        return self._resolving is not None

    def advance_in_force(self, budget: Budget) -> ResolvedConfiguration | None:
        """Do what ``next_in_force`` does as far as the budget allows; go on at the next call.

        One that has been begun comes into force before a newer one is begun.
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
        return SlicedWork(resolving_checked(document, target, self._zone, self._resolved_routes))

    def rejection_log(self, rejection: Rejection, lasting: float | None = None) -> Log:
        """Return the event of a refusal; ``lasting`` is its age in seconds."""
        log = self._revision_log(Event.REVISION_REJECTED, rejection.revision)
        log.fields["findings"] = list(map(str, rejection.findings[:MAX_REPORTED_FINDINGS]))
        if lasting is not None:
            log.fields["lasting"] = round(lasting, 3)
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
