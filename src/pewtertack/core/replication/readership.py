"""Policies that decide which nodes read the platform for the fleet.

Policies are registered by name, and a profile selects one. The reader evaluates it at every tick.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Protocol

from pewtertack.core.identity import NodeIdentity
from pewtertack.core.membership.ring import hash_score
from pewtertack.core.membership.table import MemberTable
from pewtertack.core.profile import TimingProfile
from pewtertack.core.replication.freshness import SourceFreshness

ELECTION_INTERVAL_SECONDS = 0.5
"""Interval at which a node determines whether it is one of the chosen readers."""

UNLISTED_SETTLE_FACTOR = 10.0
"""Factor by which the settle time of a node in a large fleet is extended until it knows the machine
list: while a whole fleet starts, the nodes' views are too incomplete to agree on the readers."""

SMALL_FLEET_MEMBERS = 32
"""A node that knows fewer members does not wait longer without the machine list, since only few
nodes can then become readers by mistake."""


class ReadershipInputs:
    """The inputs that are available to a readership policy.

    Args:
        identity: the node itself.
        profile: timing periods and bounds.
        table: the known members.
        freshness: when the source last confirmed the held documents.
        is_seed: whether the node is one of the first seeds.
        first_read_at: monotonic seconds before which no node of the fleet reads.
        wide_link: whether the node has a high-bandwidth link.
    """

    __slots__ = (
        "first_read_at",
        "freshness",
        "identity",
        "is_seed",
        "profile",
        "table",
        "wide_link",
    )

    def __init__(
        self,
        identity: NodeIdentity,
        profile: TimingProfile,
        table: MemberTable,
        freshness: SourceFreshness,
        is_seed: bool,
        first_read_at: float = 0.0,
        wide_link: bool = False,
    ) -> None:
        self.wide_link = wide_link
        self.first_read_at = first_read_at
        self.identity = identity
        self.profile = profile
        self.table = table
        self.freshness = freshness
        self.is_seed = is_seed


class Readership(Protocol):
    """A policy that decides whether this node reads the platform."""

    starts_with_stale_read: bool
    """Whether a node that holds no document starts with a read that may return stale data."""

    @property
    def sends_heartbeats(self) -> bool:
        """Whether readers send heartbeats, so that other nodes know that they need not read."""

    def should_read(self, now: float, allowed: bool, joining: bool) -> bool:
        """Tell whether the node should read now.

        Args:
            now: monotonic seconds.
            allowed: whether the phase of the node lets it read for others.
            joining: whether the node joins a fleet whose source is durable.
        """

    def on_heartbeat(
        self, now: float, name: str, in_own_zone: bool, wide_link: bool = False
    ) -> None:
        """Record a heartbeat of a reader that received a recent confirmation of the source."""

    def on_unconfirmed_heartbeat(self, name: str) -> None:
        """Record a heartbeat of a reader whose last confirmation is older than the lease."""


READERSHIPS: dict[str, Callable[[ReadershipInputs], Readership]] = {}
"""The readership policies by the name used in profiles."""


def readership(
    name: str,
) -> Callable[[Callable[[ReadershipInputs], Readership]], Callable[[ReadershipInputs], Readership]]:
    """Register a readership policy under ``name``."""

    def register(
        factory: Callable[[ReadershipInputs], Readership],
    ) -> Callable[[ReadershipInputs], Readership]:
        READERSHIPS[name] = factory
        return factory

    return register


