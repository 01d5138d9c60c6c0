"""Who reads the platform for a fleet.

A registry of the ways to decide it; a profile names one. The reader asks at every tick.
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

UNLISTED_SETTLE_FACTOR = 10.0
"""How many times longer a node of a large fleet must be chosen before it knows the
machine list: a fleet that starts at once has views too small to agree by."""

SMALL_FLEET_MEMBERS = 32
"""A node that knows fewer members does not wait for the list: few can be wrong."""


class ReadershipInputs:
    """What a way to decide the readership may look at."""

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
        """``first_read_at``: before this moment no node of the fleet reads."""
        self.wide_link = wide_link
        self.first_read_at = first_read_at
        self.identity = identity
        self.profile = profile
        self.table = table
        self.freshness = freshness
        self.is_seed = is_seed


class Readership(Protocol):
    """Decides whether this node reads the platform."""

    starts_with_stale_read: bool
    """Whether a node that holds nothing begins with a read that may be stale."""

    @property
    def sends_heartbeats(self) -> bool:
        """Whether readers send heartbeats, by which the others know that they need not read."""

    def should_read(self, now: float, allowed: bool, joining: bool) -> bool:
        """Tell whether to read now.

        Args:
            now: monotonic seconds.
            allowed: whether the node's phase lets it read for others.
            joining: whether it joins a fleet whose source is durable.
        """

    def on_heartbeat(
        self, now: float, name: str, in_own_zone: bool, wide_link: bool = False
    ) -> None:
        """A reader whose word is fresh has sent a heartbeat."""


READERSHIPS: dict[str, Callable[[ReadershipInputs], Readership]] = {}
"""The ways to decide it, by the name that a profile gives."""


def readership(
    name: str,
) -> Callable[[Callable[[ReadershipInputs], Readership]], Callable[[ReadershipInputs], Readership]]:
    """Register a way to decide the readership under ``name``."""

    def register(
        made: Callable[[ReadershipInputs], Readership],
    ) -> Callable[[ReadershipInputs], Readership]:
        READERSHIPS[name] = made
        return made

    return register


@readership("elected")
class ElectedReadership:
    """The reachable members of a zone with the lowest hash scores read for it.

    A node starts only after it has been chosen for a while, so that views which differ in
    a storm do not add up to a crowd at the source. A joiner reads a durable source itself.
    """

    starts_with_stale_read = False
    sends_heartbeats = False

    def __init__(self, parts: ReadershipInputs) -> None:
        self._inputs = parts
        self._score = hash_score(parts.identity.name)
        self._chosen_since: float | None = None
        self._elected_by_list = False
        self._next_election_at = -math.inf

    def should_read(self, now: float, allowed: bool, joining: bool) -> bool:
        """Tell whether to read now."""
        list_is_new = self._inputs.table.machine_list_known and not self._elected_by_list
        if now >= self._next_election_at or list_is_new:
            self._next_election_at = now + ELECTION_INTERVAL_SECONDS
            self._elect(now)
        return joining or (allowed and self._is_settled(now))

    def on_heartbeat(
        self, now: float, name: str, in_own_zone: bool, wide_link: bool = False
    ) -> None:
        """Heartbeats decide nothing here."""

    def _is_settled(self, now: float) -> bool:
        """Tell whether the node has been chosen for long enough to trust its view."""
        if self._chosen_since is None:
            return False
        table = self._inputs.table
        needed = self._inputs.profile.reader_settle
        if not (
            self._inputs.is_seed or table.machine_list_known or len(table) < SMALL_FLEET_MEMBERS
        ):
            needed *= UNLISTED_SETTLE_FACTOR
        return now - self._chosen_since >= needed

    def _elect(self, now: float) -> None:
        list_known = self._inputs.table.machine_list_known
        if self._elected_by_list != list_known:
            self._elected_by_list = list_known
            self._chosen_since = None
        if not self._is_chosen():
            self._chosen_since = None
        elif self._chosen_since is None:
            self._chosen_since = now

    def _is_chosen(self) -> bool:
        """Tell whether fewer than a zone's share of members score lower than this node.

        Before anybody knows the machine list, the seeds read for everyone.
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
    """Few members of a zone read for it; others do when they no longer hear from the source.

    Whoever reads sends heartbeats with the age of the source's word. A node whose own word
    has grown older than the lease takes over, the next by hash score first, and goes on
    until enough readers before it are heard again and its own word is recent. A source that
    answers nobody is asked by a few nodes of each zone only; the rest come in one by one.

    A node that hears readers but is behind them has it from them before it reads for itself.

    Members with wide links go before all others: a long document takes a narrow link most of
    a second, and everyone waits for it. One that has heard of none before it begins to read,
    and who was chosen by hash score alone stops when it hears of it.
    """

    starts_with_stale_read = True

    def __init__(self, parts: ReadershipInputs) -> None:
        self._inputs = parts
        self._score = hash_score(parts.identity.name)
        self._large_since: float | None = None
        """Since when the node knows that not every one reads."""
        self._taking_over = False
        self._volunteered = False
        """Whether a wide link has made it one to read, as it stays until others go before it."""
        self._preceding_readers_seen_at: dict[str, float] = {}
        """Readers of the own zone that go before this node: when each was last heard."""

    def should_read(self, now: float, allowed: bool, joining: bool) -> bool:
        """Tell whether to read now."""
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
        unconfirmed = self._unconfirmed_seconds(now)
        replaced = self._preceding_readers(now) >= profile.readers_per_zone
        if self._taking_over:
            self._taking_over = not (replaced and unconfirmed <= profile.reader_lease)
        else:
            behind = profile.behind_patience if replaced else 0.0
            self._taking_over = unconfirmed > self._takeover_age(rank) + behind
        return self._taking_over

    @property
    def sends_heartbeats(self) -> bool:
        """Whether the fleet is so large that not every node reads."""
        return len(self._inputs.table) + 1 >= self._inputs.profile.reads_alone_below

    def on_heartbeat(
        self, now: float, name: str, in_own_zone: bool, wide_link: bool = False
    ) -> None:
        """Note a reader that goes before this node."""
        alike = wide_link == self._inputs.wide_link
        before = hash_score(name) < self._score if alike else wide_link
        if in_own_zone and before:
            self._preceding_readers_seen_at[name] = now

    def _has_volunteered(self, now: float, rank: int, joining: bool) -> bool:
        """Tell whether this node, whatever its rank, is one to read.

        One that joins comes in sooner, and reads on once it serves: others have it by its word.
        """
        if not self._inputs.wide_link or self._volunteered:
            return self._volunteered
        assert self._large_since is not None
        profile, waited = self._inputs.profile, now - self._large_since
        wait = rank * profile.joiner_step if joining else (rank + 1) * profile.volunteer_step
        self._volunteered = waited >= wait
        return self._volunteered

    def _unconfirmed_seconds(self, now: float) -> float:
        """Return for how long nothing has confirmed what is held, while others were to."""
        assert self._large_since is not None
        return min(self._inputs.freshness.max_age(now), now - self._large_since)

    def _takeover_age(self, rank: int) -> float:
        """Return how old the source's word may be before the node of this rank takes over."""
        profile = self._inputs.profile
        early = min(rank, profile.takeover_candidates) - profile.readers_per_zone
        late = max(0, rank - profile.takeover_candidates)
        waited = early * profile.takeover_step + late * profile.late_takeover_step
        return profile.reader_lease + waited

    def _preceding_readers(self, now: float) -> int:
        oldest = now - self._inputs.profile.reader_lease
        self._preceding_readers_seen_at = {
            name: heard_at
            for name, heard_at in self._preceding_readers_seen_at.items()
            if heard_at >= oldest
        }
        return len(self._preceding_readers_seen_at)
