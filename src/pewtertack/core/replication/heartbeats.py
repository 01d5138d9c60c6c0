"""Heartbeats that readers of the source send to their zone and to readers of other zones."""

from __future__ import annotations

import math

import cbor2
import msgspec

from pewtertack.core.effects import Effect, Send
from pewtertack.core.identity import NodeIdentity
from pewtertack.core.membership.ring import hash_score
from pewtertack.core.membership.service import Membership
from pewtertack.core.profile import TimingProfile
from pewtertack.core.replication.freshness import SourceFreshness
from pewtertack.core.replication.store import DocumentStore
from pewtertack.core.revision import RevisionId
from pewtertack.wire.messages import (
    DeltaAnswer,
    DocumentKind,
    ReaderHeartbeat,
    VersionState,
)

MAX_DELTAS_BYTES = 800
"""Maximum size of the deltas in a heartbeat. A frame of 1,200 bytes fits one datagram; versions,
digests and the envelope take up to 300 bytes of it."""
MIN_EDIT_BYTES = 4
"""Minimum size of an encoded edit; used to reject a large number of edits without encoding them."""


class HeartbeatSender:
    """Sends a reader's heartbeats, regularly and immediately after a change.

    They go to all members of the reader's own zone and to one reader of each other zone.
    """

    def __init__(
        self,
        identity: NodeIdentity,
        profile: TimingProfile,
        membership: Membership,
        freshness: SourceFreshness,
        stores: dict[DocumentKind, DocumentStore],
        wide_link: bool = False,
    ) -> None:
        self._wide_link = wide_link
        self._identity = identity
        self._profile = profile
        self._membership = membership
        self._freshness = freshness
        self._stores = stores
        self._score = hash_score(identity.name)
        self._advertised = {kind: store.revision for kind, store in stores.items()}
        self._next_at = -math.inf

    def due_heartbeats(self, now: float, state: VersionState) -> list[Effect]:
        """Return the heartbeats to send now, with the changes since the previous ones."""
        is_changed = any(
            self._advertised[kind] != store.revision for kind, store in self._stores.items()
        )
        if not is_changed and now < self._next_at:
            return []
        self._next_at = now + self._profile.heartbeat_interval
        heartbeat = self._heartbeat(now, state, self._deltas())
        self._advertised = {kind: store.revision for kind, store in self._stores.items()}
        return [
            effect for name in self.targets() for effect in self._membership.send(name, heartbeat)
        ]

    def for_joiner(self, now: float, name: str, address: str, state: VersionState) -> list[Effect]:
        """Return a heartbeat for one joining peer, if the last confirmation is within the lease."""
        if self._freshness.max_age(now) > self._profile.reader_lease:
            return []
        return [Send(name, address, self._heartbeat(now, state, ()))]

    def _heartbeat(
        self, now: float, state: VersionState, deltas: tuple[DeltaAnswer, ...]
    ) -> ReaderHeartbeat:
        digest = self._stores[DocumentKind.MACHINE_LIST].revision.digest
        ages = self._freshness.ages(now)
        answer_ages = self._freshness.answers.ages(now)
        return ReaderHeartbeat(state, digest, ages, deltas, self._wide_link, answer_ages)

    def _deltas(self) -> tuple[DeltaAnswer, ...]:
        """Return the changes since the previous heartbeats, or nothing if they are too large."""
        changed = tuple(
            answer
            for kind, store in self._stores.items()
            for answer in self._chain(kind, store, self._advertised[kind])
        )
        edits = sum(len(delta.edits) for answer in changed for delta in answer.deltas)
        if not changed or edits * MIN_EDIT_BYTES > MAX_DELTAS_BYTES:
            return ()
        size = len(cbor2.dumps(msgspec.to_builtins(changed, builtin_types=(bytes,))))
        return changed if size <= MAX_DELTAS_BYTES else ()

    def _chain(
        self, kind: DocumentKind, store: DocumentStore, advertised: RevisionId
    ) -> tuple[DeltaAnswer, ...]:
        deltas = store.deltas_since(advertised) if advertised != store.revision else None
        return (DeltaAnswer(kind, deltas),) if deltas else ()

    def targets(self) -> list[str]:
        """Return the members of the own zone and one reader of each other zone."""
        table = self._membership.table
        own_zone = table.reachable_in_zone(self._identity.zone)
        rank = own_zone.count_below(self._score)
        targets = own_zone.first(len(own_zone))
        for zone in table.reachable_zones():
            if zone != self._identity.zone:
                readers = table.reachable_in_zone(zone).first(self._profile.readers_per_zone)
                targets.append(readers[rank % len(readers)])
        return targets