@readership("elected")
class ElectedReadership:
    """The reachable members of a zone with the lowest hash scores read for it.

    A node starts to read only after it has been chosen for a while. Otherwise the nodes' views,
    which differ while many members change, would make too many nodes read the source at once. A
    joiner reads a durable source itself.
    """

    starts_with_stale_read = False
    sends_heartbeats = False

    def __init__(self, inputs: ReadershipInputs) -> None:
        self._inputs = inputs
        self._score = hash_score(inputs.identity.name)
        self._chosen_since: float | None = None
        self._elected_by_list = False
        self._next_election_at = -math.inf

    def should_read(self, now: float, allowed: bool, joining: bool) -> bool:
        """Tell whether the node should read now."""
        list_is_new = self._inputs.table.machine_list_known and not self._elected_by_list
        if now >= self._next_election_at or list_is_new:
            self._next_election_at = now + ELECTION_INTERVAL_SECONDS
            self._elect(now)
        return joining or (allowed and self._is_settled(now))

    def on_heartbeat(
        self, now: float, name: str, in_own_zone: bool, wide_link: bool = False
    ) -> None:
        """Ignore heartbeats, which this policy does not use."""

    def on_unconfirmed_heartbeat(self, name: str) -> None:
        """Ignore heartbeats, which this policy does not use."""

    def _is_settled(self, now: float) -> bool:
        """Tell whether the node has been chosen for long enough that its view can be trusted."""
        if self._chosen_since is None:
            return False
        table = self._inputs.table
        needed_seconds = self._inputs.profile.reader_settle
        if not (
            self._inputs.is_seed or table.machine_list_known or len(table) < SMALL_FLEET_MEMBERS
        ):
            needed_seconds *= UNLISTED_SETTLE_FACTOR
        return now - self._chosen_since >= needed_seconds

    def _elect(self, now: float) -> None:
        machine_list_known = self._inputs.table.machine_list_known
        if self._elected_by_list != machine_list_known:
            self._elected_by_list = machine_list_known
            self._chosen_since = None
        if not self._is_chosen():
            self._chosen_since = None
        elif self._chosen_since is None:
            self._chosen_since = now

    def _is_chosen(self) -> bool:
        """Tell whether this node's score is among the lowest of its zone, which are its readers.

        As long as the machine list is unknown, the seeds read for all nodes.
        """
        table, profile = self._inputs.table, self._inputs.profile
        if self._inputs.is_seed and not table.machine_list_known:
            return True
        zone = self._inputs.identity.zone
        zones = len(set(table.reachable_zones()) | {zone})
        share = max(1, min(profile.readers_per_zone, profile.readers_total // zones))
        return table.reachable_in_zone(zone).count_below(self._score) < share


@readership("leased")
class LeasedReadership:
    """Few members of a zone read for it; others take over when confirmations of the source stop.

    Readers send heartbeats with the age of the last confirmation by the source. A node whose last
    confirmation is older than the lease takes over, in the order of hash scores. It continues until
    enough readers that precede it are active again and its own confirmation is recent. If the
    source answers nobody, only a few nodes of each zone read it; the others take over one by one.

    A node that receives heartbeats but has not received what the readers hold waits for them before
    it reads the source itself.

    Members with wide links precede all others, because a long document takes most of a second on a
    narrow link and every node waits for it. A member with a wide link volunteers to read unless
    enough readers precede it. Members chosen by hash score alone stop when they receive its
    heartbeats.
    """

    starts_with_stale_read = True

    def __init__(self, inputs: ReadershipInputs) -> None:
        self._inputs = inputs
        self._score = hash_score(inputs.identity.name)
        self._large_since: float | None = None
        """Since when the node knows that the fleet is too large for every node to read."""
        self._taking_over = False
        self._volunteered = False
        """Whether the node volunteered because of its wide link.

        Once true, this stays true; the node then reads unless enough readers precede it.
        """
        self._preceding_readers_seen_at: dict[str, float] = {}
        """When the last heartbeat arrived from each reader of this zone that precedes this node."""

    def should_read(self, now: float, allowed: bool, joining: bool) -> bool:
        """Tell whether the node should read now."""
        if not (allowed or joining):
            return False
        if not self.sends_heartbeats:
            return True
        if self._large_since is None:
            self._large_since = max(now, self._inputs.first_read_at)
        table, profile = self._inputs.table, self._inputs.profile
        rank = table.reachable_in_zone(self._inputs.identity.zone).count_below(self._score)
        if rank < profile.readers_per_zone or self._has_volunteered(now, rank, joining):
            return self._preceding_readers(now) < profile.readers_per_zone
        unconfirmed_seconds = self._unconfirmed_seconds(now)
        enough_readers = self._preceding_readers(now) >= profile.readers_per_zone
        if self._taking_over:
            self._taking_over = not (enough_readers and unconfirmed_seconds <= profile.reader_lease)
        else:
            extra_seconds = profile.behind_patience if enough_readers else 0.0
            self._taking_over = unconfirmed_seconds > self._takeover_age(rank) + extra_seconds
        return self._taking_over

    @property
    def sends_heartbeats(self) -> bool:
        """Whether the fleet is too large for every node to read."""
        return len(self._inputs.table) + 1 >= self._inputs.profile.reads_alone_below

    def on_heartbeat(
        self, now: float, name: str, in_own_zone: bool, wide_link: bool = False
    ) -> None:
        """Record a reader if it precedes this node."""
        same_link = wide_link == self._inputs.wide_link
        precedes = hash_score(name) < self._score if same_link else wide_link
        if in_own_zone and precedes:
            self._preceding_readers_seen_at[name] = now

    def on_unconfirmed_heartbeat(self, name: str) -> None:
        """Stop counting a reader as active: nothing is to be expected from it."""
        self._preceding_readers_seen_at.pop(name, None)

    def _has_volunteered(self, now: float, rank: int, joining: bool) -> bool:
        """Tell whether this node reads because of its wide link, whatever its rank.

        A joining node volunteers sooner and continues to read once it serves, because other nodes
        rely on its heartbeats.
        """
        if not self._inputs.wide_link or self._volunteered:
            return self._volunteered
        assert self._large_since is not None
        profile, waited = self._inputs.profile, now - self._large_since
        wait = rank * profile.joiner_step if joining else (rank + 1) * profile.volunteer_step
        self._volunteered = waited >= wait
        return self._volunteered

    def _unconfirmed_seconds(self, now: float) -> float:
        """Return the time without a confirmation since other nodes were expected to read."""
        assert self._large_since is not None
        return min(self._inputs.freshness.max_age(now), now - self._large_since)

    def _takeover_age(self, rank: int) -> float:
        """Return the age of the last confirmation beyond which a node of this rank takes over."""
        profile = self._inputs.profile
        early_steps = min(rank, profile.takeover_candidates) - profile.readers_per_zone
        late_steps = max(0, rank - profile.takeover_candidates)
        delay = early_steps * profile.takeover_step + late_steps * profile.late_takeover_step
        return profile.reader_lease + delay

    def _preceding_readers(self, now: float) -> int:
        """Return the number of active readers that precede this node."""
        oldest = now - self._inputs.profile.reader_lease
        self._preceding_readers_seen_at = {
            name: seen_at
            for name, seen_at in self._preceding_readers_seen_at.items()
            if seen_at >= oldest
        }
        return len(self._preceding_readers_seen_at)
