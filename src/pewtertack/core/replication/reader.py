"""Reading the platform: which nodes do, and when.

The reachable members of a zone with the lowest hash scores read for it. A node
starts only after it has been chosen for a while, so that views which differ in a
storm do not add up to a crowd at the source.
"""

from __future__ import annotations

from random import Random

from pewtertack.core.effects import Effect, Log, ReadDocument
from pewtertack.core.identity import NodeIdentity
from pewtertack.core.membership.ring import score_of
from pewtertack.core.membership.table import MemberTable
from pewtertack.core.profile import TimingProfile
from pewtertack.events import Event
from pewtertack.wire.messages import DocumentKind

ELECTION_INTERVAL = 0.5
BACKOFF_FACTOR = 2.0

UNLISTED_SETTLE_FACTOR = 10.0
"""How many times longer a node of a large fleet must be chosen before it knows the
machine list: a fleet that starts at once has views too small to agree by."""

SMALL_FLEET = 32
"""A node that knows fewer members does not wait for the list: few can be wrong."""


class PlatformReader:
    """Issues reads of both documents while this node is chosen to."""

    def __init__(
        self,
        identity: NodeIdentity,
        profile: TimingProfile,
        table: MemberTable,
        random: Random,
        now: float,
        is_seed: bool = False,
    ) -> None:
        self._is_seed = is_seed
        self._identity = identity
        self._profile = profile
        self._table = table
        self._random = random
        self._score = score_of(identity.name)
        self._chosen_since: float | None = None
        self._elected_by_list = False
        self._next_election_at = now
        self._outstanding: set[DocumentKind] = set()
        self._not_before = dict.fromkeys(DocumentKind, now)
        self._failures = dict.fromkeys(DocumentKind, 0)
        self.last_answer_at: dict[DocumentKind, float] = {}
        self._seen: dict[DocumentKind, int] = {}
        self._stale: dict[DocumentKind, int] = {}
        self.reading = False

    def tick(
        self, now: float, allowed: bool, numbers: dict[DocumentKind, int], urgent: bool = False
    ) -> list[Effect]:
        """Return the reads that are due; ``numbers`` are those already held.

        ``urgent`` makes this node read whether it is chosen or not.
        """
        list_is_new = self._table.list_known and not self._elected_by_list
        if now >= self._next_election_at or list_is_new:
            self._next_election_at = now + ELECTION_INTERVAL
            self._elect(now)
        effects = self._switch(urgent or (allowed and self._is_settled(now)))
        if self.reading:
            effects += self._due_reads(now, numbers)
        return effects

    def _is_settled(self, now: float) -> bool:
        """Tell whether the node has been chosen for long enough to trust its view."""
        if self._chosen_since is None:
            return False
        needed = self._profile.reader_settle
        if not (self._is_seed or self._table.list_known or len(self._table) < SMALL_FLEET):
            needed *= UNLISTED_SETTLE_FACTOR
        return now - self._chosen_since >= needed

    def _elect(self, now: float) -> None:
        if self._elected_by_list != self._table.list_known:
            self._elected_by_list = self._table.list_known
            self._chosen_since = None
        if not self._is_chosen():
            self._chosen_since = None
        elif self._chosen_since is None:
            self._chosen_since = now

    def _is_chosen(self) -> bool:
        """Tell whether fewer than a zone's share of members score lower than this node.

        Before anybody knows the machine list, the seeds read for everyone.
        """
        if self._is_seed and not self._table.list_known:
            return True
        zones = len(set(self._table.zones()) | {self._identity.zone})
        share = min(self._profile.readers_per_zone, self._profile.readers_total // zones)
        first = self._table.zone(self._identity.zone).first(max(share, 1))
        lower = sum(1 for name in first if score_of(name) < self._score)
        return lower < max(share, 1)

    def _switch(self, reading: bool) -> list[Effect]:
        if reading == self.reading:
            return []
        self.reading = reading
        return [Log(Event.READER_STARTED if reading else Event.READER_STOPPED, {})]

    def _due_reads(self, now: float, numbers: dict[DocumentKind, int]) -> list[Effect]:
        effects: list[Effect] = []
        for kind in DocumentKind:
            if kind not in self._outstanding and now >= self._not_before[kind]:
                self._outstanding.add(kind)
                after = self._known_number(kind, numbers[kind])
                effects.append(ReadDocument(kind, after, self._profile.read_wait))
        return effects

    def _known_number(self, kind: DocumentKind, held: int) -> int:
        """Return the number to wait for a change of.

        A stale platform is asked for a change of its own stale number, and a
        rejected revision is not read again: either would be answered at once.
        """
        return self._stale.get(kind) or max(held, self._seen.get(kind, 0))

    def is_failing(self, kind: DocumentKind) -> bool:
        """Tell whether the last read of a document failed."""
        return self._failures[kind] > 0

    def answered_with(self, now: float, kind: DocumentKind, number: int, held: int) -> None:
        """The platform answered with the document ``number`` while ``held`` was held."""
        self._seen[kind] = number
        if number < held:
            self._stale[kind] = number
        else:
            self._stale.pop(kind, None)
        self.answered(now, kind)

    def answered(self, now: float, kind: DocumentKind) -> None:
        """The platform gave a usable answer."""
        self._outstanding.discard(kind)
        self._failures[kind] = 0
        self._not_before[kind] = now + self._profile.read_gap
        self.last_answer_at[kind] = now

    def failed(self, now: float, kind: DocumentKind, retry_after: float | None) -> None:
        """Wait before the next read: what the platform asked for, or longer each time."""
        self._outstanding.discard(kind)
        backoff = self._profile.read_backoff * BACKOFF_FACTOR ** self._failures[kind]
        backoff = min(backoff, self._profile.read_backoff_limit)
        delay = max(retry_after or 0.0, backoff) * self._random.uniform(0.5, 1.5)
        self._failures[kind] += 1
        self._not_before[kind] = now + delay
