"""Scheduling of pulls: from which peer, when, and starting from which revision."""

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
"""Peers report only the number of their machine list."""


class PullScheduler:
    """Pulls both documents from peers that hold newer ones.

    Args:
        replica: the held configuration.
        machine_list: the held machine list.
        offer_queue: configurations that have arrived but are not held yet.
        timeout_seconds: time without any frame of an answer after which another peer is asked.
    """

    def __init__(
        self,
        replica: ConfigurationReplica,
        machine_list: MachineListReplica,
        offer_queue: OfferQueue,
        timeout_seconds: float,
    ) -> None:
        self._replica = replica
        self._machine_list = machine_list
        self._offer_queue = offer_queue
        self._pullers = {kind: Puller(timeout_seconds) for kind in DocumentKind}

    def on_peer_state(self, sender: str, address: str, state: VersionState) -> None:
        """Record a peer as a candidate for each document of which it holds a newer revision."""
        wanted = {}
        if self._replica.wants(state.held):
            wanted[DocumentKind.CONFIGURATION] = state.held
        elif state.committed == self._replica.missing_committed:
            wanted[DocumentKind.CONFIGURATION] = state.committed
        if state.machine_list > self._machine_list.revision.number:
            list_revision = RevisionId(state.machine_list, UNKNOWN_DIGEST)
            wanted[DocumentKind.MACHINE_LIST] = list_revision
        for kind, revision in wanted.items():
            self._pullers[kind].offer(PullCandidate(sender, address, revision))

    def due_pulls(self, now: float) -> list[Effect]:
        """Return the pulls that are due."""
        return [effect for kind in DocumentKind for effect in self._due_pull(now, kind)]

    def _due_pull(self, now: float, kind: DocumentKind) -> list[Effect]:
        puller = self._pullers[kind]
        if (
            kind is DocumentKind.CONFIGURATION
            and puller.newest_number <= self._offer_queue.newest_number
        ):
            return []  # already received and being processed
        candidate = puller.next_candidate(now)
        if candidate is None:
            return []
        pull = self._pull_request(kind, candidate.revision)
        return [Send(candidate.name, candidate.address, pull)]

    def _pull_request(self, kind: DocumentKind, revision: RevisionId) -> Pull:
        if kind is DocumentKind.MACHINE_LIST:
            return Pull(kind, self._machine_list.revision)
        exact = revision if revision == self._replica.missing_committed else None
        return Pull(kind, self._replica.held, exact)

    def on_frame_arriving(self, now: float, host: str) -> None:
        """Extend the timeouts of pulls from ``host``: an answer may be arriving."""
        for puller in self._pullers.values():
            puller.on_frame_arriving(now, host)

    def on_answer(self, kind: DocumentKind) -> None:
        """Record that the outstanding pull of a document was answered."""
        self._pullers[kind].finish()

    def on_busy(self, now: float, busy: Busy) -> None:
        """Retry after the delay that the busy peer asked for, possibly with another peer."""
        self._pullers[busy.kind].postpone(
            now, busy.retry_after_milliseconds / MILLISECONDS_PER_SECOND
        )

    def forget_up_to(self, kind: DocumentKind, number: int) -> None:
        """Remove candidates that hold nothing newer than ``number``."""
        self._pullers[kind].forget_up_to(number)
