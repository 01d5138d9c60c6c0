"""The machine list of one replica: the newest valid list, with leaving notices applied.

Unlike a configuration, a list is used as soon as it arrives, without a quorum. It lags behind in
any case, and the request path tolerates machines that are gone.
"""

from __future__ import annotations

import math

import msgspec

from pewtertack.core.delta import Delta, DeltaMismatchError
from pewtertack.core.effects import Effect, Log, UseMachineList
from pewtertack.core.eras import EraChange, era_of
from pewtertack.core.machines import (
    Machine,
    MachineList,
    MachineRole,
    machine_list_from_document,
)
from pewtertack.core.replication.leaving import LeavingBackends
from pewtertack.core.replication.store import ChainStep, DocumentStore
from pewtertack.core.returned_lists import MachineListOverrides
from pewtertack.core.revision import Document, RevisionId
from pewtertack.events import Event
from pewtertack.wire.messages import LeavingBackend, ListOverrides


class MachineListReplica:
    """Holds the newest list; its number never decreases.

    Args:
        hold_after_return: seconds for which earlier knowledge overrides the lists of a new era of
            the source (``core.returned_lists``).
        began_at: since when the node has observed leaving machines, in monotonic seconds.
    """

    def __init__(self, hold_after_return: float = 0.0, began_at: float = -math.inf) -> None:
        self.store = DocumentStore()
        self.overrides = MachineListOverrides(hold_after_return, began_at)
        self.era_change: EraChange | None = None
        """The effects of the last change of era, until they are logged."""
        self._listed = MachineList(0, ())
        self.machines = MachineList(0, ())
        self._leaving = LeavingBackends()

    @property
    def revision(self) -> RevisionId:
        """The revision of the list that is in use."""
        return self.store.revision

    @property
    def era(self) -> int:
        """The era of the list that is in use."""
        return era_of(self.revision.number)

    def nodes(self) -> list[Machine]:
        """Return the nodes in the list that is in use."""
        return [entry for entry in self.machines.machines if entry.role is MachineRole.NODE]

    def offer_deltas(self, now: float, deltas: tuple[Delta, ...]) -> list[Effect]:
        """Use the target of a chain of deltas if it is newer; a mismatch changes nothing."""
        try:
            steps = self.store.resolve_chain(deltas)
        except DeltaMismatchError as error:
            return [Log(Event.MACHINE_LIST_FAILED, {"reason": str(error)})]
        if not steps:
            return []
        return self.offer(now, steps[-1].delta.target, steps[-1].document)

    def offer(self, now: float, revision: RevisionId, document: Document) -> list[Effect]:
        """Use ``document`` if it is newer and valid; otherwise the current list stays in use."""
        if revision.number <= self.revision.number:
            return []
        try:
            machines = machine_list_from_document(revision.number, document)
        except msgspec.ValidationError as error:
            return [Log(Event.MACHINE_LIST_FAILED, {"reason": str(error)})]
        self.store.put(revision, document)
        self._listed = machines
        self.era_change = self.overrides.update(now, machines) or self.era_change
        return self._refresh(now)

    def tick(self, now: float) -> list[Effect]:
        """Rebuild the list in use when overrides have expired."""
        return self._refresh(now) if self.overrides.has_expired(now) else []

    def _refresh(self, now: float) -> list[Effect]:
        self.machines = self._leaving.apply(self.overrides.apply(now, self._listed))
        return [UseMachineList(self.machines)]

    def on_overrides(self, now: float, report: ListOverrides) -> list[Effect]:
        """Apply the overrides that a peer reported."""
        return self._refresh(now) if self.overrides.apply_report(now, report, self._listed) else []

    def trust_new_entries(self, now: float) -> list[Effect]:
        """Use the new entries of a new era, since peers have reported which of them have left."""
        if not self.overrides.new_entries:
            return []
        self.overrides.new_entries.clear()
        return self._refresh(now)

    def override_messages(self, now: float) -> tuple[ListOverrides, ...]:
        """Return the messages with the overrides for a starting peer; usually none."""
        if not self.overrides.is_active(now):
            return ()
        from pewtertack.core.replication.list_overrides import messages_of, overrides_against

        overrides = overrides_against(self._listed, self.machines)
        return messages_of(
            self.revision.number,
            overrides,
            lambda name: self.overrides.remaining_seconds(now, name),
        )

    def renumber(self, now: float, revision: RevisionId) -> list[Effect]:
        """Adopt the higher number of a list with the same content.

        The platform numbers its answers, so two readers may receive one list under two numbers.
        """
        held = self.revision
        if held.digest != revision.digest or not revision.number > held.number > 0:
            return []
        if era_of(revision.number) != self.era:
            return self.offer(now, revision, self.store.document)
        self.store.put_steps([ChainStep(Delta(held, revision, ()), self.store.document)])
        self._listed = MachineList(revision.number, self._listed.machines)
        self.machines = MachineList(revision.number, self.machines.machines)
        return []

    @property
    def leaving_notices(self) -> tuple[LeavingBackend, ...]:
        """The leaving back ends that the list as read does not show so, for a starting peer."""
        return self._leaving.unknown_to(self._listed)

    def mark_leaving(self, notices: tuple[LeavingBackend, ...]) -> tuple[LeavingBackend, ...]:
        """Mark back ends as leaving before the list does; return the notices that were new."""
        new_notices = self._leaving.observe(notices, self.machines)
        if new_notices:
            self.machines = self._leaving.apply(self.machines)
        return new_notices
