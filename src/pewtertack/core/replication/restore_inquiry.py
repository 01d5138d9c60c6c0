"""Requests for peers' machine list overrides after the source was restored from an old copy.

Lists of a new era may miss changes that the restore lost. Peers that saw them hold overrides
against these lists; a node that started shortly before the era does not and asks for them.
"""

from __future__ import annotations

import math
from random import Random

from pewtertack.core.eras import era_of
from pewtertack.core.membership.table import MemberTable
from pewtertack.core.new_entries import COPY_AGE_MAX_SECONDS, NEW_ENTRY_WAIT_SECONDS
from pewtertack.core.profile import TimingProfile
from pewtertack.wire.messages import VersionState

REQUIRED_ANSWERS = 3
"""Number of serving peers whose answers suffice. A single one may itself have started recently."""


class RestoreInquiry:
    """Decides which peers to ask and whether to wait for their answers.

    Peers send their overrides before they answer a join request.

    Args:
        profile: timing periods and bounds.
        table: the known members.
        random: used to choose among the members.
        hold_seconds: how long overrides are held after a restore of the source.
        now: start time of the node in monotonic seconds.
    """

    def __init__(
        self,
        profile: TimingProfile,
        table: MemberTable,
        random: Random,
        hold_seconds: float,
        now: float,
    ) -> None:
        self._profile = profile
        self._table = table
        self._random = random
        self._hold_seconds = hold_seconds
        self._era = 0
        self._era_since = now
        self._answered: set[str] = set()
        """Serving peers that have answered in this era."""
        self._outdated: set[str] = set()
        """Serving peers that did not know of this era when they answered."""
        self.restart(now)

    def restart(self, now: float) -> None:
        """Start over, as a node that does not know what happened before ``now``."""
        self._started_at = now
        self._start_round(now)
        self._outdated.clear()

    def begin_era(self, now: float, era: int) -> None:
        """Start asking about a new era."""
        self._era = era
        self._era_since = now
        self._start_round(now)

    def _start_round(self, now: float) -> None:
        self._outdated |= self._answered
        self._answered.clear()
        self._next_at = now + self._profile.join_retry
        is_needed = self._era and self._era_since - self._started_at < COPY_AGE_MAX_SECONDS
        self._deadline = now + self._hold_seconds if is_needed else -math.inf

    def on_join_answer(self, name: str, state: VersionState) -> bool:
        """Record a peer's answer to a join request, which follows its overrides.

        Return whether answers are needed and the peer does not know of the era yet.
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
        """Tell whether an old copy may contain evacuations that ended before this node started.

        This also holds in era 0, because the read that discovers a new era is issued in the
        previous one.
        """
        if now - self._started_at >= COPY_AGE_MAX_SECONDS or self._hold_seconds == 0:
            return False
        if not self._era:
            return True
        waited = now - max(self._era_since, self._started_at)
        return not self.is_answered and waited < NEW_ENTRY_WAIT_SECONDS

    def is_pending(self, now: float) -> bool:
        """Tell whether a starting node must wait for a serving peer that knows the era."""
        waited = now - self._started_at
        may_wait = waited < self._profile.join_patience
        return may_wait and now < self._deadline and not self._answered

    def peers_to_ask(self, now: float) -> list[str]:
        """Return the names of the peers to ask now."""
        missing = REQUIRED_ANSWERS - len(self._answered)
        if missing <= 0 or not self._next_at <= now < self._deadline:
            return []
        self._next_at = now + self._profile.join_retry * self._random.uniform(0.8, 1.2)
        names = self._table.reachable.sample(self._random, REQUIRED_ANSWERS + len(self._answered))
        others = [name for name in names if name not in self._answered | self._outdated]
        return [*sorted(self._outdated), *others][:missing]
