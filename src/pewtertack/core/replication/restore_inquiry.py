"""Asking peers what they hold against lists of a new era, for a node that began not long before."""

from __future__ import annotations

import math
from random import Random

from pewtertack.core.eras import era_of
from pewtertack.core.membership.table import MemberTable
from pewtertack.core.new_entries import COPY_AGE_MAX_SECONDS, NEW_ENTRY_WAIT_SECONDS
from pewtertack.core.profile import TimingProfile
from pewtertack.wire.messages import VersionState

REQUIRED_ANSWERS = 3
"""Serving peers whose answers suffice; a single one may have started lately itself."""


class RestoreInquiry:
    """Decides whom to ask, and whether the answer is worth waiting for.

    Peers tell what they hold before they answer a request to join.

    Args:
        profile: periods and bounds.
        table: the members.
        random: chooses among them.
        seconds: for how long anything is held after a return.
        now: monotonic seconds, the node's start.
    """

    def __init__(
        self,
        profile: TimingProfile,
        table: MemberTable,
        random: Random,
        seconds: float,
        now: float,
    ) -> None:
        self._profile = profile
        self._table = table
        self._random = random
        self._hold_seconds = seconds
        self._era = 0
        self._era_since = now
        self._answered: set[str] = set()
        """Serving peers that have answered in this era."""
        self._outdated: set[str] = set()
        """Serving peers that did not know of it when they answered."""
        self.restart(now)

    def restart(self, now: float) -> None:
        """Begin anew, as a node that knows nothing of what has happened until now."""
        self._started_at = now
        self._start_round(now)
        self._outdated.clear()

    def begin_era(self, now: float, era: int) -> None:
        """A later era has begun."""
        self._era = era
        self._era_since = now
        self._start_round(now)

    def _start_round(self, now: float) -> None:
        self._outdated |= self._answered
        self._answered.clear()
        self._next_at = now + self._profile.join_retry
        is_concerned = self._era and self._era_since - self._started_at < COPY_AGE_MAX_SECONDS
        self._deadline = now + self._hold_seconds if is_concerned else -math.inf

    def on_join_answer(self, name: str, state: VersionState) -> bool:
        """A peer has answered a request to join, and told before what it holds.

        Return whether the answer matters and the peer does not know of the era yet.
        """
        if not state.serving:
            return False
        if era_of(state.machine_list) >= self._era:
            self._answered.add(name)
            self._outdated.discard(name)
            return False
        self._outdated.add(name)
        return math.isfinite(self._deadline)

    @property
    def is_answered(self) -> bool:
        """Whether enough peers have answered in this era."""
        return len(self._answered) >= REQUIRED_ANSWERS

    def doubts_copy(self, now: float) -> bool:
        """Tell whether a copy may show what has ended before this node began to see it.

        Also before an era: the read that finds it is asked in the one before.
        """
        if now - self._started_at >= COPY_AGE_MAX_SECONDS or self._hold_seconds == 0:
            return False
        if not self._era:
            return True
        waited = now - max(self._era_since, self._started_at)
        return not self.is_answered and waited < NEW_ENTRY_WAIT_SECONDS

    def is_pending(self, now: float) -> bool:
        """Tell whether a starting node is to wait for a serving peer that knows the era."""
        waited = now - self._started_at
        is_patient = waited < self._profile.join_patience
        return is_patient and now < self._deadline and not self._answered

    def peers_to_ask(self, now: float) -> list[str]:
        """Return the peers to ask now."""
        missing = REQUIRED_ANSWERS - len(self._answered)
        if missing <= 0 or not self._next_at <= now < self._deadline:
            return []
        self._next_at = now + self._profile.join_retry * self._random.uniform(0.8, 1.2)
        names = self._table.reachable.sample(self._random, REQUIRED_ANSWERS + len(self._answered))
        others = [name for name in names if name not in self._answered | self._outdated]
        return [*sorted(self._outdated), *others][:missing]
