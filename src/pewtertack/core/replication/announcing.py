"""Announcements of new versions to a bounded number of peers."""

from __future__ import annotations

from random import Random

import cbor2
import msgspec

from pewtertack.core.delta import Delta
from pewtertack.core.effects import Effect
from pewtertack.core.identity import NodeIdentity
from pewtertack.core.membership.service import Membership
from pewtertack.core.profile import TimingProfile
from pewtertack.core.replication.store import DocumentStore
from pewtertack.wire.messages import Message


class Announcer:
    """Sends a message to a few peers, which forward it to theirs."""

    def __init__(
        self,
        identity: NodeIdentity,
        profile: TimingProfile,
        membership: Membership,
        random: Random,
    ) -> None:
        self._identity = identity
        self._profile = profile
        self._membership = membership
        self._random = random

    def send(self, message: Message) -> list[Effect]:
        """Return the effects that send ``message`` to a new selection of peers."""
        return [
            effect for name in self._targets() for effect in self._membership.send(name, message)
        ]

    def _targets(self) -> list[str]:
        """Return the peers to send to, some in this node's zone and some in other zones.

        Random members spread a message quickly; the successor on the ring ensures that it reaches
        every member.
        """
        table = self._membership.table
        own_zone = table.reachable_in_zone(self._identity.zone)
        successor = own_zone.successors(self._identity.name, 0, 1)
        random_peers = own_zone.sample(self._random, self._profile.fan_out - 1)
        local_peers = list(dict.fromkeys(successor + random_peers))
        other_zones = [zone for zone in table.reachable_zones() if zone != self._identity.zone]
        self._random.shuffle(other_zones)
        remote_peers = [
            name
            for zone in other_zones[: self._profile.far_fan_out]
            for name in table.reachable_in_zone(zone).sample(self._random, 1)
        ]
        return local_peers + remote_peers

    def inline_delta(self, store: DocumentStore) -> Delta | None:
        """Return the newest delta of ``store`` if it is small enough for an announcement."""
        delta = store.last_delta
        max_bytes = self._profile.inline_delta_bytes
        if delta is None or max_bytes == 0 or delta.target != store.revision:
            return None
        size = len(cbor2.dumps(msgspec.to_builtins(delta, builtin_types=(bytes,))))
        return delta if size <= max_bytes else None
