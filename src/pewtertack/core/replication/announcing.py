"""Eager notices of something new, to a bounded number of peers."""

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
    """Sends a message to a few peers, which send it on to theirs."""

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
        """Return the sends of ``message`` to the peers of this time."""
        return [
            effect for name in self._targets() for effect in self._membership.send(name, message)
        ]

    def _targets(self) -> list[str]:
        """Random members spread fast; the ring's successor leaves nobody out."""
        table = self._membership.table
        own_zone = table.reachable_in_zone(self._identity.zone)
        successor = own_zone.successors(self._identity.name, 0, 1)
        others = own_zone.sample(self._random, self._profile.fan_out - 1)
        near = list(dict.fromkeys(successor + others))
        far_zones = [zone for zone in table.reachable_zones() if zone != self._identity.zone]
        self._random.shuffle(far_zones)
        far = [
            name
            for zone in far_zones[: self._profile.far_fan_out]
            for name in table.reachable_in_zone(zone).sample(self._random, 1)
        ]
        return near + far

    def inline_delta(self, store: DocumentStore) -> Delta | None:
        """Return the newest delta of ``store`` if it is short enough to ride along."""
        delta = store.last_delta
        limit = self._profile.inline_delta_bytes
        if delta is None or limit == 0 or delta.target != store.revision:
            return None
        size = len(cbor2.dumps(msgspec.to_builtins(delta, builtin_types=(bytes,))))
        return delta if size <= limit else None
