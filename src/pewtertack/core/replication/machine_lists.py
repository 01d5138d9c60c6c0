"""The machine list of one replica: the newest that can be read, with leaving notices.

Unlike a configuration the list is used as soon as it is there: it lags anyway, and
the request path tolerates machines that are gone.
"""

from __future__ import annotations

import msgspec

from pewtertack.core.delta import Delta, DeltaMismatchError
from pewtertack.core.effects import Effect, Log, UseMachines
from pewtertack.core.machines import (
    Machine,
    MachineList,
    MachineRole,
    machine_list_from_document,
)
from pewtertack.core.replication.leaving import LeavingBackends
from pewtertack.core.replication.store import DocumentStore
from pewtertack.core.revision import Document, RevisionId
from pewtertack.events import Event
from pewtertack.wire.messages import LeavingBackend


class MachineListReplica:
    """Holds the newest list; numbers only grow."""

    def __init__(self) -> None:
        self.store = DocumentStore()
        self.machines = MachineList(0, ())
        self._leaving = LeavingBackends()

    @property
    def revision(self) -> RevisionId:
        """The revision of the list in use."""
        return self.store.revision

    def nodes(self) -> list[Machine]:
        """Return the nodes of the list in use."""
        return [entry for entry in self.machines.machines if entry.role is MachineRole.NODE]

    def offer_deltas(self, deltas: tuple[Delta, ...]) -> list[Effect]:
        """Use the end of a chain if it is newer; a chain that does not fit changes nothing."""
        try:
            revision, document = self.store.preview(deltas)
        except DeltaMismatchError as error:
            return [Log(Event.MACHINE_LIST_FAILED, {"reason": str(error)})]
        return self.offer(revision, document)

    def offer(self, revision: RevisionId, document: Document) -> list[Effect]:
        """Use a newer list; one that cannot be read leaves the older in use."""
        if revision.number <= self.revision.number:
            return []
        try:
            machines = machine_list_from_document(revision.number, document)
        except msgspec.ValidationError as error:
            return [Log(Event.MACHINE_LIST_FAILED, {"reason": str(error)})]
        self.store.put(revision, document)
        self.machines = self._leaving.apply(machines)
        return [UseMachines(self.machines)]

    def renumber(self, revision: RevisionId) -> None:
        """Take over the higher number of a list with the same content.

        The platform numbers its answers, so two readers may know one list by two numbers.
        """
        held = self.revision
        if held.digest == revision.digest and revision.number > held.number > 0:
            self.store.put_deltas([Delta(held, revision, ())])
            self.machines = MachineList(revision.number, self.machines.machines)

    def note_leaving(self, notices: tuple[LeavingBackend, ...]) -> tuple[LeavingBackend, ...]:
        """Take back ends out of use ahead of the list; return those that were news."""
        news = self._leaving.observe(notices, self.machines)
        if news:
            self.machines = self._leaving.apply(self.machines)
        return news
