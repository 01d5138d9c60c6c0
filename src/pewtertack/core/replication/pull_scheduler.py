"""Pulls newer documents from peers: from whom, when, and after which revision."""

from __future__ import annotations

from pewtertack.core.effects import Effect, Send
from pewtertack.core.replication.machine_lists import MachineListReplica
from pewtertack.core.replication.offers import OfferQueue
from pewtertack.core.replication.puller import PullCandidate, Puller
from pewtertack.core.replication.replica import ConfigurationReplica
from pewtertack.core.revision import RevisionId
from pewtertack.wire.messages import Busy, DocumentKind, Pull, VersionState

MILLISECONDS_PER_SECOND = 1000.0
UNKNOWN_DIGEST = b""
"""Peers tell only the number of their machine list."""


class PullScheduler:
    """Pulls both documents from peers that hold newer ones.

    Args:
        replica, machine_list: what is held.
        offers: configurations that are here and not held yet.
        timeout: seconds without a sign of an answer after which another peer is asked.
    """

    def __init__(
        self,
        replica: ConfigurationReplica,
        machine_list: MachineListReplica,
        offers: OfferQueue,
        timeout: float,
    ) -> None:
        self._replica = replica
        self._machine_list = machine_list
        self._offers = offers
        self._pullers = {kind: Puller(timeout) for kind in DocumentKind}

    def on_peer_state(self, sender: str, address: str, state: VersionState) -> None:
        """Remember a peer that holds something newer."""
        wanted = {}
        if self._replica.wants(state.held):
            wanted[DocumentKind.CONFIGURATION] = state.held
        elif state.committed == self._replica.missing_committed:
            wanted[DocumentKind.CONFIGURATION] = state.committed
        if state.machine_list > self._machine_list.revision.number:
            listed = RevisionId(state.machine_list, UNKNOWN_DIGEST)
            wanted[DocumentKind.MACHINE_LIST] = listed
        for kind, revision in wanted.items():
            self._pullers[kind].offer(PullCandidate(sender, address, revision))

    def due_pulls(self, now: float) -> list[Effect]:
        """Return the pulls that are due."""
        return [effect for kind in DocumentKind for effect in self._due_pull(now, kind)]

    def _due_pull(self, now: float, kind: DocumentKind) -> list[Effect]:
        puller = self._pullers[kind]
        if (
            kind is DocumentKind.CONFIGURATION
            and puller.newest_number <= self._offers.newest_number
        ):
            return []  # it is here already, and under work
        source = puller.next_candidate(now)
        if source is None:
            return []
        pull = self._pull_request(kind, source.revision)
        return [Send(source.name, source.address, pull)]

    def _pull_request(self, kind: DocumentKind, revision: RevisionId) -> Pull:
        if kind is DocumentKind.MACHINE_LIST:
            return Pull(kind, self._machine_list.revision)
        exact = revision if revision == self._replica.missing_committed else None
        return Pull(kind, self._replica.held, exact)

    def on_frame_arriving(self, now: float, host: str) -> None:
        """What a peer at ``host`` was asked for may be on its way."""
        for puller in self._pullers.values():
            puller.on_frame_arriving(now, host)

    def on_answer(self, kind: DocumentKind) -> None:
        """The outstanding pull of a document was answered."""
        self._pullers[kind].finish()

    def on_busy(self, now: float, busy: Busy) -> None:
        """Come back later, or to another peer."""
        self._pullers[busy.kind].postpone(
            now, busy.retry_after_milliseconds / MILLISECONDS_PER_SECOND
        )

    def forget_up_to(self, kind: DocumentKind, number: int) -> None:
        """Forget peers that hold nothing newer than ``number``."""
        self._pullers[kind].forget_up_to(number)
